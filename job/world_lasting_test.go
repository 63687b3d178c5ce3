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

// Figures of the model's lasting tasks.
const (
	// noticeAfter is how long a task that was not ended by an order may be away before it
	// counts: the pages say 4.5 to 5.5 s.
	noticeAfter = 4500 * time.Millisecond
	// warmLeast and warmMost bound how long a task takes to be at work.
	warmLeast, warmMost = 300, 1500
	// maintained is how long upkeep takes.
	maintained = 2 * time.Second
)

// worldLasting is what the model knows of lasting tasks that are away, and of waves.
type worldLasting struct {
	// looksWait has a look wait for an end, as workers do.
	looksWait bool
	// away are the lasting tasks that are not at work.
	away  map[string]*worldAway
	waves []platform.Wave
	// upkeeps are the hosts that have their upkeep now.
	upkeeps map[string]bool
	// done are the machines that each wave has maintained.
	done map[int64]map[string]bool
	// stalled are the workers on which tasks make no progress, until the time.
	stalled map[*worldWorker]time.Time
	// log has what owners have noted of late, but for moves of machines.
	log []worldNote
}

// worldNote is a note of an owner.
type worldNote struct {
	at    time.Time
	fence platform.Fence
	Note
}

// String tells of the note on one line.
func (n worldNote) String() string {
	return fmt.Sprintf("%s owner %d: %s %s run %d on %s: %s %v", n.at.Format("05.000"), n.fence, n.What, n.Task, n.Run, n.Worker, n.Why, n.Inputs)
}

// keptNotes is how many notes of owners are kept for a failure.
const keptNotes = 400

// keepNote keeps a note of an owner.
func (w *world) keepNote(o *worldOwner, n Note) {
	if n.What == "move" || n.What == "machine ordered" || n.What == "pool" {
		return
	}
	w.log = append(w.log, worldNote{at: w.now, fence: o.fence, Note: n})
	if len(w.log) > keptNotes {
		w.log = w.log[1:]
	}
}

// notesOn returns what owners have noted of a step or a worker of late.
func (w *world) notesOn(k taskKey, v *worldWorker) string {
	step := fmt.Sprintf("%s.%d.%d.", k.id, k.k, k.step)
	return w.notes(func(n worldNote) bool { return strings.Contains(n.Task+" "+n.Why, step) || n.Worker == v.ID })
}

// notes returns those of the kept notes that the function holds for, a line each.
func (w *world) notes(wanted func(worldNote) bool) string {
	var b strings.Builder
	for _, n := range w.log {
		if wanted(n) {
			fmt.Fprintln(&b, n)
		}
	}
	return b.String()
}

// anyNote holds for each note.
func anyNote(worldNote) bool { return true }

// worldAway is a lasting task that is not at work.
type worldAway struct {
	since time.Time
	// byOrder says that an order has ended it since it was last at work.
	byOrder bool
}

func newWorldLasting() worldLasting {
	return worldLasting{away: map[string]*worldAway{}, upkeeps: map[string]bool{}, done: map[int64]map[string]bool{}, stalled: map[*worldWorker]time.Time{}}
}

// warmth returns how far a lasting run is on its way to be at work.
func (r *worldRun) warmth(now time.Time) int {
	left := r.atWorkAt.Sub(now)
	if left <= 0 {
		return 100
	}
	return int(max(0, 100*(r.takes-left)/max(1, r.takes)))
}

// atWork reports whether the run is at work.
func (r *worldRun) atWork(now time.Time) bool {
	return r.step.Lasting && r.how != platform.EndStopped && r.warmth(now) == 100
}

// warmUp draws how long a lasting run takes to be at work.
func (w *world) warmUp(v *worldWorker, r *worldRun) {
	if !r.step.Lasting {
		return
	}
	if r.step.MayMiss > 0 {
		r.takes = time.Duration(rapid.IntRange(warmLeast, warmMost).Draw(w.t, "warm_ms")) * time.Millisecond
	}
	r.atWorkAt = latest(w.now, w.stalled[v]).Add(r.takes)
}

// stall has some worker's tasks make no progress for a while.
func (w *world) stall() {
	v := w.some()
	d := time.Duration(rapid.IntRange(1, 6).Draw(w.t, "stalled_s")) * time.Second
	w.stalled[v] = w.now.Add(d)
	for _, r := range v.runs {
		if r.step.Lasting && !r.atWork(w.now) {
			r.atWorkAt = r.atWorkAt.Add(d)
		}
	}
}

// watchLasting notes which lasting tasks are at work.
func (w *world) watchLasting() {
	atWork := map[string]bool{}
	for _, v := range w.workers {
		for _, r := range v.runs {
			if v.alive && r.atWork(w.now) {
				atWork[r.task] = true
			}
		}
	}
	for id, rec := range w.jobs {
		for i, s := range rec.Steps {
			for x := range s.Count {
				if s.Lasting && s.MayMiss > 0 {
					w.watchTask(taskKey{id: id, step: i, index: x}.String(), atWork)
				}
			}
		}
	}
}

func (w *world) watchTask(task string, atWork map[string]bool) {
	switch {
	case atWork[task]:
		delete(w.away, task)
	case w.away[task] == nil:
		w.away[task] = &worldAway{since: w.now}
	}
}

// endedByOrder is called when an order ends a run. Of its step, not as many others may be
// away as the step may miss, unless the worker says that it leaves, the order was held up,
// or the job is cancelled.
func (w *world) endedByOrder(v *worldWorker, r *worldRun, late bool) {
	if !r.atWork(w.now) || r.step.MayMiss == 0 {
		return
	}
	k, _ := parseTaskKey(r.task)
	_, cancelled := w.cancels[k.id]
	if !v.Draining && !late && !cancelled {
		w.checkOthers(v, r, k)
	}
	if w.away[r.task] == nil {
		w.away[r.task] = &worldAway{since: w.now}
	}
	w.away[r.task].byOrder = true
}

func (w *world) checkOthers(v *worldWorker, r *worldRun, k taskKey) {
	var away []string
	for x := range w.jobs[k.id].Steps[k.step].Count {
		o := taskKey{id: k.id, step: k.step, index: x}.String()
		a := w.away[o]
		if o != r.task && a != nil && (a.byOrder || w.now.Sub(a.since) >= noticeAfter) {
			away = append(away, fmt.Sprintf("%s for %s, by an order: %t", o, w.now.Sub(a.since), a.byOrder))
		}
	}
	if len(away) >= r.step.MayMiss {
		w.t.Fatalf("run %d of %s on %s, begun %s ago, is ended at work while %d others of its step are away, which may miss %d: %s\n%s",
			r.number, r.task, v.ID, w.now.Sub(r.began), len(away), r.step.MayMiss, strings.Join(away, "; "), w.notesOn(k, v))
	}
}

// answerLook answers a look, after an end or the time that it may wait.
func (w *world) answerLook(v *worldWorker, a LookAt, answer func(Event)) {
	sent := w.now
	e := w.look(v, a)
	l, ok := e.(Looked)
	if !w.looksWait || a.Order.Wait == 0 || !ok || l.Rejection != "" {
		answer(e)
		return
	}
	w.awaitEnd(v, a, sent, answer)
}

func (w *world) awaitEnd(v *worldWorker, a LookAt, sent time.Time, answer func(Event)) {
	if !v.alive {
		answer(nil)
		return
	}
	if len(v.ended) == 0 && w.now.Sub(sent) < a.Order.Wait {
		w.after(10*time.Millisecond, func() { w.awaitEnd(v, a, sent, answer) })
		return
	}
	e := w.look(v, a)
	if l, ok := e.(Looked); ok {
		l.SentAt = sent
		e = l
	}
	answer(e)
}

// askWave asks for the upkeep of some hosts.
func (w *world) askWave() {
	v := platform.Wave{Number: int64(len(w.waves) + 1), Within: 20 * time.Second, Cap: rapid.IntRange(1, 2).Draw(w.t, "cap")}
	for _, x := range w.order {
		if x.alive && !slices.Contains(v.Machines, x.Host) && rapid.Bool().Draw(w.t, "in_wave") {
			v.Machines = append(v.Machines, x.Host)
		}
	}
	w.waves = append(w.waves, v)
	w.done[v.Number] = map[string]bool{}
	for _, o := range w.owners {
		if o.fence == w.store.fence {
			w.tell(o, WaveAsked{Wave: v})
		}
	}
}

// inheritWaves tells a next owner of the waves.
func (w *world) inheritWaves(e *Inherited) {
	e.Waves = w.waves
	e.WavesBegan, e.WavesEnded = map[int64][]string{}, map[int64]bool{}
	for k, b := range w.store.own {
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

// maintain carries out the upkeep of a host.
func (w *world) maintain(a MaintainMachine) Event {
	e := MachineOrdered{Machine: a.Machine}
	if w.done[a.Wave][a.Machine] {
		return e
	}
	for _, v := range w.order {
		if !v.alive || v.Host != a.Machine {
			continue
		}
		if v.Draining || v.down {
			e.Verdict = platform.OrderBusy
			return e
		}
		w.done[a.Wave][a.Machine] = true
		for _, r := range v.runs {
			w.endedByOrder(v, r, false)
		}
		w.halt(v)
		return e
	}
	e.Verdict = platform.OrderBusy
	return e
}

// halt ends a worker under upkeep, whose host comes up with another.
func (w *world) halt(v *worldWorker) {
	v.alive = false
	v.runs = map[string]*worldRun{}
	w.tellGone(v)
	w.upkeeps[v.Host] = true
	w.after(maintained, func() {
		delete(w.upkeeps, v.Host)
		w.addWorker(v.Host)
	})
}

// drain has some worker say that it leaves, and end four seconds later.
func (w *world) drain() {
	v := w.some()
	if v.Draining || v.unlisted || v.down {
		return
	}
	v.Draining = true
	w.tellRecord(v)
	w.after(4*time.Second, func() {
		if v.alive {
			w.removeHost(v)
		}
	})
}

// failLasting has a lasting task of some worker fail by itself.
func (w *world) failLasting() {
	v := w.some()
	for _, n := range slices.Sorted(maps.Keys(v.runs)) {
		if r := v.runs[n]; r.step.Lasting && r.how == platform.EndDone {
			r.how, r.endsAt = platform.EndFailed, w.now
			return
		}
	}
}

// handInMissing adds a job of lasting tasks of which so many may be away.
func (w *world) handInMissing(count, mayMiss int) ID {
	return w.submitSteps(platform.Step{Count: count, Lasting: true, MayMiss: mayMiss, Resources: platform.Resources{MilliCores: 300}})
}

// TestLastingTasksAreNotTakenAwayBeyondWhatTheyMayMiss empties workers for waves and drains
// beside lost and late orders, tasks that fail and stand still, and changes of owner. Each
// order that ends a task at work is held against the others of its step.
func TestLastingTasksAreNotTakenAwayBeyondWhatTheyMayMiss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.looksWait = true
		for range 3 {
			w.hosts++
			w.addWorker(fmt.Sprint("host-", w.hosts))
		}
		// The cap of their team bears ten such tasks.
		for range 2 {
			w.handInMissing(rapid.IntRange(2, 5).Draw(t, "tasks"), rapid.IntRange(1, 2).Draw(t, "may_miss"))
		}
		w.pass(4 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"wave":   func(*rapid.T) { w.askWave() },
			"drain":  func(*rapid.T) { w.drain() },
			"stall":  func(*rapid.T) { w.stall() },
			"fail":   func(*rapid.T) { w.failLasting() },
			"submit": func(*rapid.T) { w.submit() },
			"pass": func(t *rapid.T) {
				w.pass(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"pass on": func(t *rapid.T) {
				w.pass(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"lossy":   func(t *rapid.T) { w.lossy = rapid.Bool().Draw(t, "lossy") },
			"cut":     func(*rapid.T) { v := w.some(); v.cut = !v.cut },
			"crash":   func(*rapid.T) { w.crash() },
			"late":    func(*rapid.T) { w.lateUntil = w.now.Add(2 * time.Second) },
			"kill":    func(*rapid.T) { w.succeed(func(o *worldOwner) { o.dead = true }) },
			"freeze":  func(*rapid.T) { w.succeed(w.freeze) },
			"split":   func(*rapid.T) { w.split() },
			"abandon": func(*rapid.T) { w.abandon() },
			"unlist":  func(*rapid.T) { w.unlist() },
			"cancel":  func(*rapid.T) { w.cancelSome() },
			"slow": func(t *rapid.T) {
				w.slowBy = rapid.SampledFrom([]int{1, 10}).Draw(t, "slow_by")
			},
			"remove":     func(*rapid.T) { w.remove() },
			"cut record": func(*rapid.T) { w.cutRecord() },
		})
		w.heal()
		if l := w.stillAway(); len(l) > 0 {
			t.Fatalf("tasks that never come to work: %v\n%s", l, w.notes(anyNote))
		}
	})
}

// stillAway lets time pass until all lasting tasks are at work, for two minutes at most, and
// returns those that are not: stops that wait for one another must not do so for good.
func (w *world) stillAway() []string {
	for range 120 {
		if len(w.awayNow()) == 0 {
			break
		}
		w.pass(time.Second)
	}
	return w.awayNow()
}

// awayNow returns the lasting tasks of jobs that go on that are not at work.
func (w *world) awayNow() []string {
	var l []string
	for n := range w.away {
		k, _ := parseTaskKey(n)
		if _, cancelled := w.cancels[k.id]; !cancelled {
			l = append(l, n)
		}
	}
	return l
}
