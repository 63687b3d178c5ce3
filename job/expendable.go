package job

import (
	"slices"
	"time"

	"amberway/platform"
)

// A tainted worker gets one start at a time, with a lease that ends before the run is expected to. If
// the run ends by that, the worker's earlier ends need not be held any more (ackHold).

// Bounds of the lease of an expendable run, which is half of its expected run time.
const (
	minExpendableLease = 20 * time.Millisecond
	maxExpendableLease = 200 * time.Millisecond
)

// mayProveExpiry reports whether the worker may get a start now whose end proves that its lease has
// expired.
func (w *worker) mayProveExpiry(now time.Time) bool {
	return w.tainted() && !w.moreEnds && len(w.runs) == 0 && w.available(now)
}

// letsLeaseExpire reports whether polls do not extend the worker's lease.
func (w *worker) letsLeaseExpire() bool {
	return w.tainted() && !slices.ContainsFunc(w.runs, func(r *run) bool { return !r.expendable })
}

// startExpendable starts waiting tasks of the listed steps on tainted workers, one on each.
func (c *Core) startExpendable(tainted []*worker, l []candidate) {
	var waiting []candidate
	for _, s := range l {
		if s.idle > 0 {
			waiting = append(waiting, s)
		}
	}
	for _, w := range tainted {
		if len(waiting) == 0 || !c.flow.mayStart() {
			return
		}
		t := c.expendableTask(w, waiting)
		if t == nil {
			continue
		}
		if ticket, ok := c.ticket(t.step, w); ok {
			c.start(t, w, c.nextRun(), ticket)
		}
	}
	c.startExpendableGang(slices.DeleteFunc(tainted, func(w *worker) bool { return len(w.runs) > 0 }), waiting)
}

// expendableTask returns the least urgent waiting task that may start on the worker, or nil. One
// that lasts comes last.
func (c *Core) expendableTask(w *worker, l []candidate) *task {
	for _, lasting := range []bool{false, true} {
		for _, s := range slices.Backward(l) {
			if s.idle == 0 || s.Gang || s.Lasting != lasting || !c.allowed(w, s.step) || !s.withinCap(1) {
				continue
			}
			for _, t := range s.tasks[s.firstIdle:] {
				if t.idle() && !t.isolated() && c.mayStart(t) {
					return t
				}
			}
		}
	}
	return nil
}

// startExpendableGang starts a gang on tainted workers for which there are no other tasks.
func (c *Core) startExpendableGang(tainted []*worker, l []candidate) {
	for _, s := range slices.Backward(l) {
		if len(tainted) == 0 || !c.flow.mayStart() {
			return
		}
		if idle := s.idle; s.Gang && idle > 0 {
			c.placeGang(tainted, s.step)
			if s.idle < idle {
				return
			}
		}
	}
}

// expendableLease returns the end of the lease of an expendable run.
func (c *Core) expendableLease(t *task, w *worker) platform.WorkerClock {
	expected := c.expectedRunTime(t.step.instance.job, t.step.Step)
	d := min(max(expected/2, minExpendableLease), maxExpendableLease)
	u := w.clock + platform.WorkerClock((c.now.Sub(w.clockAt) + d).Milliseconds())
	w.leaseUntil = max(w.leaseUntil, u)
	return u
}
