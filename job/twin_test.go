package job

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amberway/platform"
)

// twins are two owners that get the same events, on a fleet with several pools, waves, paces and
// recurring jobs, which the model does not have. What they do has to be the same.
type twins struct {
	t     *rapid.T
	now   time.Time
	cores [2]*Core
	// due are outcomes that are told at their times.
	due      []lateEvent
	hosts    []*twinHost
	jobs     int
	waves    int64
	revision platform.Revision
	// failing says that writes and orders to machines fail.
	failing bool
}

// twinHost is a host with its worker.
type twinHost struct {
	platform.Worker
	silent, unlisted bool
	running          []*worldRun
	ended            []platform.EndedRow
	lastEnd          int64
}

// dataPools are the pools of twins other than the spare one.
var dataPools = []string{"blue", "green", "red"}

func twinConfig(version int64, pools []string) *platform.Config {
	d := &platform.Config{Version: version, Teams: []platform.Team{{Name: "paint", Weight: 2, Cap: platform.Resources{MilliCores: 9000}}}}
	for i, s := range pools {
		d.Services = append(d.Services, platform.Service{Name: s})
		d.Queues = append(d.Queues, platform.Queue{Name: "q" + s, Service: s, Priority: i % 2, Attempts: 2, Stretch: 2, Goal: time.Second})
	}
	d.Services = append(d.Services, platform.Service{Name: "spare", Spare: true})
	return d
}

func newTwins(t *rapid.T) *twins {
	w := &twins{t: t, now: time.Unix(1e9, 0), revision: 1000}
	for i := range w.cores {
		w.cores[i] = NewCore(100, "entry", Size{OrdersPerSecond: 8, LinkMbps: 1}, w.now)
	}
	e := Inherited{Config: twinConfig(1, dataPools), Progress: map[ID]Progress{}}
	for i := range 16 {
		h := &twinHost{Worker: testWorker(fmt.Sprint("w", i))}
		h.Service = slices.Concat(dataPools, []string{"spare"})[i%4]
		h.DataCentre = fmt.Sprint("dc-", i%2)
		h.Capacity.MilliCores = 4000 + int64(i%3)*2000
		w.hosts = append(w.hosts, h)
		e.Workers = append(e.Workers, h.Worker)
		h.silent = rapid.IntRange(0, 2).Draw(t, "silent") == 0
		if h.Service != "spare" {
			e.Roster.Workers = append(e.Roster.Workers, RosterEntry{ID: h.ID, Service: h.Service, Address: h.Address, Host: h.Host})
		}
	}
	for i := range 30 {
		e.Progress[ID(fmt.Sprintf("%016x", 0xf000+i))] = Progress{State: platform.StateSucceeded}
	}
	w.step(e)
	return w
}

// step has both owners apply the event, compares their actions, and performs these.
func (w *twins) step(e Event) {
	l := w.cores[0].Step(w.now, e)
	a, b := actionLines(l), actionLines(w.cores[1].Step(w.now, e))
	if !slices.Equal(a, b) {
		w.t.Fatalf("%T leads to\n%s\nor\n%s", e, strings.Join(a, "\n"), strings.Join(b, "\n"))
	}
	for _, a := range l {
		w.perform(a)
	}
}

func actionLines(l []Action) []string {
	lines := make([]string, len(l))
	for i, a := range l {
		lines[i] = fmt.Sprintf("%T %+v", a, a)
	}
	return lines
}

func (w *twins) tell(d time.Duration, e Event) {
	w.due = append(w.due, lateEvent{at: w.now.Add(d), Event: e})
}

// host returns the host of a worker or with a name.
func (w *twins) host(name string, id platform.WorkerID) *twinHost {
	return w.hosts[slices.IndexFunc(w.hosts, func(h *twinHost) bool { return h.Host == name || h.ID == id })]
}

func (w *twins) perform(a Action) {
	const back = 20 * time.Millisecond
	lost := platform.ErrUnknownOutcome
	switch a := a.(type) {
	case WriteStore:
		w.revision++
		r := WriteResult{Number: a.Number, Revision: w.revision}
		if w.failing {
			r.Err = lost
		}
		w.tell(back, r)
	case PollWorker:
		h := w.host("", a.Worker.ID)
		if h.silent {
			w.tell(pollSlack, PollResult{Worker: h.ID, SentAt: w.now, Err: lost})
			return
		}
		h.ended = slices.DeleteFunc(h.ended, func(e platform.EndedRow) bool { return e.Number <= a.Order.LastAcked })
		w.tell(a.Order.Wait/4+back, h.reply(w.now, a))
	case StartRun:
		h := w.host("", a.Worker.ID)
		r := StartResult{Worker: h.ID, Run: a.Order.Run, Task: a.Order.Task, Clock: clockAt(w.now)}
		if h.silent {
			r.Err = lost
		} else {
			d := time.Duration(200+100*(a.Order.Run%20)) * time.Millisecond
			h.running = append(h.running, &worldRun{task: a.Order.Task, number: a.Order.Run, began: w.now, endsAt: w.now.Add(d)})
		}
		w.tell(back, r)
	case StopRun:
		h := w.host("", a.Worker.ID)
		r := StopResult{Worker: h.ID, Run: a.Run, Task: a.Task, Clock: clockAt(w.now)}
		if h.silent {
			r.Err = lost
		} else {
			h.end(func(o *worldRun) bool { return o.task == a.Task }, platform.EndStopped)
		}
		w.tell(back, r)
	case PaceRun:
		w.tell(back, PaceResult{Worker: a.Worker.ID, Run: a.Run, Task: a.Task})
	case ListMachines:
		w.tell(back, w.list())
	case MoveMachine:
		w.order(a.Machine, a.Pool)
	case MaintainMachine:
		w.order(a.Machine, "")
	}
}

// order carries out an order to a machine, whose worker ends, and its next one starts.
func (w *twins) order(machine, pool string) {
	r := MachineOrderResult{Machine: machine}
	if w.failing {
		r.Err = platform.ErrUnknownOutcome
		w.tell(20*time.Millisecond, r)
		return
	}
	w.tell(20*time.Millisecond, r)
	h := w.host(machine, "")
	w.tell(30*time.Millisecond, WorkerUnlisted{Name: h.ID.Name()})
	if pool != "" {
		h.Service = pool
	}
	h.running = nil
	w.tell(300*time.Millisecond, WorkerListed{Worker: h.Worker})
}

func clockAt(now time.Time) platform.WorkerClock {
	return platform.WorkerClock(now.Sub(time.Unix(1e9, 0)).Milliseconds() + 1)
}

// end ends the runs for which f holds.
func (h *twinHost) end(f func(*worldRun) bool, how platform.End) {
	h.running = slices.DeleteFunc(h.running, func(r *worldRun) bool {
		if !f(r) {
			return false
		}
		h.lastEnd++
		h.ended = append(h.ended, platform.EndedRow{Number: h.lastEnd, Task: r.task, Run: r.number, End: how})
		return true
	})
}

// reply answers a poll. Tail latencies go up and down, so that paces change.
func (h *twinHost) reply(now time.Time, a PollWorker) PollResult {
	h.end(func(r *worldRun) bool { return !now.Before(r.endsAt) && !strings.HasPrefix(r.task, "l") }, platform.EndDone)
	r := PollResult{Worker: h.ID, SentAt: now, Acked: a.Order.LastAcked, Poll: platform.PollReply{Clock: clockAt(now), Ended: slices.Clone(h.ended)}}
	for _, o := range h.running {
		r.Poll.Running = append(r.Poll.Running, platform.RunningRow{
			Task: o.task, Run: o.number, Percent: int(min(100, now.Sub(o.began)/(20*time.Millisecond))), Level: float64(now.Unix() % 5 * 30),
		})
	}
	return r
}

// list returns the machine list, without the hosts that have no record.
func (w *twins) list() MachineList {
	e := MachineList{SentAt: w.now}
	for _, h := range w.hosts {
		if !h.unlisted {
			e.Machines = append(e.Machines, platform.Machine{Name: h.Host, Pool: h.Service, State: platform.MachineUp, DataCentre: h.DataCentre, Worker: h.ID.Name(), Capacity: h.Capacity})
		}
	}
	return e
}

// advance lets time pass.
func (w *twins) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(10 * time.Millisecond)
		for i := 0; i < len(w.due); i++ {
			if e := w.due[i]; !w.now.Before(e.at) {
				w.due = slices.Delete(w.due, i, i+1)
				w.step(e.Event)
				i--
			}
		}
		if w.now.UnixMilli()%tickEvery.Milliseconds() == 0 {
			w.step(LeaseRenewed{SentAt: w.now})
			w.step(Tick{})
		}
	}
}

// submit submits a job of a drawn kind.
func (w *twins) submit() {
	s := platform.Step{Count: rapid.IntRange(1, 12).Draw(w.t, "count"), Resources: platform.Resources{MilliCores: 500, MemoryMB: 10}, Estimate: time.Second}
	n := platform.Submission{Spec: "s"}
	id := fmt.Sprintf("%016x", w.jobs)
	switch rapid.SampledFrom([]string{"plain", "large", "recurring", "best effort", "serving"}).Draw(w.t, "kind") {
	case "large":
		s.MilliCores = 1700
	case "recurring":
		n.Times, n.First, n.Every = 6, w.now, 200*time.Millisecond
	case "best effort":
		s.BestEffort = true
	case "serving":
		id = "l" + id[1:]
		s.Lasting, s.MaxTailLatency, s.MaxUnavailable, s.MaxPerWorker = true, 100*time.Millisecond, 1, 1
	}
	n.Steps = []platform.Step{s}
	r := NewRecord(twinConfig(1, dataPools).Queues[rapid.IntRange(0, 2).Draw(w.t, "queue")], n, w.now)
	r.Team = rapid.SampledFrom([]string{"paint", ""}).Draw(w.t, "team")
	w.jobs++
	w.revision++
	w.step(Accepted{ID: ID(id), Record: r, Created: w.revision})
}

// relist has the owners list all records, without those of drawn hosts.
func (w *twins) relist() {
	var l WorkerList
	for _, h := range w.hosts {
		if h.unlisted = rapid.IntRange(0, 3).Draw(w.t, "unlisted") == 0; !h.unlisted {
			l = append(l, h.Worker)
		}
	}
	w.step(l)
}

// remove removes two hosts: they are silent, and neither they nor their records are listed.
func (w *twins) remove() {
	for range 2 {
		h := w.hosts[rapid.IntRange(0, 15).Draw(w.t, "host")]
		h.silent, h.unlisted = true, true
		w.step(WorkerUnlisted{Name: h.ID.Name()})
	}
}

// configure puts a configuration with drawn pools in force. The spare pool may get a queue, so
// that its workers are polled.
func (w *twins) configure() {
	w.revision++
	d := twinConfig(int64(w.revision), dataPools[:rapid.IntRange(1, 3).Draw(w.t, "pools")])
	if rapid.Bool().Draw(w.t, "spare_queue") {
		d.Queues = append(d.Queues, platform.Queue{Name: "qspare", Service: "spare", Attempts: 2, Stretch: 2, Goal: time.Second})
	}
	w.step(ConfigChanged{Config: d})
}

func (w *twins) requestWave() {
	w.waves++
	v := platform.Wave{Number: w.waves, MaxDown: rapid.IntRange(1, 8).Draw(w.t, "cap"), TimeLimit: time.Minute}
	for _, h := range w.hosts {
		if rapid.Bool().Draw(w.t, "in_wave") {
			v.Machines = append(v.Machines, h.Host)
		}
	}
	w.step(WaveRequested{Wave: v})
}

// TestSameEventsLeadToTheSameActions gives two owners the same events. Their maps are in different
// orders, so that an action that depends on one differs sooner or later.
func TestSameEventsLeadToTheSameActions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTwins(t)
		w.advance(time.Second)
		pass := func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { w.submit() },
			"more":   func(*rapid.T) { w.submit() },
			"pass":   pass,
			"cancel": func(t *rapid.T) {
				w.step(CancelRequested{ID: ID(fmt.Sprintf("%016x", rapid.IntRange(0, w.jobs).Draw(t, "job")))})
			},
			"silent":    func(t *rapid.T) { h := w.hosts[rapid.IntRange(0, 15).Draw(t, "host")]; h.silent = !h.silent },
			"fail":      func(t *rapid.T) { w.failing = rapid.Bool().Draw(t, "failing") },
			"remove":    func(*rapid.T) { w.remove() },
			"relist":    func(*rapid.T) { w.relist() },
			"configure": func(*rapid.T) { w.configure() },
			"wave":      func(*rapid.T) { w.requestWave() },
			"evacuate": func(t *rapid.T) {
				w.revision++
				e := Evacuations{At: w.revision, DataCentres: map[string]platform.Revision{}}
				if rapid.Bool().Draw(t, "evacuated") {
					e.DataCentres["dc-1"] = w.revision
				}
				w.step(EvacuationsChanged{Evacuations: e, Source: "watch"})
			},
		})
		w.failing = false
		w.advance(10 * time.Second)
		// Final jobs are forgotten after minutes.
		w.now = w.now.Add(forgetAfter)
		w.advance(6 * time.Second)
	})
}
