package job

import (
	"time"

	"amberway/platform"
)

// Figures of the control that keeps serving tasks under their targets.
const (
	// pacedLookWait is how often a worker is looked at on which tasks that fill
	// share with tasks that serve. Its figures cover half a second.
	pacedLookWait = 500 * time.Millisecond
	// paceSettle is how long a change of pace takes to show: a tenth of a
	// second until it holds and half a second until the figures are new.
	paceSettle = 650 * time.Millisecond
	// tailHigh and tailLow are the shares of a target above which pace falls
	// and below which it rises.
	tailHigh = 0.9
	tailLow  = 0.6
	// paceRise is how many percent the pace rises at a time, and fullPace where it ends and
	// each run begins.
	paceRise = 25
	fullPace = 100
	// sharedPenalty makes filling and serving tasks prefer separate workers.
	sharedPenalty = 400
)

// pacing is the pace of a run.
type pacing struct {
	// pace is what was ordered last, in percent.
	pace int
	// paceAgainAt is when it has to be ordered again, zero if it holds: an owner does not
	// know the pace of a run that it takes over. lateUntil is until when an order that was
	// not answered may still be carried out.
	paceAgainAt, lateUntil time.Time
}

// doubtPace notes that an order that sets the pace was not answered: the pace is ordered
// again at once, and once more when the first can no longer come late and undo it.
func (p *pacing) doubtPace(now time.Time) {
	p.paceAgainAt = now
	p.lateUntil = now.Add(lateOrders)
}

// setPace notes that the pace is ordered.
func (p *pacing) setPace(percent int, now time.Time) {
	p.pace = percent
	p.paceAgainAt = time.Time{}
	if now.Before(p.lateUntil) {
		p.paceAgainAt = p.lateUntil
	}
}

// paceDue reports whether the pace has to be ordered again.
func (p *pacing) paceDue(now time.Time) bool {
	return !p.paceAgainAt.IsZero() && !now.Before(p.paceAgainAt)
}

func (s *step) serves() bool {
	return s.TailTarget > 0
}

// shared reports whether tasks that fill run beside tasks that serve.
func (w *worker) shared() bool {
	fills, serves := w.roles()
	return fills > 0 && serves > 0
}

func (w *worker) roles() (fills, serves int) {
	for _, r := range w.runs {
		if r.task.of.Fills {
			fills++
		}
		if r.task.of.serves() {
			serves++
		}
	}
	return fills, serves
}

// rateShared rates a worker down where the task would fill beside a serving
// one, or the other way round.
func (c *Core) rateShared(w *worker, s *step) int64 {
	if !s.Fills && !s.serves() {
		return 0
	}
	fills, serves := w.roles()
	switch {
	case s.Fills:
		return int64(-sharedPenalty*serves - fills*100)
	case s.serves():
		return int64(-sharedPenalty * fills)
	}
	return 0
}

// control sets the pace of the filling tasks on a worker from the tails of its
// serving tasks: down at once, up again slowly. Where nothing serves any more they get their
// full pace back as well.
func (c *Core) control(w *worker) {
	if c.now.Before(w.paceAt) {
		return
	}
	worst := w.worstTail()
	for _, r := range w.runs {
		if !r.task.of.Fills || r.phase != running {
			continue
		}
		p := nextPace(r.pace, worst)
		if p == r.pace && !r.paceDue(c.now) {
			continue
		}
		c.noteRun(r, "pace", "", []any{"from", r.pace, "to", p, "tail_share", worst})
		r.setPace(p, c.now)
		w.paceAt = c.now.Add(paceSettle)
		c.do(PaceRun{Worker: w.Worker, Task: r.task.key().String(), Run: r.number, Percent: p, Fence: c.fence})
	}
}

// worstTail returns the largest tail on the worker as a share of its target.
func (w *worker) worstTail() float64 {
	worst := 0.0
	for _, r := range w.runs {
		if r.task.of.serves() && r.phase == running {
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
		return min(fullPace, p+paceRise)
	}
	return p
}

// Paced is the outcome of a PaceRun.
type Paced struct {
	Worker    platform.WorkerID
	Run       int64
	Task      string
	Rejection platform.Rejection
	Err       error
}

// apply notes that a pace may not hold.
func (e Paced) apply(c *Core) {
	w := c.heir(e.Worker)
	if w == nil || (e.Err == nil && e.Rejection == platform.Accepted) {
		return
	}
	if e.Err == nil && e.Rejection == platform.RejectedFence {
		c.do(StepDown{Why: "a worker has seen a higher fence"})
		return
	}
	k, _ := parseTaskKey(e.Task)
	if r := w.find(k, e.Run); r != nil {
		r.doubtPace(c.now)
		w.paceAt = c.now
	}
}
