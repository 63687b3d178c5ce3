package job

import (
	"slices"
	"time"
)

// Figures of telling a slow worker from a long task. Tasks differ more than workers
// do: their estimates are off by up to nine tenths, and the tasks of one step by
// three tenths.
const (
	// slowAfter is how long a run goes on before its pace is judged.
	slowAfter = 800 * time.Millisecond
	// slowRestFactor is how many times its expected time a run may still need before it
	// is better begun anew elsewhere.
	slowRestFactor = 2
	// slowRunFactor is how many times longer than others a run has to take for its
	// worker to be slow. One task in a thousand does by chance.
	slowRunFactor = 2.5
	// slowRunFactorAlone is the same, against what was expected, where no other task tells:
	// more than any estimate is off.
	slowRunFactorAlone = 8
	// minSlowSamples is the fewest others that speak for or against a worker.
	minSlowSamples = 2
)

// tooSlow reports whether the run is better begun anew elsewhere: it needs much
// longer for the rest than the whole task is expected to take, and by other tasks
// that is its worker's fault. A task moves for that once.
func (c *Core) tooSlow(r *run) bool {
	t := r.task
	if t.of.Lasting || t.of.BestEffort || t.moved || t.of.Gang {
		return false
	}
	total, ok := r.projectedTime()
	went := r.reportedAt.Sub(r.sentAt)
	if !ok || went < slowAfter || total-went <= slowRestFactor*c.expectedRunTime(t.of.of.job, t.of.Step)+slowAfter {
		return false
	}
	return c.workerSlow(r, total) && c.roomElsewhere(r.at, t)
}

// projectedTime returns how long the run will have taken, by what its worker has last said
// of it. It reports false where the worker has not said enough.
func (r *run) projectedTime() (time.Duration, bool) {
	done := r.percent - r.adoptedPercent
	if r.phase != running || done <= 0 {
		return 0, false
	}
	return r.reportedAt.Sub(r.sentAt) * time.Duration(100-r.adoptedPercent) / time.Duration(done), true
}

// workerSlow reports whether the run takes so long for its worker's sake: tasks of its
// step take much less elsewhere or, where there are none, its worker is slow with
// other jobs as well. Where neither tells, it has to be slow beyond all doubt.
func (c *Core) workerSlow(r *run, total time.Duration) bool {
	if l := r.task.of.timesElsewhere(r.at); len(l) >= minSlowSamples {
		return float64(total) > slowRunFactor*float64(median(l))
	}
	if l := c.otherJobSlowdowns(r); len(l) >= minSlowSamples {
		return median(l) > slowRunFactor
	}
	return total > slowRunFactorAlone*c.expectedRunTime(r.task.of.of.job, r.task.of.Step)
}

// timesElsewhere returns how long tasks of the step take on other workers.
func (s *step) timesElsewhere(w *worker) []time.Duration {
	var l []time.Duration
	for _, t := range s.tasks {
		if !t.doneAt.IsZero() && t.doneOn != w.ID {
			l = append(l, t.doneAt.Sub(t.begunAt))
		}
		for _, r := range t.runs {
			if total, ok := r.projectedTime(); ok && r.at != w {
				l = append(l, total)
			}
		}
	}
	return l
}

// otherJobSlowdowns returns how many times as long as expected other jobs take on the
// run's worker.
func (c *Core) otherJobSlowdowns(r *run) []float64 {
	var l []float64
	for _, o := range r.at.runs {
		j := o.task.of.of.job
		e := c.expectedRunTime(j, o.task.of.Step)
		if total, ok := o.projectedTime(); ok && e > 0 && j != r.task.of.of.job && !o.task.of.Lasting {
			l = append(l, float64(total)/float64(e))
		}
	}
	return l
}

// median returns the middle of what is not empty.
func median[T time.Duration | float64](l []T) T {
	slices.Sort(l)
	return l[len(l)/2]
}
