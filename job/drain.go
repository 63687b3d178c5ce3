package job

import (
	"slices"
	"time"

	"amberway/common"
)

// A machine that is drained for a wave gets no starts although its capacity is there. Only a drain
// that is sure to end is worth that for as long as it takes: one that waits for a slot of its wave
// or for the disruption budget of a lasting task is bounded in number and time, and never takes the
// last worker of a pool.

const (
	// waveDrainAhead is how many machines of a wave are drained although their maintenance cannot
	// begin yet.
	waveDrainAhead = 2
	// maxDrainHold is how long such a machine gets no starts, drainPause how long it is not drained
	// again after that.
	maxDrainHold = 6 * time.Second
	drainPause   = 3 * time.Second
)

// drains are the machines that are drained for waves.
type drains struct {
	machines common.OrderedSet[*machine]
	// kept are the machines that the current pass over the waves drains, claimed the lasting tasks
	// that will be unavailable by these drains.
	kept    map[*machine]bool
	claimed map[*task]bool
	// needs are, by service, what waiting tasks need of the drained workers, as far as the pass has
	// looked.
	needs map[string]*startNeeds
}

// begin begins a pass over the waves.
func (d *drains) begin() {
	d.kept, d.claimed, d.needs = map[*machine]bool{}, map[*task]bool{}, map[string]*startNeeds{}
}

// keep notes that the pass drains the machine.
func (d *drains) keep(m *machine) {
	d.kept[m] = true
	d.machines.Add(m)
	if m.drainingSince.IsZero() {
		delete(d.needs, m.Pool)
	}
}

// lastingClaims returns the lasting tasks on the machine that may be stopped now beside those that
// other drains of this pass stop. It returns false if another one can neither be stopped nor start
// elsewhere, so that the drain would wait for it.
func (c *Core) lastingClaims(m *machine) ([]*task, bool) {
	w := c.workerOf(m)
	if w == nil {
		return nil, true
	}
	var l []*task
	for _, r := range w.runs {
		switch {
		case !r.task.step.Lasting, r.phase == stopping:
		case c.mayStopBeside(r, l):
			l = append(l, r.task)
		case !c.roomElsewhere(w, r.task):
			return nil, false
		}
	}
	return l, true
}

// mayStopBeside reports whether the run may be stopped now beside the given tasks and those that
// other drains of this pass stop.
func (c *Core) mayStopBeside(r *run, l []*task) bool {
	s := r.task.step
	if !c.mayStop(r) || !s.hasDisruptionBudget() || s.instance.job.state.Final() {
		return c.mayStop(r)
	}
	away := len(s.othersUnavailable(r.task, c.now))
	for _, t := range s.tasks {
		if t != r.task && t.confirmedReady(c.now) && (c.drains.claimed[t] || slices.Contains(l, t)) {
			away++
		}
	}
	return away < s.MaxUnavailable || r.confirmedUnready(c.now)
}

// mayDrain reports whether the machine may be drained to be maintained next. One that runs something
// and is needed for starts waits until others that are being drained or maintained are back.
func (c *Core) mayDrain(m *machine) bool {
	w := c.workerOf(m)
	switch {
	case w == nil, !c.neededForStarts(w):
		return true
	case len(w.runs) > 0 && c.othersReturn(m):
		return false
	}
	return c.mayOrder() || !m.drainingSince.IsZero() && c.now.Before(m.drainingSince.Add(waveDrainTimeout))
}

// mayDrainAhead reports whether the machine may be drained although its maintenance cannot begin
// yet.
func (c *Core) mayDrainAhead(m *machine) bool {
	w := c.workerOf(m)
	switch {
	case w == nil:
		return true
	case m.drainingSince.IsZero() && c.now.Before(m.nextDrainAt):
		return false
	case !m.drainingSince.IsZero() && c.now.Sub(m.drainingSince) > maxDrainHold:
		return false
	}
	return !c.neededForStarts(w)
}

// othersReturn reports whether another machine of the pool is being drained or maintained, and will
// get starts again.
func (c *Core) othersReturn(m *machine) bool {
	return slices.ContainsFunc(c.machinesOf(m.Pool), func(o *machine) bool {
		return o != m && (c.drains.kept[o] || o.order != nil && o.order.wave != nil)
	})
}

// endDrains lets machines get starts again that no wave drains any more. One that may get no order
// at the moment, for instance as its worker is silent, goes on being drained.
func (c *Core) endDrains() {
	for _, m := range slices.Collect(c.drains.machines.All()) {
		switch {
		case m.drainingSince.IsZero(), m.order != nil, c.machinesByName[m.Name] != m:
			c.drains.machines.Remove(m)
		case c.drains.kept[m], c.maintenancePending(m) && !c.maintainable(m):
		default:
			c.endDrain(m)
		}
	}
}

// endDrain ends the drain of a machine that gets no order.
func (c *Core) endDrain(m *machine) {
	c.emit(LogLine{What: "drain ended", Why: "its machine cannot be maintained now", Fields: []any{"machine", m.Name, "pool", m.Pool, "draining_ms", c.now.Sub(m.drainingSince).Milliseconds()}})
	c.drains.machines.Remove(m)
	m.drainingSince = time.Time{}
	m.nextDrainAt = c.now.Add(drainPause)
	c.uncordon(m)
}

// maintenancePending reports whether a wave has yet to maintain the machine.
func (c *Core) maintenancePending(m *machine) bool {
	return slices.ContainsFunc(c.openWaves, func(v *wave) bool { return v.pending[m.Name] })
}
