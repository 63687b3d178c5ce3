package job

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amberway/platform"
)

// Parameters of the model's lasting tasks.
const (
	// unavailableAfter is how long a task that no order has ended may be unavailable before it
	// counts. The platform's documents give 4.5 to 5.5 s.
	unavailableAfter = 4500 * time.Millisecond
	// minWarmUpMS and maxWarmUpMS bound the time until a started task is ready.
	minWarmUpMS, maxWarmUpMS = 300, 1500
	// maintenanceTakes is how long maintenance of a host takes.
	maintenanceTakes = 2 * time.Second
)

// worldLasting is the model's state of unavailable lasting tasks and of waves.
type worldLasting struct {
	// pollsWait has polls wait for an end, as those of real workers do.
	pollsWait bool
	// unavailable are the lasting tasks that are not ready.
	unavailable map[string]*worldUnavailable
	waves       []platform.Wave
	// inMaintenance are the hosts that are in maintenance now.
	inMaintenance map[string]bool
	// maintainedBy are the machines that were maintained, by wave.
	maintainedBy map[int64]map[string]bool
	// stalledUntil is until when tasks on a worker make no progress.
	stalledUntil map[*worldWorker]time.Time
	// log has the owners' latest log lines, without those on moves of machines and on pools.
	log []worldLogLine
}

// worldLogLine is a log line of an owner.
type worldLogLine struct {
	at    time.Time
	fence platform.Fence
	LogLine
}

// String returns the log line as text.
func (n worldLogLine) String() string {
	return fmt.Sprintf("%s owner %d: %s %s run %d on %s: %s %v", n.at.Format("05.000"), n.fence, n.What, n.Task, n.Run, n.Worker, n.Why, n.Fields)
}

// maxLogLines is how many log lines are kept to be printed with a failure.
const maxLogLines = 400

// keepLogLine keeps a log line of an owner.
func (w *world) keepLogLine(o *worldOwner, n LogLine) {
	if n.What == "worker cleared" {
		w.cleared++
	}
	if n.What == "move" || n.What == "machine ordered" || n.What == "pool" {
		return
	}
	w.log = append(w.log, worldLogLine{at: w.now, fence: o.fence, LogLine: n})
	if len(w.log) > maxLogLines {
		w.log = w.log[1:]
	}
}

// logLinesOn returns the kept log lines on the step or the worker.
func (w *world) logLinesOn(k taskKey, v *worldWorker) string {
	step := fmt.Sprintf("%s.%d.%d.", k.id, k.instance, k.step)
	return w.logLines(func(n worldLogLine) bool { return strings.Contains(n.Task+" "+n.Why, step) || n.Worker == v.ID })
}

// logLines returns the kept log lines for which the function returns true.
func (w *world) logLines(wanted func(worldLogLine) bool) string {
	var b strings.Builder
	for _, n := range w.log {
		if wanted(n) {
			fmt.Fprintln(&b, n)
		}
	}
	return b.String()
}

// anyLogLine returns true for every log line.
func anyLogLine(worldLogLine) bool { return true }

// worldUnavailable is a lasting task that is not ready.
type worldUnavailable struct {
	since time.Time
	// byOrder says that an order has ended it since it was last ready.
	byOrder bool
}

func newWorldLasting() worldLasting {
	return worldLasting{unavailable: map[string]*worldUnavailable{}, inMaintenance: map[string]bool{}, maintainedBy: map[int64]map[string]bool{}, stalledUntil: map[*worldWorker]time.Time{}}
}

// warmUpPercent returns the progress of a lasting run's warm-up. At 100 the run is ready.
func (r *worldRun) warmUpPercent(now time.Time) int {
	left := r.readyAt.Sub(now)
	if left <= 0 {
		return 100
	}
	return int(max(0, 100*(r.warmUpFor-left)/max(1, r.warmUpFor)))
}

// ready reports whether the run is lasting and ready.
func (r *worldRun) ready(now time.Time) bool {
	return r.step.Lasting && r.how != platform.EndStopped && r.warmUpPercent(now) == 100
}

// warmUp draws how long a lasting run takes to be ready.
func (w *world) warmUp(v *worldWorker, r *worldRun) {
	if !r.step.Lasting {
		return
	}
	if r.step.MaxUnavailable > 0 {
		r.warmUpFor = time.Duration(rapid.IntRange(minWarmUpMS, maxWarmUpMS).Draw(w.t, "warm_ms")) * time.Millisecond
	}
	r.readyAt = latest(w.now, w.stalledUntil[v]).Add(r.warmUpFor)
}

// stall has the tasks on some worker make no progress for a while.
func (w *world) stall() {
	v := w.pickWorker()
	d := time.Duration(rapid.IntRange(1, 6).Draw(w.t, "stalled_s")) * time.Second
	w.stalledUntil[v] = w.now.Add(d)
	for _, r := range v.runs {
		if r.step.Lasting && !r.ready(w.now) {
			r.readyAt = r.readyAt.Add(d)
		}
	}
}

// trackLasting updates which lasting tasks are unavailable.
func (w *world) trackLasting() {
	ready := map[string]bool{}
	for _, v := range w.workersByStart {
		for _, r := range v.runs {
			if v.alive && r.ready(w.now) {
				ready[r.task] = true
			}
		}
	}
	for id, rec := range w.jobs {
		for i, s := range rec.Steps {
			for x := range s.Count {
				if s.Lasting && s.MaxUnavailable > 0 {
					w.trackTask(taskKey{id: id, step: i, index: x}.String(), ready)
				}
			}
		}
	}
}

func (w *world) trackTask(task string, ready map[string]bool) {
	switch {
	case ready[task]:
		delete(w.unavailable, task)
	case w.unavailable[task] == nil:
		w.unavailable[task] = &worldUnavailable{since: w.now}
	}
}

// endedByOrder is called when an order ends a run. If the run is ready, fewer other tasks of its
// step than MaxUnavailable may be unavailable. Exempt are workers that drain, orders that arrive
// late, and cancelled jobs.
func (w *world) endedByOrder(v *worldWorker, r *worldRun, late bool) {
	if !r.ready(w.now) || r.step.MaxUnavailable == 0 {
		return
	}
	k, _ := parseTaskKey(r.task)
	_, cancelled := w.cancelledAt[k.id]
	if !v.Draining && !late && !cancelled {
		w.checkOthers(v, r, k)
	}
	if w.unavailable[r.task] == nil {
		w.unavailable[r.task] = &worldUnavailable{since: w.now}
	}
	w.unavailable[r.task].byOrder = true
}

// checkOthers fails if too many other tasks of the step are unavailable to end the run.
func (w *world) checkOthers(v *worldWorker, r *worldRun, k taskKey) {
	var others []string
	for x := range w.jobs[k.id].Steps[k.step].Count {
		o := taskKey{id: k.id, step: k.step, index: x}.String()
		a := w.unavailable[o]
		if o != r.task && a != nil && (a.byOrder || w.now.Sub(a.since) >= unavailableAfter) {
			others = append(others, fmt.Sprintf("%s for %s, by an order: %t", o, w.now.Sub(a.since), a.byOrder))
		}
	}
	if len(others) >= r.step.MaxUnavailable {
		w.t.Fatalf("run %d of %s on %s, started %s ago, is ended while ready, with %d others of its step unavailable where at most %d may be: %s\n%s",
			r.number, r.task, v.ID, w.now.Sub(r.began), len(others), r.step.MaxUnavailable, strings.Join(others, "; "), w.logLinesOn(k, v))
	}
}

// answerPoll answers a poll, which may wait for an end until its timeout.
func (w *world) answerPoll(v *worldWorker, a PollWorker, sent time.Time, answer func(Event)) {
	e := w.poll(v, a, sent)
	p, ok := e.(PollResult)
	if !w.pollsWait || a.Order.Wait == 0 || !ok || p.Rejection != "" {
		answer(e)
		return
	}
	w.awaitEnd(v, a, sent, w.now.Add(a.Order.Wait), answer)
}

func (w *world) awaitEnd(v *worldWorker, a PollWorker, sent, until time.Time, answer func(Event)) {
	if !v.alive {
		answer(nil)
		return
	}
	if len(v.ended) == 0 && w.now.Before(until) {
		w.after(10*time.Millisecond, func() { w.awaitEnd(v, a, sent, until, answer) })
		return
	}
	answer(w.poll(v, a, sent))
}

// requestWave requests a wave of maintenance of some hosts.
func (w *world) requestWave() {
	v := platform.Wave{Number: int64(len(w.waves) + 1), TimeLimit: 20 * time.Second, MaxDown: rapid.IntRange(1, 2).Draw(w.t, "cap")}
	for _, x := range w.workersByStart {
		if x.alive && !slices.Contains(v.Machines, x.Host) && rapid.Bool().Draw(w.t, "in_wave") {
			v.Machines = append(v.Machines, x.Host)
		}
	}
	w.waves = append(w.waves, v)
	w.maintainedBy[v.Number] = map[string]bool{}
	for _, o := range w.owners {
		if o.fence == w.store.fence {
			w.tell(o, WaveRequested{Wave: v})
		}
	}
}

// inheritWaves adds the waves to what a new owner inherits.
func (w *world) inheritWaves(e *Inherited) {
	e.Waves = w.waves
	e.WavesBegan, e.WavesEnded = map[int64][]string{}, map[int64]bool{}
	for k, b := range sorted(w.store.ownerKeys) {
		if !strings.HasPrefix(k, wavePrefix) {
			continue
		}
		n, l, err := decodeWaveBegan(platform.Entry{Key: k, Value: b})
		if err != nil {
			w.t.Fatalf("wave: %v", err)
		}
		e.WavesBegan[n] = l
	}
}

// maintain carries out an order to maintain a host.
func (w *world) maintain(a MaintainMachine) Event {
	e := MachineOrderResult{Machine: a.Machine}
	if w.maintainedBy[a.Wave][a.Machine] {
		return e
	}
	for _, v := range w.workersByStart {
		if !v.alive || v.Host != a.Machine {
			continue
		}
		if v.Draining || v.restarting {
			e.Verdict = platform.OrderBusy
			return e
		}
		w.maintainedBy[a.Wave][a.Machine] = true
		for _, r := range sorted(v.runs) {
			w.endedByOrder(v, r, false)
		}
		w.halt(v)
		return e
	}
	e.Verdict = platform.OrderBusy
	return e
}

// halt ends the worker on a host in maintenance. The host comes up with a new one.
func (w *world) halt(v *worldWorker) {
	v.alive = false
	v.runs = map[string]*worldRun{}
	w.deleteRecord(v)
	w.inMaintenance[v.Host] = true
	w.after(maintenanceTakes, func() {
		delete(w.inMaintenance, v.Host)
		w.addWorker(v.Host)
	})
}

// drain has some worker announce that it drains, and removes its host four seconds later.
func (w *world) drain() {
	v := w.pickWorker()
	if v.Draining || v.unlisted || v.restarting {
		return
	}
	v.Draining = true
	w.writeRecord(v)
	w.after(4*time.Second, func() {
		if v.alive {
			w.removeHost(v)
		}
	})
}

// failLasting has a lasting task on some worker fail by itself.
func (w *world) failLasting() {
	v := w.pickWorker()
	for _, n := range slices.Sorted(maps.Keys(v.runs)) {
		if r := v.runs[n]; r.step.Lasting && r.how == platform.EndDone {
			r.how, r.endsAt = platform.EndFailed, w.now
			return
		}
	}
}

// submitLastingTasks submits a job of lasting tasks, at most maxUnavailable of which may be
// unavailable at a time, with any number of them or one on each worker.
func (w *world) submitLastingTasks(count, maxUnavailable int) ID {
	return w.submitSteps(platform.Step{
		Count: count, Lasting: true, MaxUnavailable: maxUnavailable, MaxPerWorker: rapid.IntRange(0, 1).Draw(w.t, "per_worker"),
		Resources: platform.Resources{MilliCores: 300},
	})
}

// TestLastingTasksStayWithinMaxUnavailable evicts tasks for waves and drains, together with
// lost and late orders, tasks that fail or stall, and changes of owner. Each order that ends a
// ready task is checked against the availability of the other tasks of its step.
func TestLastingTasksStayWithinMaxUnavailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newWorld(t).playLasting() })
}

func (w *world) playLasting() {
	t := w.t
	w.pollsWait = true
	for range 3 {
		w.hosts++
		w.addWorker(fmt.Sprint("host-", w.hosts))
	}
	// The cap of their team is enough for ten such tasks.
	for range 2 {
		w.submitLastingTasks(rapid.IntRange(2, 5).Draw(t, "tasks"), rapid.IntRange(1, 2).Draw(t, "may_miss"))
	}
	w.advance(4 * time.Second)
	t.Repeat(map[string]func(*rapid.T){
		"wave":   func(*rapid.T) { w.requestWave() },
		"drain":  func(*rapid.T) { w.drain() },
		"stall":  func(*rapid.T) { w.stall() },
		"fail":   func(*rapid.T) { w.failLasting() },
		"submit": func(*rapid.T) { w.submit() },
		"pass": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"pass on": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"lossy":   func(t *rapid.T) { w.lossy = rapid.Bool().Draw(t, "lossy") },
		"cut":     func(*rapid.T) { v := w.pickWorker(); v.partitioned = !v.partitioned },
		"crash":   func(*rapid.T) { w.crash() },
		"late":    func(*rapid.T) { w.ordersLateUntil = w.now.Add(2 * time.Second) },
		"kill":    func(*rapid.T) { w.replaceOwner(func(o *worldOwner) { o.dead = true }) },
		"freeze":  func(*rapid.T) { w.replaceOwner(w.freeze) },
		"split":   func(*rapid.T) { w.split() },
		"abandon": func(*rapid.T) { w.deposeOwner() },
		"unlist":  func(*rapid.T) { w.unlist() },
		"cancel":  func(*rapid.T) { w.cancelSome() },
		"slow": func(t *rapid.T) {
			w.slowBy = rapid.SampledFrom([]int{1, 10}).Draw(t, "slow_by")
		},
		"remove":     func(*rapid.T) { w.remove() },
		"cut record": func(*rapid.T) { w.cutRecord() },
	})
	w.heal()
	if l := w.stillUnavailable(); len(l) > 0 {
		t.Fatalf("tasks that never become ready: %v\n%s", l, w.logLines(anyLogLine))
	}
}

// stillUnavailable lets time pass until all lasting tasks are ready, for two minutes at most, and
// returns those that are not. Stops that wait for one another must not do so forever.
func (w *world) stillUnavailable() []string {
	for range 120 {
		if len(w.unavailableNow()) == 0 {
			break
		}
		w.advance(time.Second)
	}
	return w.unavailableNow()
}

// unavailableNow returns the unavailable lasting tasks of jobs that were not cancelled.
func (w *world) unavailableNow() []string {
	var l []string
	for n := range sorted(w.unavailable) {
		k, _ := parseTaskKey(n)
		if _, cancelled := w.cancelledAt[k.id]; !cancelled {
			l = append(l, n)
		}
	}
	return l
}
