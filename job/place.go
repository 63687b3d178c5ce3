package job

import (
	"cmp"
	"slices"
	"time"

	"amberway/platform"
)

// Weights of placement.
const (
	// coresWeight and memoryWeight make tasks gather where the most is used, in
	// thousandths and hundredths of the room; blameWeight counts each failed run
	// since the last good end like a fifth of the cores.
	coresWeight   = 1000
	memoryWeight  = 100
	failureWeight = 200
	// otherRackPenalty keeps a task near its data wherever there is room.
	otherRackPenalty = 1 << 38
	// maintenancePenalty keeps lasting tasks from hosts that a wave is to maintain, from
	// which they would have to move again.
	maintenancePenalty = 1 << 30
	// avoidPenalty outweighs all else that rates a worker.
	avoidPenalty = 1 << 40
)

// sortWorkers puts workers into a fixed order, so that loads gather on the first.
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

// placeAll starts waiting tasks of the listed steps where there is room, the
// most urgent first. It reports false where starts have to wait until they can be sent.
func (c *Core) placeAll(pool []*worker, l []candidate) bool {
	free := make([]*worker, 0, len(pool))
	for _, w := range pool {
		if w.acceptsStarts(c.now) {
			free = append(free, w)
		}
	}
	if !c.flow.mayStart() || c.maybeReplaced() {
		return false
	}
	var full unplaceable
	for _, s := range l {
		if len(free) == 0 {
			return true
		}
		switch {
		case s.idle == 0:
		case s.Gang:
			c.placeGang(free, s.step)
		case full.covers(s.Step):
		case !c.placeStep(free, s.step):
			full = append(full, s.Resources)
		}
		if s.idle > 0 && !c.flow.mayStart() {
			return false
		}
	}
	return true
}

// unplaceable are what found no room on any worker in this pass.
type unplaceable []platform.Resources

// covers reports whether the step needs at least as much as another that found no
// room, so that the workers need not be looked through again.
func (n unplaceable) covers(s *platform.Step) bool {
	if s.BestEffort {
		return false
	}
	return slices.ContainsFunc(n, func(o platform.Resources) bool {
		return s.MilliCores >= o.MilliCores && s.MemoryMB >= o.MemoryMB && s.GPUs >= o.GPUs
	})
}

// placeStep starts as many of the step's tasks as have room and can be sent now. It
// reports false where no worker at all has room for one more, whatever its labels.
func (c *Core) placeStep(free []*worker, s *step) bool {
	for x := s.firstIdle; x < len(s.tasks) && s.idle > 0; x++ {
		t := s.tasks[x]
		if !t.idle() {
			if x == s.firstIdle {
				s.firstIdle++
			}
			continue
		}
		if !t.mayStart(c.now) {
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

// withinCap reports whether n more tasks of the step stay within the cap of its team, and
// notes that they wait where they do not.
func (s *step) withinCap(n int64) bool {
	t := s.of.job.team
	if t.mayUse(s.Resources, n) {
		return true
	}
	t.addWaiting(s.of.job.queue.Service)
	return false
}

// unconstrained reports whether only room decides where the step's tasks may run.
func (s *step) unconstrained() bool {
	return s.perWorker == nil && s.Requires == "" && !s.BestEffort && s.advice == nil && s.of.job.queue.Advice == nil
}

// choose returns the best worker for the task, or nil where none has room.
func (c *Core) choose(free []*worker, t *task) *worker {
	var best *worker
	var top int64
	for _, w := range free {
		if !c.allowed(w, t.of) {
			continue
		}
		v := c.score(w, t)
		if best == nil || v > top {
			best = w
			top = v
		}
	}
	return best
}

// allowed reports whether the worker may run a task of the step now.
func (c *Core) allowed(w *worker, s *step) bool {
	if !w.fits(s.Step) || c.now.Before(w.isolatedUntil) {
		return false
	}
	if s.Requires != "" && !slices.Contains(w.Labels, s.Requires) {
		return false
	}
	if s.ruledOut(w) {
		return false
	}
	return s.MaxPerWorker == 0 || s.perWorker[w.ID] < s.MaxPerWorker
}

// score says how good a worker is for the task. Tasks gather on workers that are
// busy already, so that others become free to be moved or maintained.
func (c *Core) score(w *worker, t *task) int64 {
	v := w.used.MilliCores*coresWeight/max(1, w.Capacity.MilliCores) + w.used.MemoryMB*memoryWeight/max(1, w.Capacity.MemoryMB)
	if t.isolated() {
		v = w.scoreIsolated(v, c.now)
	}
	if t.avoid == w.ID {
		v -= avoidPenalty
	}
	if t.of.NearRack != "" && t.of.NearRack != w.rack {
		v -= otherRackPenalty
	}
	if w.maintenanceDue && t.of.Lasting {
		v -= maintenancePenalty
	}
	v -= int64(w.failures) * failureWeight
	v += c.scoreShared(w, t.of)
	return v
}

// deadline returns when the time of the job has to be done.
func (c *Core) deadline(j *job, n *instance) time.Time {
	chain := time.Duration(0)
	for _, s := range n.steps {
		chain = max(chain, c.criticalPath(n, s))
	}
	stretch := j.queue.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return n.due.Add(time.Duration(stretch*float64(chain)) + j.queue.Goal)
}

// criticalPath returns the longest chain of work from the step on, the step
// included.
func (c *Core) criticalPath(n *instance, s *step) time.Duration {
	longest := time.Duration(0)
	for _, o := range n.steps {
		if o != s && slices.Contains(o.After, s.index) {
			longest = max(longest, c.criticalPath(n, o))
		}
	}
	return longest + c.expectedRunTime(n.job, s.Step)
}

// ticket returns the leave to run the step on the worker, which only queues
// with advice need.
func (c *Core) ticket(s *step, w *worker) (string, bool) {
	if s.of.job.queue.Advice == nil {
		return "", true
	}
	return c.adviceTicket(s, w)
}
