package job

import (
	"slices"
	"time"

	"amberway/platform"
)

// Intervals and delays of machine lists and of orders to machines.
const (
	// handoverPause is how long a machine that got an order from the previous owner gets
	// none: two owners may not alternate within three seconds.
	handoverPause = 3200 * time.Millisecond
	// firstOrderDelay is how long a new owner waits for the first poll results of its workers
	// before it sends orders to machines.
	firstOrderDelay = 300 * time.Millisecond
	// evictionDelay is how long a new owner evicts no lasting tasks: a run that the
	// previous owner stopped is still listed for the 0.4 s that the stop takes, and a poll from
	// that time shows the task as ready for another pollFreshFor.
	evictionDelay = pollFreshFor + 600*time.Millisecond
	// listEvery is the interval between reads of the machine list while orders are under way,
	// listIdleEvery otherwise.
	listEvery     = 600 * time.Millisecond
	listIdleEvery = 4 * time.Second
	// listAfterSilence is the delay of a read after a worker has become silent. The list
	// tells a crash from a partition, and one read is to cover all workers that become silent
	// together.
	listAfterSilence = 100 * time.Millisecond
	// orderVisibleAfter is the time from an accepted order until every list reflects it.
	orderVisibleAfter = 100 * time.Millisecond
	// orderRetry is the delay before a refused or unanswered order, or a failed list, is
	// tried again.
	orderRetry = 500 * time.Millisecond
)

// machines is the owner's state of the machines and of its orders to them.
type machines struct {
	orderBudget orderBudget
	holder      string
	// ordersFrom is when the owner knows enough to send orders. noOrdersUntil holds back orders
	// to machines that got one from the previous owner.
	ordersFrom    time.Time
	noOrdersUntil map[string]time.Time
	// evictFrom is when the owner knows which lasting tasks are ready.
	evictFrom      time.Time
	machinesByName map[string]*machine
	listing        bool
	listAt         time.Time
	// listedAt is when the last machine list that was read was requested.
	listedAt time.Time
	// silenceAt is when a worker last became silent.
	silenceAt time.Time
	waves     map[int64]*wave
	// openWaves are the waves that are not reported as done, the one whose turn it is first.
	openWaves []*wave
	drains    drains
	balance   poolBalancer
}

// machine is one machine of the fleet.
type machine struct {
	platform.Machine
	// order is the order under way, or nil.
	order *machineOrder
	// retryAt holds back the next order. It is separate from an order's resendAt, so that a
	// new order is not resent before it is recorded.
	retryAt time.Time
	// orderedAt is when an order was last sent to it.
	orderedAt time.Time
	// drainingSince is since when it is being drained and gets no new runs.
	drainingSince time.Time
	// maintainBy is when its maintenance has to begin, as lasting tasks were stopped for it that no
	// other worker has room for; zero if none were.
	maintainBy time.Time
	// nextDrainAt holds back another drain after one that was ended.
	nextDrainAt time.Time
	// transferTo is the pool that the machine is to move to once it is empty.
	transferTo string
	// keepUntil is the time until which it stays in its pool while that is short of hosts.
	keepUntil time.Time
	// missedLists counts the consecutive machine lists without it.
	missedLists int
	// unknownWorkerSince is since when the machine list names a worker there that the owner
	// does not know, or has removed.
	unknownWorkerSince time.Time
}

// machineOrder is an order to a machine, from the decision until the machine is up again.
type machineOrder struct {
	pool   string
	wave   *wave
	sentAt time.Time
	// decidedAt is when it was decided on. It is first sent once it is recorded.
	decidedAt time.Time
	// recorded says that the store names the machine among those with orders.
	recorded bool
	// fence is the revision of the write that recorded the order. It rises with each order
	// of an owner, so that the platform refuses an order that arrives after a newer one, and
	// it is below the next owner's fence, whose write came later.
	fence platform.Fence
	// resendAt is when an order without a response is sent again.
	resendAt time.Time
	// acceptedAt is when the platform accepted it.
	acceptedAt time.Time
}

// ListMachines reads the machine list.
type ListMachines struct{}

// MoveMachine orders the platform to move a machine to another pool.
type MoveMachine struct {
	Holder  platform.Holder
	Machine string
	Pool    string
}

// MaintainMachine orders the maintenance of a machine.
type MaintainMachine struct {
	Holder  platform.Holder
	Machine string
	Wave    int64
}

func (ListMachines) action()    {}
func (MoveMachine) action()     {}
func (MaintainMachine) action() {}

// MachineList is the result of a ListMachines.
type MachineList struct {
	SentAt   time.Time
	Machines []platform.Machine
	Err      error
}

// MachineOrderResult is the result of a MoveMachine or MaintainMachine.
type MachineOrderResult struct {
	Machine string
	Verdict platform.MachineVerdict
	Err     error
}

func newMachines(holder string, ordersPerSecond float64, now time.Time) machines {
	return machines{
		holder:         holder,
		orderBudget:    newOrderBudget(ordersPerSecond, now),
		ordersFrom:     now.Add(firstOrderDelay),
		noOrdersUntil:  map[string]time.Time{},
		evictFrom:      now.Add(evictionDelay),
		machinesByName: map[string]*machine{},
		waves:          map[int64]*wave{},
		balance:        newPoolBalancer(),
	}
}

// reconcileMachines reads the machine list if that is due, and sends the orders that waves and
// pools need.
func (c *Core) reconcileMachines() {
	if !c.listing && !c.now.Before(c.listAt) {
		c.listing = true
		c.emit(ListMachines{})
	}
	if len(c.machinesByName) == 0 {
		return
	}
	c.reconcileWaves()
	c.reconcilePools()
}

// apply updates the known machines from a list, and finishes the orders that it shows as
// carried out.
func (e MachineList) apply(c *Core) {
	c.listing = false
	c.listAt = c.now.Add(listIdleEvery)
	if e.SentAt.Before(c.silenceAt) {
		// A worker became silent after the list was requested.
		c.listAt = c.now.Add(listAfterSilence)
	}
	if e.Err != nil {
		c.listAt = c.now.Add(orderRetry)
		c.emit(LogLine{What: "machine list not read", Why: e.Err.Error()})
		return
	}
	c.listedAt = e.SentAt
	c.balance.machinesByPool = nil
	for _, v := range e.Machines {
		m := c.machinesByName[v.Name]
		if m == nil {
			m = &machine{}
			c.machinesByName[v.Name] = m
			c.machinesByAge.Add(m)
		}
		m.Machine = v
		c.noteUnknownWorker(m)
		c.finishOrder(m, e.SentAt)
		c.markStaleWorkers(m, e.SentAt)
		if m.order != nil {
			c.relistSoon()
		}
	}
	e.countMissing(c)
}

// listGap returns the shortest time between two reads of the list while orders are under way.
func (c *Core) listGap() time.Duration {
	return c.flow.listGap(len(c.machinesByName))
}

// markStaleWorkers marks as stale the workers that, by the machine list, the machine no longer
// runs. A stale worker that is silent is removed at once. A worker that was heard from after the
// list was requested may have started since, and is skipped.
func (c *Core) markStaleWorkers(m *machine, listSentAt time.Time) {
	for _, w := range slices.Clone(c.workersByHost[m.Name]) {
		other := m.Worker != w.ID.Name()
		if other && w.heardFromSince(listSentAt) {
			continue
		}
		w.stale = other
		if w.stale && w.missedPolls > 0 {
			c.removeWorker(w, "its machine runs another worker or none, by the machine list")
		}
	}
}

// workerOf returns the worker on the machine, or nil. A worker without a record in the store
// may still run.
func (c *Core) workerOf(m *machine) *worker {
	if w := c.current[m.Worker]; w != nil {
		return w
	}
	return c.listedByHost[m.Name]
}

// noteUnknownWorker records since when the list names a worker on the machine that the owner
// does not know.
func (c *Core) noteUnknownWorker(m *machine) {
	switch {
	case m.Worker == "" || c.current[m.Worker] != nil:
		m.unknownWorkerSince = time.Time{}
	case m.unknownWorkerSince.IsZero():
		m.unknownWorkerSince = c.now
	}
}

// runsExpired reports whether the lease of all runs that any owner started on the machine must
// have expired: its worker, which has no record, has been unknown for the longest time that a
// lease may last, and nobody else was the owner meanwhile. Without this, waves and moves would
// skip such a machine for as long as it is listed.
func (c *Core) runsExpired(m *machine) bool {
	return !m.unknownWorkerSince.IsZero() && c.ownedUntil.After(m.unknownWorkerSince.Add(inheritedLease))
}

// runsKnown reports whether the owner knows what runs on the machine: nothing if it has no
// worker, or one that is dormant, or an unknown one whose runs have expired; otherwise what
// its worker listed, if that has answered its last poll.
func (c *Core) runsKnown(m *machine) bool {
	if m.Worker == "" {
		return true
	}
	w := c.current[m.Worker]
	if w == nil {
		return c.runsExpired(m)
	}
	return c.dormant(w) || w.contacted && w.missedPolls == 0 && !w.hidesEnds()
}

// drainMachine keeps new runs from the machine and evicts its lasting tasks. It reports whether the
// machine is ready for an order: it is empty, or its lasting tasks have left and the others
// have had the timeout to end.
func (c *Core) drainMachine(m *machine, timeout time.Duration) bool {
	if !c.runsKnown(m) {
		return false
	}
	w := c.workerOf(m)
	if w == nil {
		return true
	}
	if m.drainingSince.IsZero() {
		m.drainingSince = c.now
	}
	w.cordoned = true
	if !c.evictLasting(w) {
		return false
	}
	return len(w.runs) == 0 || !c.now.Before(m.drainingSince.Add(timeout))
}
