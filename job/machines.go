package job

import (
	"slices"
	"time"

	"amberway/platform"
)

// Times of orders to machines.
const (
	// handoverPause is how long no order goes to a machine to which the owner before
	// gave one: two holders may not take turns within three seconds.
	handoverPause = 3200 * time.Millisecond
	// firstOrderDelay is how long an owner waits for its workers' first answers
	// before it gives orders to machines.
	firstOrderDelay = 300 * time.Millisecond
	// evacuationDelay is how long an owner leaves lasting tasks where they are: a run
	// that the owner before has stopped is listed as running for as long as the
	// stop takes, four tenths of a second, and looks from before that must not
	// speak for it any more.
	evacuationDelay = pollFreshFor + 600*time.Millisecond
	// listEvery is how often the list of machines is read while orders are
	// under way, listIdle otherwise.
	listEvery     = 600 * time.Millisecond
	listIdleEvery = 4 * time.Second
	// listAfterSilence is how soon the list is read after a worker has fallen silent: it
	// tells a crash from a cut, and several fall silent together.
	listAfterSilence = 100 * time.Millisecond
	// orderVisibleAfter is how long after an order the list is sure to show it.
	orderVisibleAfter = 100 * time.Millisecond
	// orderRetry is the pause after an order that was refused or not answered.
	orderRetry = 500 * time.Millisecond
)

// machines is what the owner knows of machines, and the orders it gives.
type machines struct {
	orderBudget orderBudget
	holder      string
	// ordersFrom is when the owner knows enough to give orders; heldUntil holds
	// back those to machines that the owner before gave orders to.
	ordersFrom time.Time
	heldUntil  map[string]time.Time
	// evacuateFrom is when the owner knows which lasting tasks are at work.
	evacuateFrom   time.Time
	machinesByName map[string]*machine
	listing        bool
	listAt         time.Time
	// silenceAt is when a worker last fell silent.
	silenceAt time.Time
	waves     map[int64]*wave
	balance   poolBalancer
}

// machine is one machine of the fleet.
type machine struct {
	platform.Machine
	// order is the order under way, if any.
	order *machineOrder
	// retryAt holds back the next order. It is kept apart from the repeatAt of an order, so
	// that a new order is not taken for one to repeat before it is recorded.
	retryAt time.Time
	// orderedAt is when it last got an order.
	orderedAt time.Time
	// drainingSince says since when it has been kept free of new runs.
	drainingSince time.Time
	// transferTo is the pool that the machine is to be lent to once it is empty.
	transferTo string
	// missedLists counts the lists of machines in a row that lacked it.
	missedLists int
	// unknownWorkerSince says since when the list names a worker there that the owner has not
	// heard of, or has given up.
	unknownWorkerSince time.Time
}

// machineOrder is an order from its sending until the machine is up again.
type machineOrder struct {
	pool   string
	wave   *wave
	sentAt time.Time
	// decidedAt is when it was decided on, before it was first sent.
	decidedAt time.Time
	// recorded says that the roster in the store names the machine.
	recorded bool
	// fence is the revision of the write that recorded the order. It rises with each order
	// of an owner, so that the platform refuses one that it carries out after a newer one,
	// and it is below the fence of the next owner, before whose claim the write was made.
	fence platform.Fence
	// resendAt is when it is sent again, if it was not answered.
	resendAt time.Time
	// acceptedAt is when the platform answered with success.
	acceptedAt time.Time
}

// ListMachines reads the list of machines.
type ListMachines struct{}

// MoveMachine orders a machine into another pool.
type MoveMachine struct {
	Holder  platform.Holder
	Machine string
	Pool    string
}

// MaintainMachine orders the upkeep of a machine.
type MaintainMachine struct {
	Holder  platform.Holder
	Machine string
	Wave    int64
}

func (ListMachines) action()    {}
func (MoveMachine) action()     {}
func (MaintainMachine) action() {}

// MachineList is the outcome of a ListMachines.
type MachineList struct {
	SentAt   time.Time
	Machines []platform.Machine
	Err      error
}

// MachineOrderResult is the outcome of a MoveMachine or MaintainMachine.
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
		heldUntil:      map[string]time.Time{},
		evacuateFrom:   now.Add(evacuationDelay),
		machinesByName: map[string]*machine{},
		waves:          map[int64]*wave{},
		balance:        newPoolBalancer(),
	}
}

// reconcileMachines reads the list if it is due, and moves and maintains machines.
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

// apply takes in the list of machines.
func (e MachineList) apply(c *Core) {
	c.listing = false
	c.listAt = c.now.Add(listIdleEvery)
	if e.SentAt.Before(c.silenceAt) {
		// A worker fell silent after the list was asked for.
		c.listAt = c.now.Add(listAfterSilence)
	}
	if e.Err != nil {
		c.listAt = c.now.Add(orderRetry)
		c.emit(LogLine{What: "machines not listed", Why: e.Err.Error()})
		return
	}
	for _, v := range e.Machines {
		m := c.machinesByName[v.Name]
		if m == nil {
			m = &machine{}
			c.machinesByName[v.Name] = m
		}
		m.Machine = v
		c.noteUnknownWorker(m)
		c.finishOrder(m, e.SentAt)
		c.checkIncarnation(m, e.SentAt)
		if m.order != nil {
			c.relistSoon()
		}
	}
	e.countMissing(c)
}

// listGap is the least time between two lists while orders are under way.
func (c *Core) listGap() time.Duration {
	return c.flow.listGap(len(c.machinesByName))
}

// checkIncarnation marks the record of a worker that its machine does not run any
// more. A silent one is given up at once. A life that was heard of after the list was
// asked for may have begun since.
func (c *Core) checkIncarnation(m *machine, listSentAt time.Time) {
	for _, w := range slices.Clone(c.workersByHost[m.Name]) {
		other := m.Worker != w.ID.Name()
		if other && w.heardOfSince(listSentAt) {
			continue
		}
		w.stale = other
		if w.stale && w.missedPolls > 0 {
			c.removeWorker(w, "its machine runs another life or none, by the list of machines")
		}
	}
}

// workerOf returns the worker on the machine, or nil. A worker whose record has
// gone from the store may live on.
func (c *Core) workerOf(m *machine) *worker {
	if w := c.current[m.Worker]; w != nil {
		return w
	}
	return c.listedByHost[m.Name]
}

// noteUnknownWorker notes whether the list names a worker on the machine that the owner does
// not know.
func (c *Core) noteUnknownWorker(m *machine) {
	switch {
	case m.Worker == "" || c.current[m.Worker] != nil:
		m.unknownWorkerSince = time.Time{}
	case m.unknownWorkerSince.IsZero():
		m.unknownWorkerSince = c.now
	}
}

// runsExpired reports whether all that any owner has started on the machine must have
// lapsed: its worker, of which there is no record, was not heard of for as long as a lease
// may last, and nobody else has owned meanwhile. Waves and moves went without such a
// machine for as long as it was listed.
func (c *Core) runsExpired(m *machine) bool {
	return !m.unknownWorkerSince.IsZero() && c.ownedUntil.After(m.unknownWorkerSince.Add(inheritedLease))
}

// runsKnown reports whether what runs on the machine is known: nothing where it has
// no worker, or one of which nothing is heard; else what its worker has answered of late.
func (c *Core) runsKnown(m *machine) bool {
	if m.Worker == "" {
		return true
	}
	w := c.current[m.Worker]
	if w == nil {
		return c.runsExpired(m)
	}
	return c.dormant(w) || w.contacted && w.missedPolls == 0
}

// drainMachine keeps new runs from the machine and evacuates it. It reports whether
// nothing is left that is worth waiting for.
func (c *Core) drainMachine(m *machine, patience time.Duration) bool {
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
	w.leaving = true
	if !c.evacuate(w) {
		return false
	}
	return len(w.runs) == 0 || !c.now.Before(m.drainingSince.Add(patience))
}
