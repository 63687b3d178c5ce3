package job

import (
	"slices"

	"amberway/platform"
)

func (w *lateWorker) clock() platform.WorkerClock {
	return w.clockAtStart + platform.WorkerClock(w.fleet.now.Sub(w.born).Milliseconds())
}

// alive reports whether no later incarnation has replaced the worker.
func (w *lateWorker) alive() bool {
	return w.fleet.running[w.ID.Name()] == w
}

// tick ends the runs that are due, or all of them if the lease has expired, and answers the
// polls that have waited long enough.
func (w *lateWorker) tick() {
	if !w.alive() {
		return
	}
	for task, r := range w.runs {
		switch {
		case w.clock() > w.leaseUntil:
			w.end(task, platform.EndExpired)
		case !w.fleet.now.Before(r.endsAt):
			w.end(task, platform.EndDone)
		}
	}
	if w.silent {
		return
	}
	var due []latePoll
	w.waiting = slices.DeleteFunc(w.waiting, func(p latePoll) bool {
		if len(w.unread()) == 0 && w.fleet.now.Before(p.until) {
			return false
		}
		due = append(due, p)
		return true
	})
	for _, p := range due {
		p.owner.now = w.fleet.now
		p.owner.step(w.answer(p.order, platform.Accepted))
	}
}

// silence cuts the worker off. Its polls get no answer.
func (w *lateWorker) silence() {
	w.fleet.notef("%s falls silent", w.ID)
	w.silent = true
	for _, p := range w.waiting {
		p.owner.failLater(p.order, p.until.Add(pollSlack))
	}
	w.waiting = nil
}

// carryOut does what an order asks for, or returns why it does not.
func (w *lateWorker) carryOut(a Action) platform.Rejection {
	if fenceOf(a) < w.fence {
		w.fleet.notef("%s refuses, by its fence %d: %s", w.ID, w.fence, describeOrder(a))
		return platform.RejectedFenced
	}
	w.fence = fenceOf(a)
	switch a := a.(type) {
	case PollWorker:
		w.extendLease(a.Order.LeaseUntil)
		w.forget(a.Order.LastAcked)
	case StartRun:
		return w.begin(a.Order)
	case StopRun:
		w.highestRun[a.Task] = max(w.highestRun[a.Task], a.Run)
		if r := w.runs[a.Task]; r != nil && r.number == a.Run {
			w.end(a.Task, platform.EndStopped)
		}
	}
	return platform.Accepted
}

// answer returns the answer to an order that the worker has carried out or rejected.
func (w *lateWorker) answer(a Action, rejection platform.Rejection) Event {
	switch a := a.(type) {
	case PollWorker:
		l := platform.PollReply{ReportedStart: platform.ReportedStart{Incarnation: w.ID.Incarnation()}, Clock: w.clock()}
		for task, r := range w.runs {
			l.Running = append(l.Running, platform.RunningRow{Task: task, Run: r.number, Percent: r.percent(w.fleet)})
		}
		for _, e := range w.unread() {
			l.Ended = append(l.Ended, e.EndedRow)
		}
		return PollResult{Worker: a.Worker.ID, SentAt: w.fleet.now, Acked: a.Order.LastAcked, Fence: a.Order.Fence, Poll: l, Rejection: rejection}
	case StartRun:
		return StartResult{Worker: a.Worker.ID, Run: a.Order.Run, Task: a.Order.Task, Fence: a.Order.Fence, Rejection: rejection, Clock: w.clock()}
	case StopRun:
		return StopResult{Worker: a.Worker.ID, Run: a.Run, Task: a.Task, Fence: a.Fence, Rejection: rejection, Clock: w.clock()}
	}
	return nil
}

// percent returns the progress of a run that lasts a minute if nothing ends it before.
func (r *lateRun) percent(f *lateFleet) int {
	return int(min(99, f.now.Sub(r.began).Seconds()*100/60))
}

// extendLease extends the lease to a time by the worker's clock, but by no more than maxHold.
func (w *lateWorker) extendLease(until platform.WorkerClock) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock()+platform.WorkerClock(maxHold.Milliseconds())))
}

// begin begins a run, unless one that is not below it was stopped or has ended there.
func (w *lateWorker) begin(o platform.StartOrder) platform.Rejection {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return platform.Accepted
	}
	if o.LeaseUntil <= w.clock() {
		return platform.RejectedExpired
	}
	w.extendLease(o.LeaseUntil)
	if o.Run <= w.highestRun[o.Task] {
		return platform.RejectedStaleRun
	}
	w.checkStart(o)
	w.highestRun[o.Task] = o.Run
	w.runs[o.Task] = &lateRun{number: o.Run, began: w.fleet.now, endsAt: w.fleet.now.Add(w.fleet.runFor)}
	w.fleet.notef("%s begins %s run %d", w.ID, o.Task, o.Run)
	if w.fleet.runFor == 0 {
		w.end(o.Task, platform.EndDone)
	}
	w.fleet.started(w, o.Task)
	return platform.Accepted
}

// checkStart checks that the task runs nowhere, and that no successful end of it was forgotten.
func (w *lateWorker) checkStart(o platform.StartOrder) {
	for _, v := range w.fleet.lives {
		if r := v.runs[o.Task]; v.alive() && r != nil {
			w.fleet.violatedf("%s starts as run %d on %s while its run %d is running on %s", o.Task, o.Run, w.ID, r.number, v.ID)
		}
		for _, e := range v.ends {
			if e.Task != o.Task || e.End != platform.EndDone {
				continue
			}
			if e.forgotten {
				w.fleet.violatedf("%s starts as run %d on %s after %s has forgotten the successful end of run %d", o.Task, o.Run, w.ID, v.ID, e.Run)
			}
			e.again = true
		}
	}
}

func (w *lateWorker) end(task string, how platform.End) {
	w.lastEnd++
	r := w.runs[task]
	delete(w.runs, task)
	w.ends = append(w.ends, &lateEnd{EndedRow: platform.EndedRow{Number: w.lastEnd, Task: task, Run: r.number, End: how}})
	w.fleet.notef("%s ends %s run %d: %s (end %d)", w.ID, task, r.number, how, w.lastEnd)
}

// unread returns the ends that the worker has not forgotten.
func (w *lateWorker) unread() []*lateEnd {
	var l []*lateEnd
	for _, e := range w.ends {
		if !e.forgotten {
			l = append(l, e)
		}
	}
	return l
}

// forget forgets the ends up to a number. The tasks of those that were successful must not have
// been started since.
func (w *lateWorker) forget(number int64) {
	for _, e := range w.unread() {
		if e.Number > number {
			continue
		}
		e.forgotten = true
		w.fleet.notef("%s forgets end %d of %s run %d", w.ID, e.Number, e.Task, e.Run)
		if e.again && e.End == platform.EndDone {
			w.fleet.violatedf("%s forgets the successful end of %s run %d, which was started again", w.ID, e.Task, e.Run)
		}
	}
}

// succeeded reports whether a run of the task has ended successfully.
func (f *lateFleet) succeeded(task string) bool {
	return slices.ContainsFunc(f.lives, func(w *lateWorker) bool {
		return slices.ContainsFunc(w.ends, func(e *lateEnd) bool { return e.Task == task && e.End == platform.EndDone })
	})
}
