package job

import (
	"cmp"
	"iter"
	"slices"

	"amberway/platform"
)

// Weights of placement.
const (
	// coresWeight and memoryWeight favour the fullest workers, by the used part of their
	// cores and memory. failureWeight makes each failed run since the last success count
	// against a worker as much as a fifth of its cores.
	coresWeight   = 1000
	memoryWeight  = 100
	failureWeight = 200
	// otherDataCentrePenalty keeps the tasks of a job that ends in the data centre where it was
	// submitted, ahead of packing: spread over all of them, most jobs would wait for the leases
	// of a data centre that is cut off. It weighs as much as ten failures.
	otherDataCentrePenalty = 2000
	// otherRackPenalty keeps a task in the rack of its data wherever there is room.
	otherRackPenalty = 1 << 38
	// maintenancePenalty keeps lasting tasks off hosts that a wave is to maintain, which
	// they would soon have to leave.
	maintenancePenalty = 1 << 30
	// avoidPenalty outweighs all other terms of the score.
	avoidPenalty = 1 << 40
)

// sortWorkers sorts workers into a fixed order, so that ties in the score concentrate the
// load on the first ones.
func sortWorkers(p []*worker) {
	slices.SortFunc(p, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.rack, b.rack), cmp.Compare(a.Host, b.Host), cmp.Compare(a.ID, b.ID))
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// placeAll starts waiting tasks of the listed steps, the most urgent first, as far as there
// is room. It reports false if starts were held back because the owner may not send them
// yet.
func (c *Core) placeAll(pool []*worker, l []candidate) bool {
	if !c.flow.mayStart() || c.maybeReplaced() || c.mayHaveMissedEvacuation() {
		return false
	}
	free := make([]*worker, 0, len(pool))
	var tainted []*worker
	for _, w := range pool {
		if w.acceptsStarts(c.now) {
			free = append(free, w)
		} else if w.mayProveExpiry(c.now) {
			tainted = append(tainted, w)
		}
	}
	if !c.placeOn(free, l) {
		return false
	}
	if len(tainted) > 0 {
		c.startExpendable(tainted, l)
	}
	return true
}

// placeOn starts waiting tasks of the listed steps on the workers. It reports false if starts were
// held back because the owner may not send them yet.
func (c *Core) placeOn(free []*worker, l []candidate) bool {
	var failed unplaceable
	for _, s := range l {
		if len(free) == 0 {
			return true
		}
		switch {
		case s.idle == 0:
		case s.Gang:
			c.placeGang(free, s.step)
		case failed.covers(s.Step):
		case !c.placeStep(free, s.step):
			failed = append(failed, s.Resources)
		}
		if s.idle > 0 && !c.flow.mayStart() {
			return false
		}
	}
	return true
}

// unplaceable lists the needs of tasks that found no room on any worker in this pass.
type unplaceable []platform.Resources

// covers reports whether the step needs at least as much as one that found no room, so that
// searching the workers again would be in vain.
func (n unplaceable) covers(s *platform.Step) bool {
	if s.BestEffort {
		return false
	}
	return slices.ContainsFunc(n, func(o platform.Resources) bool {
		return s.MilliCores >= o.MilliCores && s.MemoryMB >= o.MemoryMB && s.GPUs >= o.GPUs
	})
}

// placeStep starts as many of the step's tasks as have room and may be sent now. It reports
// false if the step is unconstrained and no worker has room for another of its tasks.
func (c *Core) placeStep(free []*worker, s *step) bool {
	for t := range s.idleTasks() {
		if !c.mayStart(t) {
			continue
		}
		if !s.withinCap(1) {
			return true
		}
		if !c.flow.mayStart() {
			return true
		}
		w := c.choose(free, t)
		if w == nil && s.unconstrained() {
			return false
		}
		if w == nil {
			continue
		}
		if ticket, ok := c.ticket(s, w); ok {
			c.start(t, w, c.nextRun(), ticket)
		}
	}
	return true
}

// idleTasks returns the step's idle tasks in the order in which they start. Lasting ones that have
// been unavailable for longest come first: by index, a task would wait for as long as others before it
// keep losing their workers.
func (s *step) idleTasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		var lasting []*task
		for x := s.firstIdle; x < len(s.tasks) && s.idle > len(lasting); x++ {
			t := s.tasks[x]
			switch {
			case !t.idle():
				if x == s.firstIdle {
					s.firstIdle++
				}
			case s.Lasting:
				lasting = append(lasting, t)
			case !yield(t):
				return
			}
		}
		slices.SortStableFunc(lasting, func(a, b *task) int { return a.unavailableSince.Compare(b.unavailableSince) })
		for _, t := range lasting {
			if !yield(t) {
				return
			}
		}
	}
}

// withinCap reports whether n more tasks of the step stay within the cap of its team. If
// not, it registers the service to be placed again once the team's usage falls.
func (s *step) withinCap(n int64) bool {
	t := s.instance.job.team
	if t.mayUse(s.Resources, n) {
		return true
	}
	t.addWaiting(s.instance.job.queue.Service)
	return false
}

// unconstrained reports whether the step's tasks may run on any worker that has room.
func (s *step) unconstrained() bool {
	return s.perWorker == nil && s.Requires == "" && !s.BestEffort && s.advice == nil && s.instance.job.queue.Advice == nil
}

// choose returns the allowed worker with the highest score, or nil if there is none.
func (c *Core) choose(free []*worker, t *task) *worker {
	var best *worker
	var bestScore int64
	for _, w := range free {
		if !c.allowed(w, t.step) {
			continue
		}
		v := c.score(w, t)
		if best == nil || v > bestScore {
			best = w
			bestScore = v
		}
	}
	return best
}

// allowed reports whether the worker may run a task of the step now.
func (c *Core) allowed(w *worker, s *step) bool {
	return w.fits(s.Step) && !c.now.Before(w.isolatedUntil) && s.acceptsWorker(w)
}

// acceptsWorker reports whether the constraints of the step allow another of its tasks on the worker.
func (s *step) acceptsWorker(w *worker) bool {
	if s.Requires != "" && !slices.Contains(w.Labels, s.Requires) {
		return false
	}
	if s.ruledOut(w) {
		return false
	}
	return s.MaxPerWorker == 0 || s.perWorker[w.ID] < s.MaxPerWorker
}

// score rates a worker for the task, the higher the better. Tasks are packed onto busy
// workers, so that others become free to be moved or maintained.
func (c *Core) score(w *worker, t *task) int64 {
	v := w.used.MilliCores*coresWeight/max(1, w.Capacity.MilliCores) + w.used.MemoryMB*memoryWeight/max(1, w.Capacity.MemoryMB)
	if t.isolated() {
		v = w.scoreIsolated(v, c.now)
	}
	if t.avoid == w.ID {
		v -= avoidPenalty
	}
	if t.step.NearRack != "" && t.step.NearRack != w.rack {
		v -= otherRackPenalty
	}
	if !t.step.Lasting && w.DataCentre != t.step.instance.job.DataCentre {
		v -= otherDataCentrePenalty
	}
	if w.maintenanceDue && t.step.Lasting {
		v -= maintenancePenalty
	}
	v -= int64(w.failures) * failureWeight
	v += c.scoreShared(w, t.step)
	return v
}

// ticket returns the ticket that permits the step to run on the worker. Queues without
// advice need none.
func (c *Core) ticket(s *step, w *worker) (string, bool) {
	if s.instance.job.queue.Advice == nil {
		return "", true
	}
	return c.adviceTicket(s, w)
}
