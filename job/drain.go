package job

import (
	"slices"
	"time"

	"amberway/common"
)

// A machine that is drained for a wave gets no starts although its capacity is there. Only a drain
// that is sure to end is worth that for as long as it takes: one that waits for a slot of its wave
// or for the disruption budget of a lasting task is bounded in number and time, and ends for a
// waiting task that needs the worker.

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
	// inbound counts the hosts on their way to each pool, once the pass has counted them.
	inbound map[string]int
}

// begin begins a pass over the waves.
func (d *drains) begin() {
	d.kept, d.claimed, d.needs, d.inbound = map[*machine]bool{}, map[*task]bool{}, map[string]*startNeeds{}, nil
}

// keep notes that the pass drains the machine.
func (d *drains) keep(m *machine) {
	d.kept[m] = true
	d.machines.Add(m)
	if m.drainingSince.IsZero() {
		delete(d.needs, m.Pool)
	}
}

// claim notes that the pass makes the lasting tasks unavailable.
func (d *drains) claim(l []*task) {
	for _, t := range l {
		d.claimed[t] = true
	}
}

// lastingClaims returns the lasting tasks on the machine that may be stopped now beside those that
// other drains of this pass stop, and will start again. It returns false if the drain would wait for
// another one, as that may not be stopped and has no room elsewhere, or has not left for too long.
func (c *Core) lastingClaims(m *machine) ([]*task, bool) {
	w := c.workerOf(m)
	if w == nil {
		return nil, true
	}
	var l []*task
	for _, r := range w.runs {
		switch {
		case !r.task.step.Lasting, r.phase == stopping:
		case c.mayStopBeside(r, l) && (r.mayReturn() && r.warmedUp(c.now) || c.roomElsewhere(w, r.task)):
			l = append(l, r.task)
		case c.drainOverdue(m, w), !c.roomElsewhere(w, r.task):
			return nil, false
		}
	}
	return l, true
}

// drainOverdue reports whether the machine has been drained for maxDrainHold and no lasting task has left
// it in that time, or whether such a drain has just been ended.
func (c *Core) drainOverdue(m *machine, w *worker) bool {
	if m.drainingSince.IsZero() {
		return c.now.Before(m.nextDrainAt)
	}
	return c.now.Sub(latest(m.drainingSince, w.evictedAt)) > maxDrainHold
}

// mayStopBeside reports whether the run may be stopped now beside the given tasks and those that
// other drains of this pass stop.
func (c *Core) mayStopBeside(r *run, l []*task) bool {
	s := r.task.step
	if !c.mayStop(r) {
		return false
	}
	if !s.hasDisruptionBudget() || s.instance.job.state.Final() {
		return true
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
// and is needed for starts waits until others that are being drained or maintained are back, unless
// lasting tasks have been stopped for its maintenance.
func (c *Core) mayDrain(m *machine) bool {
	w := c.workerOf(m)
	switch {
	case w == nil, c.now.Before(m.maintainBy), !c.neededForStarts(w):
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

// mayReturn reports whether the run's task may start on its machine again after maintenance.
func (r *run) mayReturn() bool {
	s := r.task.step
	return !r.worker.evacuated && s.instance.job.queue.Service == r.worker.Service && (s.Requires == "" || slices.Contains(r.worker.Labels, s.Requires))
}

// warmedUp reports whether the lasting run is ready, or has had the time for that. One that is stopped
// before, for wave after wave, would not be ready for as long as they last.
func (r *run) warmedUp(now time.Time) bool {
	return r.task.ready || now.Sub(r.sentAt) > warmUp
}

// roomOverdue reports whether the lasting tasks on a machine that is drained, all of which may be
// stopped together, wait no longer for room elsewhere: the drain has had its timeout, or nothing else
// runs there and no host is to come to the pool.
func (c *Core) roomOverdue(m *machine, claims []*task) bool {
	w := c.workerOf(m)
	if w == nil || c.now.Before(c.evictFrom) || len(claims) < w.countLasting() {
		return false
	}
	if !c.now.Before(m.drainingSince.Add(waveDrainTimeout)) {
		return true
	}
	short := slices.ContainsFunc(w.runs, func(r *run) bool { return !r.task.step.Lasting })
	return !short && !c.mayGetHost(w.Service)
}

// countLasting counts the lasting runs on the worker that are not being stopped.
func (w *worker) countLasting() int {
	n := 0
	for _, r := range w.runs {
		if r.task.step.Lasting && r.phase != stopping {
			n++
		}
	}
	return n
}

// mayGetHost reports whether the pool may get a host soon: one is on its way, or the spare pool has
// one.
func (c *Core) mayGetHost(service string) bool {
	if c.drains.inbound == nil {
		c.drains.inbound = c.inboundHosts()
	}
	spare := c.sparePool()
	return c.drains.inbound[service] > 0 || spare != "" && len(c.usable(spare)) > 0
}

// othersReturn reports whether another machine of the pool is being drained or maintained, and will
// get starts again.
func (c *Core) othersReturn(m *machine) bool {
	return slices.ContainsFunc(c.machinesOf(m.Pool), func(o *machine) bool {
		return o != m && (c.drains.kept[o] || o.order != nil && o.order.wave != nil)
	})
}

// noteBlocked counts a machine that cannot be drained for the wave, and logs the first one every
// waveLogInterval, with the lasting task that it cannot be rid of.
func (c *Core) noteBlocked(v *wave, m *machine) {
	v.blocked++
	w := c.workerOf(m)
	if w == nil || c.now.Before(v.blockedLogAt) {
		return
	}
	i := slices.IndexFunc(w.runs, func(r *run) bool { return r.task.step.Lasting })
	if i < 0 {
		return
	}
	v.blockedLogAt = c.now.Add(waveLogInterval)
	r := w.runs[i]
	f := []any{"wave", v.Number, "left", len(v.pending), "down", len(v.down), "machine", m.Name, "room_elsewhere", c.roomElsewhere(w, r.task)}
	if !m.drainingSince.IsZero() {
		f = append(f, "draining_ms", c.now.Sub(m.drainingSince).Milliseconds())
	}
	c.logRun(r, "wave blocked", "a lasting task cannot leave the machine", append(f, c.stopInputs(r)...))
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
	m.drainingSince, m.maintainBy = time.Time{}, time.Time{}
	m.nextDrainAt = c.now.Add(drainPause)
	c.uncordon(m)
}

// maintenancePending reports whether a wave has yet to maintain the machine.
func (c *Core) maintenancePending(m *machine) bool {
	return slices.ContainsFunc(c.openWaves, func(v *wave) bool { return v.pending[m.Name] })
}
