package job

import (
	"time"

	"amberway/platform"
)

// Limits of the control loop that keeps the tail latency of latency-sensitive tasks below its
// target.
const (
	// pacedPollWait bounds how long a worker holds a poll while best-effort and
	// latency-sensitive tasks share it. Reported tail latencies cover half a second.
	pacedPollWait = 500 * time.Millisecond
	// paceSettle is how long a change of pace takes to show: a tenth of a second until it is in
	// effect and half a second until the reported tail latencies are new.
	paceSettle = 650 * time.Millisecond
	// tailHigh and tailLow are the fractions of a latency target above which the pace falls
	// and below which it rises.
	tailHigh = 0.9
	tailLow  = 0.6
	// paceStep is how many percent the pace rises at a time. fullPace is its maximum, with which
	// each run starts.
	paceStep = 25
	fullPace = 100
	// sharedPenalty keeps best-effort and latency-sensitive tasks on separate workers if
	// possible.
	sharedPenalty = 400
)

// pacing is the pace of a run: the percentage of its speed at which it may work.
type pacing struct {
	// pace is the last pace ordered, in percent.
	pace int
	// paceRetryAt is when the pace has to be ordered again, or zero. It is set for an adopted
	// run as well, whose pace the owner does not know. latePaceUntil is the time until which an
	// order that was not answered may still be carried out.
	paceRetryAt, latePaceUntil time.Time
}

// paceUnanswered has the pace ordered again after an order was not answered: at once, and once
// more when the first order can no longer be carried out late and undo the second.
func (p *pacing) paceUnanswered(now time.Time) {
	p.paceRetryAt = now
	p.latePaceUntil = now.Add(maxOrderDelay)
}

// setPace records that the pace is ordered.
func (p *pacing) setPace(percent int, now time.Time) {
	p.pace = percent
	p.paceRetryAt = time.Time{}
	if now.Before(p.latePaceUntil) {
		p.paceRetryAt = p.latePaceUntil
	}
}

// paceDue reports whether the pace has to be ordered again.
func (p *pacing) paceDue(now time.Time) bool {
	return !p.paceRetryAt.IsZero() && !now.Before(p.paceRetryAt)
}

func (s *step) latencySensitive() bool {
	return s.MaxTailLatency > 0
}

// shared reports whether best-effort tasks run beside latency-sensitive ones.
func (w *worker) shared() bool {
	bestEffort, sensitive := w.roles()
	return bestEffort > 0 && sensitive > 0
}

// roles counts the worker's runs of best-effort and latency-sensitive tasks.
func (w *worker) roles() (bestEffort, sensitive int) {
	for _, r := range w.runs {
		if r.task.step.BestEffort {
			bestEffort++
		}
		if r.task.step.latencySensitive() {
			sensitive++
		}
	}
	return bestEffort, sensitive
}

// scoreShared returns by how much a worker's score is lowered, as a negative number, if a
// best-effort task of the step would run beside latency-sensitive ones, or the other way round.
// Other best-effort tasks count against a best-effort task as well, but less.
func (c *Core) scoreShared(w *worker, s *step) int64 {
	if !s.BestEffort && !s.latencySensitive() {
		return 0
	}
	bestEffort, sensitive := w.roles()
	switch {
	case s.BestEffort:
		return int64(-sharedPenalty*sensitive - bestEffort*100)
	case s.latencySensitive():
		return int64(-sharedPenalty * bestEffort)
	}
	return 0
}

// adjustPace sets the pace of the best-effort tasks on a worker by the tail latencies of its
// latency-sensitive tasks: down at once, up again slowly. Without any latency-sensitive tasks it
// rises to full pace as well.
func (c *Core) adjustPace(w *worker) {
	if c.now.Before(w.nextPaceAt) {
		return
	}
	worst := w.worstTail()
	for _, r := range w.runs {
		if !r.task.step.BestEffort || r.phase != running {
			continue
		}
		p := nextPace(r.pace, worst)
		if p == r.pace && !r.paceDue(c.now) {
			continue
		}
		c.logRun(r, "pace", "", []any{"from", r.pace, "to", p, "tail_share", worst})
		r.setPace(p, c.now)
		w.nextPaceAt = c.now.Add(paceSettle)
		c.emit(PaceRun{Worker: w.Worker, Task: r.task.key().String(), Run: r.number, Percent: p, Fence: w.orderFence()})
	}
}

// worstTail returns the worst tail latency reported on the worker, as a fraction of its target.
func (w *worker) worstTail() float64 {
	worst := 0.0
	for _, r := range w.runs {
		if r.task.step.latencySensitive() && r.phase == running {
			worst = max(worst, r.level/float64(r.task.step.MaxTailLatency.Milliseconds()))
		}
	}
	return worst
}

func nextPace(p int, tail float64) int {
	switch {
	case tail > 1.3:
		return 0
	case tail > tailHigh && p <= 25:
		return 0
	case tail > tailHigh:
		return p / 2
	case tail < tailLow:
		return min(fullPace, p+paceStep)
	}
	return p
}

// PaceResult is the outcome of a PaceRun action.
type PaceResult struct {
	Worker    platform.WorkerID
	Run       int64
	Task      string
	Fence     platform.Fence
	Rejection platform.Rejection
	Err       error
}

// apply has the pace ordered again unless the order was carried out.
func (e PaceResult) apply(c *Core) {
	w := c.successor(e.Worker)
	if w == nil || (e.Err == nil && e.Rejection == platform.Accepted) {
		return
	}
	if e.Rejection == platform.RejectedFenced && !c.overtaken(w, e.Fence) {
		c.stepDownFenced()
		return
	}
	k, _ := parseTaskKey(e.Task)
	if r := w.findRun(k, e.Run); r != nil {
		r.paceUnanswered(c.now)
		w.nextPaceAt = c.now
	}
}
