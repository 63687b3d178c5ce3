package job

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"amberway/platform"
)

// waveDrainTimeout is how long a machine waits for its short tasks to end before its
// maintenance ends them.
const waveDrainTimeout = 2500 * time.Millisecond

// waveLogInterval is the time between two log lines about the blocked machines of a wave.
const waveLogInterval = 2 * time.Second

// wavePrefix is the prefix of the store keys that hold the machines of a wave whose
// maintenance has begun.
const wavePrefix = ownerOnlyPrefix + "wave/"

// wave is a maintenance wave: machines to be maintained, no more than MaxDown at a time.
type wave struct {
	platform.Wave
	endsAt time.Time
	// pending are the machines whose maintenance has not begun, down those that are ordered
	// or have begun and are not up again.
	pending, down map[string]bool
	// began are the machines whose maintenance has begun, as the store records them.
	began []string
	// reported says that the wave is reported as done.
	reported bool
	// knownSince is when the owner learned of the wave, listsRead the number of
	// machine lists that were requested and read since.
	knownSince time.Time
	listsRead  int
	// blocked counts the machines that could not be drained for the wave in the last pass.
	blocked int
	// blockedLogAt is when they may be logged again.
	blockedLogAt time.Time
}

// WaveRequested says that the operator has requested a wave.
type WaveRequested struct {
	Wave platform.Wave
	// Began are the machines whose maintenance began under an earlier owner.
	Began []string
}

// apply adds the wave, unless it is known.
func (e WaveRequested) apply(c *Core) {
	if c.waves[e.Wave.Number] != nil {
		return
	}
	v := &wave{Wave: e.Wave, endsAt: c.now.Add(e.Wave.TimeLimit), pending: map[string]bool{}, down: map[string]bool{}, began: e.Began, knownSince: c.now}
	for _, n := range e.Wave.Machines {
		v.pending[n] = !slices.Contains(e.Began, n)
		if !v.pending[n] {
			delete(v.pending, n)
		}
	}
	c.waves[e.Wave.Number] = v
	c.openWaves = append(c.openWaves, v)
	c.emit(LogLine{What: "wave", Fields: []any{"wave", v.Number, "machines", len(v.Machines), "left", len(v.pending), "cap", v.MaxDown, "within_ms", v.TimeLimit.Milliseconds()}})
	k, b := platform.WaveStatus(v.Number, false)
	c.queueWrite([]platform.Put{{Key: k, Value: b}}, nil)
}

func (v *wave) name() string {
	if v == nil {
		return ""
	}
	return strconv.FormatInt(v.Number, 10)
}

// finish records that a machine of the wave is up again.
func (v *wave) finish(m string) {
	delete(v.down, m)
}

// drop removes a machine that does not belong to the wave any more.
func (v *wave) drop(m string) {
	delete(v.down, m)
	delete(v.pending, m)
}

// noteWaveBegan records, also in the store, that the platform has begun a machine's
// maintenance.
func (c *Core) noteWaveBegan(v *wave, m string) {
	delete(v.pending, m)
	if !slices.Contains(v.began, m) {
		v.began = append(v.began, m)
	}
	b, err := json.Marshal(v.began)
	if err != nil {
		c.emit(LogLine{What: "wave not encoded", Why: err.Error()})
		return
	}
	c.queueWrite([]platform.Put{{Key: wavePrefix + v.name(), Value: b}}, nil)
}

func decodeWaveBegan(e platform.Entry) (int64, []string, error) {
	n, err := strconv.ParseInt(strings.TrimPrefix(e.Key, wavePrefix), 10, 64)
	if err != nil {
		return 0, nil, fmt.Errorf("job: %s: %w", e.Key, err)
	}
	var l []string
	if err := json.Unmarshal(e.Value, &l); err != nil {
		return n, nil, fmt.Errorf("job: %s: %w", e.Key, err)
	}
	return n, l, nil
}

// reconcileWaves resends orders without an answer, and orders the maintenance of the next
// machines of each wave.
func (c *Core) reconcileWaves() {
	c.resendOrders()
	for _, w := range c.workers {
		w.maintenanceDue = false
	}
	c.openWaves = slices.DeleteFunc(c.openWaves, func(v *wave) bool { return v.reported })
	c.drains.begin()
	for _, v := range c.openWaves {
		c.markMaintenanceDue(v)
		c.reconcileWave(v)
	}
	c.endDrains()
	if len(c.openWaves) > 1 {
		// They share the budget of orders, and take turns to be first.
		c.openWaves = append(c.openWaves[1:], c.openWaves[0])
	}
}

// markMaintenanceDue marks the workers on machines with pending maintenance in the wave, so that
// lasting tasks are placed elsewhere.
func (c *Core) markMaintenanceDue(v *wave) {
	for n := range v.pending {
		if m := c.machinesByName[n]; m != nil && c.workerOf(m) != nil {
			c.workerOf(m).maintenanceDue = true
		}
	}
}

func (c *Core) reconcileWave(v *wave) {
	c.dropRemovedMachines(v)
	if len(v.pending) == 0 && len(v.down) == 0 {
		v.reported = true
		c.emit(LogLine{What: "wave done", Fields: []any{"wave", v.Number, "left_ms", v.endsAt.Sub(c.now).Milliseconds()}})
		k, b := platform.WaveStatus(v.Number, true)
		c.queueWrite([]platform.Put{{Key: k, Value: b}}, []string{wavePrefix + v.name()})
		return
	}
	if c.now.Before(c.ordersFrom) {
		return
	}
	v.blocked = 0
	l := waveSlots{next: max(1, v.MaxDown) - c.machinesDown(v), ahead: waveDrainAhead}
	for _, m := range c.waveCandidates(v) {
		if l.next <= 0 && l.ahead <= 0 {
			return
		}
		if !c.drains.kept[m] {
			c.drainForWave(v, m, &l)
		}
	}
}

// waveSlots are how many more machines a pass may drain for a wave: to be maintained next, and ahead
// of that.
type waveSlots struct {
	next, ahead int
}

// drainForWave drains the machine if there is a slot for it, and orders its maintenance once it is
// empty.
func (c *Core) drainForWave(v *wave, m *machine, l *waveSlots) {
	claims, ok := c.lastingClaims(m)
	if !ok {
		c.noteBlocked(v, m)
	}
	next := ok && l.next > 0
	switch {
	case next && c.mayDrain(m):
		l.next--
		c.drains.claim(claims)
	case !next && l.ahead > 0 && c.mayDrainAhead(m):
		l.ahead--
	default:
		return
	}
	c.drains.keep(m)
	switch {
	case c.drainMachine(m, waveDrainTimeout):
		if c.machinesDown(v) < max(1, v.MaxDown) && c.mayOrder() {
			v.down[m.Name] = true
			c.recordOrder(m, &machineOrder{wave: v})
		}
	case next && c.mayOrder() && c.roomOverdue(m, claims):
		c.stopLasting(c.workerOf(m), "its machine is due for maintenance, and no other worker has room for it")
		m.maintainBy = c.now.Add(waveDrainTimeout)
	}
}

// dropRemovedMachines drops removed machines from the wave, as they need no maintenance and
// will not come up again.
func (c *Core) dropRemovedMachines(v *wave) {
	for _, n := range v.Machines {
		if c.machinesByName[n] != nil || (!v.pending[n] && !v.down[n]) {
			continue
		}
		if v.listsRead < removedAfterLists {
			c.relistSoon()
		} else {
			c.emit(LogLine{What: "wave machine removed", Fields: []any{"wave", v.Number, "machine", n, "down", v.down[n]}})
			v.drop(n)
		}
	}
}

// machinesDown counts the machines of the wave that are or may be down: those with an order
// of this owner, and those that are in maintenance or down by the machine list, for instance
// through an order of an earlier owner.
func (c *Core) machinesDown(v *wave) int {
	n := len(v.down)
	for _, name := range v.Machines {
		m := c.machinesByName[name]
		if m != nil && !v.down[name] && (m.State == platform.MachineInMaintenance || m.State == platform.MachineDown) {
			n++
		}
	}
	return n
}

// waveCandidates returns the pending machines that can be maintained now, by ascending cost:
// machines without a worker first, then those that are being drained.
func (c *Core) waveCandidates(v *wave) []*machine {
	var l []*machine
	cost := map[*machine]int{}
	for n := range v.pending {
		m := c.machinesByName[n]
		if m == nil || !c.maintainable(m) {
			continue
		}
		l = append(l, m)
		cost[m] = maintenanceCost(m, c.workerOf(m))
	}
	slices.SortFunc(l, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(cost[a], cost[b]), a.drainingSince.Compare(b.drainingSince), cmp.Compare(a.Name, b.Name))
	})
	return l
}

// maintainable reports whether the machine may be ordered to be maintained now, apart from what
// runs on it.
func (c *Core) maintainable(m *machine) bool {
	w := c.workerOf(m)
	return c.orderable(m) && c.runsKnown(m) && (w == nil || !w.Draining)
}

// maintenanceCost returns the cost of the runs that a machine's maintenance ends; lasting ones
// cost more. Machines whose lasting tasks wait for them, those without a worker, and those that are
// being drained, sort before all others.
func maintenanceCost(m *machine, w *worker) int {
	if !m.maintainBy.IsZero() {
		return -3
	}
	if w == nil {
		return -2
	}
	if !m.drainingSince.IsZero() {
		return -1
	}
	cost := 0
	for _, r := range w.runs {
		cost++
		if r.task.step.Lasting {
			cost += 5
		}
	}
	return cost
}
