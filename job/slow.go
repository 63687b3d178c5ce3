package job

import (
	"slices"
	"time"
)

// Limits for telling a slow worker from a long task. Tasks vary more than workers do: their
// estimates are off by up to nine tenths, and the tasks of one step differ by three tenths.
const (
	// slowAfter is how long a run goes on before its speed is judged.
	slowAfter = 800 * time.Millisecond
	// slowRestFactor is how many times its expected run time a run may still need before it is
	// moved to another worker.
	slowRestFactor = 2
	// slowRunFactor is how many times longer than others a run has to take for its worker to be
	// considered slow. One task in a thousand takes as long by chance.
	slowRunFactor = 2.5
	// slowRunFactorAlone is the same against the expected run time, if there are no other runs
	// to compare with. No estimate is off by that much.
	slowRunFactorAlone = 8
	// minSlowSamples is the minimum number of other runs to compare with.
	minSlowSamples = 2
)

// tooSlow reports whether the run would be done sooner if started again elsewhere: its remaining
// time is much longer than the whole task is expected to take, and a comparison with other
// tasks shows that its worker is slow. A task is moved for that once only.
func (c *Core) tooSlow(r *run) bool {
	t := r.task
	if t.step.Lasting || t.step.BestEffort || t.moved || t.step.Gang {
		return false
	}
	total, ok := r.projectedTime()
	elapsed := r.reportedAt.Sub(r.sentAt)
	if !ok || elapsed < slowAfter || total-elapsed <= slowRestFactor*c.expectedRunTime(t.step.instance.job, t.step.Step)+slowAfter {
		return false
	}
	return c.workerSlow(r, total) && c.roomElsewhere(r.worker, t)
}

// projectedTime returns the total run time extrapolated from the last report of the run's
// worker. It returns false if there is no progress to extrapolate from.
func (r *run) projectedTime() (time.Duration, bool) {
	done := r.percent - r.adoptedPercent
	if r.phase != running || done <= 0 {
		return 0, false
	}
	return r.reportedAt.Sub(r.sentAt) * time.Duration(100-r.adoptedPercent) / time.Duration(done), true
}

// workerSlow reports whether the run takes long because its worker is slow: tasks of its step
// take much less elsewhere or, if there are none, other jobs on the worker are slow as well.
// Without either comparison the run has to be slower than any error of its estimate explains.
func (c *Core) workerSlow(r *run, total time.Duration) bool {
	if l := r.task.step.timesElsewhere(r.worker); len(l) >= minSlowSamples {
		return float64(total) > slowRunFactor*float64(median(l))
	}
	if l := c.otherJobSlowdowns(r); len(l) >= minSlowSamples {
		return median(l) > slowRunFactor
	}
	return total > slowRunFactorAlone*c.expectedRunTime(r.task.step.instance.job, r.task.step.Step)
}

// timesElsewhere returns the run times of the step's tasks on other workers.
func (s *step) timesElsewhere(w *worker) []time.Duration {
	var l []time.Duration
	for _, t := range s.tasks {
		if !t.doneAt.IsZero() && t.doneOn != w.ID {
			l = append(l, t.doneAt.Sub(t.startedAt))
		}
		for _, r := range t.runs {
			if total, ok := r.projectedTime(); ok && r.worker != w {
				l = append(l, total)
			}
		}
	}
	return l
}

// otherJobSlowdowns returns the run times of other jobs on the run's worker, in multiples of
// what was expected.
func (c *Core) otherJobSlowdowns(r *run) []float64 {
	var l []float64
	for _, o := range r.worker.runs {
		j := o.task.step.instance.job
		e := c.expectedRunTime(j, o.task.step.Step)
		if total, ok := o.projectedTime(); ok && e > 0 && j != r.task.step.instance.job && !o.task.step.Lasting {
			l = append(l, float64(total)/float64(e))
		}
	}
	return l
}

// median returns the upper median of l, which must not be empty. It sorts l.
func median[T time.Duration | float64](l []T) T {
	slices.Sort(l)
	return l[len(l)/2]
}
