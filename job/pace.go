package job

import (
	"time"

	"amberway/platform"
)

// Figures of the control that keeps serving tasks under their targets.
const (
	// pacedPollWait is how often a worker is looked at on which tasks that fill
	// share with tasks that serve. Its figures cover half a second.
	pacedPollWait = 500 * time.Millisecond
	// paceSettle is how long a change of pace takes to show: a tenth of a
	// second until it holds and half a second until the figures are new.
	paceSettle = 650 * time.Millisecond
	// tailHigh and tailLow are the shares of a target above which pace falls
	// and below which it rises.
	tailHigh = 0.9
	tailLow  = 0.6
	// paceStep is how many percent the pace rises at a time, and fullPace where it ends and
	// each run begins.
	paceStep = 25
	fullPace = 100
	// sharedPenalty makes filling and serving tasks prefer separate workers.
	sharedPenalty = 400
)

// pacing is the pace of a run.
type pacing struct {
	// pace is what was ordered last, in percent.
	pace int
	// paceRetryAt is when it has to be ordered again, zero if it holds: an owner does not
	// know the pace of a run that it takes over. lateUntil is until when an order that was
	// not answered may still be carried out.
	paceRetryAt, latePaceUntil time.Time
}

// paceUnanswered notes that an order that sets the pace was not answered: the pace is ordered
// again at once, and once more when the first can no longer come late and undo it.
func (p *pacing) paceUnanswered(now time.Time) {
	p.paceRetryAt = now
	p.latePaceUntil = now.Add(maxOrderDelay)
}

// setPace notes that the pace is ordered.
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
	return s.TailTarget > 0
}

// shared reports whether tasks that fill run beside tasks that serve.
func (w *worker) shared() bool {
	fills, serves := w.roles()
	return fills > 0 && serves > 0
}

func (w *worker) roles() (fills, serves int) {
	for _, r := range w.runs {
		if r.task.of.BestEffort {
			fills++
		}
		if r.task.of.latencySensitive() {
			serves++
		}
	}
	return fills, serves
}

// scoreShared rates a worker down where the task would fill beside a serving
// one, or the other way round.
func (c *Core) scoreShared(w *worker, s *step) int64 {
	if !s.BestEffort && !s.latencySensitive() {
		return 0
	}
	fills, serves := w.roles()
	switch {
	case s.BestEffort:
		return int64(-sharedPenalty*serves - fills*100)
	case s.latencySensitive():
		return int64(-sharedPenalty * fills)
	}
	return 0
}

// adjustPace sets the pace of the filling tasks on a worker from the tails of its
// serving tasks: down at once, up again slowly. Where nothing serves any more they get their
// full pace back as well.
func (c *Core) adjustPace(w *worker) {
	if c.now.Before(w.paceAt) {
		return
	}
	worst := w.worstTail()
	for _, r := range w.runs {
		if !r.task.of.BestEffort || r.phase != running {
			continue
		}
		p := nextPace(r.pace, worst)
		if p == r.pace && !r.paceDue(c.now) {
			continue
		}
		c.noteRun(r, "pace", "", []any{"from", r.pace, "to", p, "tail_share", worst})
		r.setPace(p, c.now)
		w.paceAt = c.now.Add(paceSettle)
		c.emit(PaceRun{Worker: w.Worker, Task: r.task.key().String(), Run: r.number, Percent: p, Fence: c.fence})
	}
}

// worstTail returns the largest tail on the worker as a share of its target.
func (w *worker) worstTail() float64 {
	worst := 0.0
	for _, r := range w.runs {
		if r.task.of.latencySensitive() && r.phase == running {
			worst = max(worst, r.level/float64(r.task.of.TailTarget.Milliseconds()))
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

// PaceResult is the outcome of a PaceRun.
type PaceResult struct {
	Worker    platform.WorkerID
	Run       int64
	Task      string
	Rejection platform.Rejection
	Err       error
}

// apply notes that a pace may not hold.
func (e PaceResult) apply(c *Core) {
	w := c.successor(e.Worker)
	if w == nil || (e.Err == nil && e.Rejection == platform.Accepted) {
		return
	}
	if e.Err == nil && e.Rejection == platform.RejectedFence {
		c.emit(StepDown{Why: "a worker has seen a higher fence"})
		return
	}
	k, _ := parseTaskKey(e.Task)
	if r := w.find(k, e.Run); r != nil {
		r.paceUnanswered(c.now)
		w.paceAt = c.now
	}
}
