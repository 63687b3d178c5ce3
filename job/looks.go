package job

import (
	"errors"
	"time"

	"amberway/platform"
)

// tend does what time asks for at one worker: the next look, orders to stop
// that are owed, and the end of what has lapsed.
func (c *Core) tend(w *worker) {
	if w.silent > 0 || !w.listed {
		c.tendLapse(w)
	}
	if c.workers[w.ID] != w {
		return
	}
	c.tendRuns(w)
	if c.leaves(w) && w.met && w.silent == 0 {
		c.evacuate(w)
	}
	if !w.looking && !c.dormant(w) && !c.now.Before(c.nextLook(w)) && c.flow.mayLook(w.met, w.lookSentAt, c.now) {
		c.look(w)
	}
}

// nextLook returns when the worker is to be looked at again.
func (c *Core) nextLook(w *worker) time.Time {
	never := c.now.Add(time.Hour)
	switch {
	case !w.met || w.silent > 0 || w.doubtful:
		return w.lookAt
	case w.seen > w.kept && c.failing:
		return w.lookAt
	case w.seen > w.kept:
		// The next look follows the write, so that the worker can forget.
		return latest(w.lookAt, w.lookSentAt.Add(lookWait))
	case len(w.runs) > 0 || len(w.strays) > 0:
		return w.lookAt
	case w.kept > w.acked:
		return latest(w.lookAt, w.idleSince.Add(ackDelay))
	}
	return never
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *Core) look(w *worker) {
	o := platform.LookOrder{Fence: c.fence, LastSeen: w.forgets()}
	if w.met && w.silent == 0 {
		// A silent worker's lease is left to lapse.
		o.Until = w.lease(c.now)
	}
	if w.met && w.silent == 0 && w.seen == w.kept && len(w.runs)+len(w.strays) > 0 && !w.unsettled(c.now) {
		o.Wait = c.lookWait(w)
	}
	w.looking, w.lookWaits = true, o.Wait > 0
	w.lookSentAt = c.now
	if w.met {
		c.flow.take(lookBytes)
	} else {
		c.flow.take(firstBytes)
	}
	c.do(LookAt{Worker: w.Worker, Order: o})
}

// forgets returns the number of the last end that the worker may forget: none while it
// may have started again unheard, as the number would have the next incarnation forget
// ends of its own that nobody has read.
func (w *worker) forgets() int64 {
	if w.silent > 0 || w.unsure() {
		return 0
	}
	return w.kept
}

// lookWait returns how long a worker may wait for an end. Where serving tasks
// share it with others, their tails are looked at more often.
func (c *Core) lookWait(w *worker) time.Duration {
	if w.shared() {
		return pacedLookWait
	}
	return lookWait
}

// apply takes in what a worker has answered.
func (e Looked) apply(c *Core) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	w.looking = false
	switch {
	case errors.Is(e.Err, platform.ErrOtherLife):
		c.lose(w, "another life answers at its address")
		return
	case e.Err != nil:
		w.silent++
		w.lookAt = c.now.Add(lookRetry)
		if w.silent == 1 {
			c.do(Note{What: "worker silent", Worker: w.ID, Why: e.Err.Error()})
			c.noteSilence(w)
		}
		c.tend(w)
		return
	case e.Rejection == platform.RejectedFence:
		c.do(StepDown{Why: "a worker has seen a higher fence"})
		return
	}
	if !c.sameAnswers(w, e.Look.Origin) {
		return
	}
	if !w.lookWaits {
		c.flow.answered(w.lookSentAt, c.now)
	}
	news := w.silent > 0 || !w.met || len(e.Look.Ended) > 0 || len(w.strays) > 0
	if w.silent > 0 {
		c.do(Note{What: "worker answers again", Worker: w.ID, Inputs: []any{"looks", w.silent}})
	}
	w.silent, w.missed = 0, 0
	w.doubtful = false
	if !w.met {
		w.met = true
		c.supersede(w)
		// Jobs may have waited for what it would say of earlier owners' runs.
		c.reorder(w.Service)
	}
	w.lookAt = c.now
	w.lookedAt, w.askedAt = c.now, e.SentAt
	w.hearClock(e.Look.Clock, c.now)
	w.acked = max(w.acked, e.Acked)
	c.takeEnds(w, e.Look.Ended)
	c.takeRunning(w, e.SentAt, e.Look.Running)
	c.control(w)
	if w.unsettled(c.now) {
		w.lookAt = c.now.Add(w.settlePause())
	}
	if w.seen > w.kept && c.failing {
		w.lookAt = c.now.Add(lookRetry)
	}
	c.tend(w)
	if news {
		c.replan(w.Service)
	}
}

// noteSilence has the list of machines read soon after a worker has fallen silent, as it
// tells a crash. Where its machine has an order, the silence is no news, and the list no
// more urgent than the link bears.
func (c *Core) noteSilence(w *worker) {
	if m := c.byName[w.Host]; m != nil && m.order != nil && m.order.recorded {
		c.listAt = earliest(c.listAt, c.now.Add(max(listSilent, c.listGap())))
		return
	}
	c.silenceAt = c.now
	c.listAt = earliest(c.listAt, c.now.Add(listSilent))
}

// takeRunning compares what runs with what is known to. Runs that started
// after the look was sent may be missing from it.
func (c *Core) takeRunning(w *worker, sentAt time.Time, rows []platform.RunningRow) {
	there := make(map[strayID]bool, len(rows))
	for _, v := range rows {
		there[strayID{task: v.Task, number: v.Run}] = true
		k, ok := parseTaskKey(v.Task)
		if !ok {
			continue
		}
		r := w.find(k, v.Run)
		if r == nil {
			r = c.adopt(w, k, v)
		}
		if r != nil {
			c.heard(r, v)
		}
	}
	for _, r := range w.runs {
		if there[strayID{task: r.task.key().String(), number: r.number}] || !r.sentAt.Before(sentAt) {
			continue
		}
		c.missing(r, sentAt)
	}
	for n := range w.strays {
		if !there[n] {
			w.dropStray(n)
		}
	}
}

// heard notes what a worker says of a run.
func (c *Core) heard(r *run, v platform.RunningRow) {
	r.begun, r.listed, r.absent, r.accused = true, true, false, false
	if r.phase == unsure || r.phase == starting {
		if r.phase == unsure {
			c.noteRun(r, "start settled", "its run is there", nil)
		}
		r.phase = running
		r.knownAt = c.now
	}
	if v.Percent != r.percent {
		r.percent = v.Percent
		r.movedAt = c.now
	}
	r.heardAt = c.now
	r.level = v.Level
	c.checkRun(r)
	c.prove(r)
	c.takeStopBack(r)
	t := r.task
	if v.Snapshot != "" && t.of.Checkpoints {
		t.snapshot = v.Snapshot
	}
	if t.of.Lasting {
		t.atWork = v.Percent >= 100 && r.phase == running
		if t.atWork {
			t.awaySince = time.Time{}
		}
	}
	c.begin(t.of.of.job)
}

// adopt takes over a run that an earlier owner started, or marks it to be
// stopped.
func (c *Core) adopt(w *worker, k taskKey, v platform.RunningRow) *run {
	t := c.task(k)
	wanted := t != nil && !t.done && (len(t.runs) == 0 || t.of.Copies)
	if !wanted {
		id := strayID{task: v.Task, number: v.Run}
		if w.strays[id] == nil {
			w.addStray(id, c.strayOf(k))
			c.do(Note{What: "run not wanted", Job: k.id, Task: v.Task, Run: v.Run, Worker: w.ID, Why: "its job or task is over, or it runs elsewhere"})
		}
		return nil
	}
	r := &run{number: v.Run, task: t, at: w, phase: running, sentAt: c.now, knownAt: c.now, movedAt: c.now, pacing: pacing{pace: fullPace, paceAgainAt: c.now}, percent: v.Percent, adoptedAt: v.Percent, begun: true, adopted: true}
	r.attach()
	c.do(Note{What: "run taken over", Job: k.id, Task: v.Task, Run: v.Run, Worker: w.ID})
	return r
}

// strayOf returns the run of a task that is not to be there, with what is still known of
// its job.
func (c *Core) strayOf(k taskKey) *stray {
	j := c.jobs[k.id]
	if j == nil || k.step >= len(j.Steps) {
		return &stray{}
	}
	return &stray{job: j, takes: j.Steps[k.step].Resources}
}

// missing settles a run that the worker does not list although it should.
func (c *Core) missing(r *run, sentAt time.Time) {
	switch r.phase {
	case running:
		if r.knownAt.Before(sentAt) {
			c.drop(r, lossUnlisted, "the worker does not list it")
		}
	case stopping:
		if r.stopped && r.knownAt.Before(sentAt) {
			c.drop(r, lossUnlisted, "stopped before it began")
		}
		r.absent = true
	case unsure:
		// The order may still be carried out; only a stop settles it.
		r.absent = r.knownAt.Before(sentAt)
	case starting:
	}
}

// drop removes a run that can never go on.
func (c *Core) drop(r *run, how loss, why string) {
	t := r.task
	c.noteRun(r, "run gone", why, []any{"how", string(how), "lived_ms", r.lived().Milliseconds()})
	r.detach()
	r.at.idleSince = c.now
	if t.of.Lasting {
		c.lastingEnded(t, r, platform.EndLapsed)
	}
	if t.of.Gang {
		c.breakGang(t.of, r.number)
	}
	c.convict(r)
	c.replan(r.at.Service)
}
