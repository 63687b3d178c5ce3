package job

import (
	"errors"
	"slices"
	"time"

	"amberway/platform"
)

// Times of orders to machines.
const (
	// handOver is how long no order goes to a machine to which the owner before
	// gave one: two holders may not take turns within three seconds.
	handOver = 3200 * time.Millisecond
	// getToKnow is how long an owner waits for its workers' first answers
	// before it gives orders to machines.
	getToKnow = 300 * time.Millisecond
	// stopsShow is how long an owner leaves lasting tasks where they are: a run
	// that the owner before has stopped is listed as running for as long as the
	// stop takes, four tenths of a second, and until the next look.
	stopsShow = 1500 * time.Millisecond
	// listEvery is how often the list of machines is read while orders are
	// under way, listIdle otherwise.
	listEvery = 600 * time.Millisecond
	listIdle  = 4 * time.Second
	// orderShows is how long after an order the list is sure to show it.
	orderShows = 100 * time.Millisecond
	// orderRetry is the pause after an order that was refused or not answered.
	orderRetry = 500 * time.Millisecond
)

// machines is what the owner knows of machines, and the orders it gives.
type machines struct {
	holder string
	// ordersAt is when the owner knows enough to give orders; heldUntil holds
	// back those to machines that the owner before gave orders to.
	ordersAt  time.Time
	heldUntil map[string]time.Time
	// evacuateAt is when the owner knows which lasting tasks are at work.
	evacuateAt time.Time
	byName     map[string]*machine
	listing    bool
	listAt     time.Time
	waves      map[int64]*wave
	balance    pooling
}

// machine is one machine of the fleet.
type machine struct {
	platform.Machine
	// order is the order under way, if any.
	order *machineOrder
	// retryAt holds back the next order.
	retryAt time.Time
	// orderedAt is when it last got an order.
	orderedAt time.Time
	// emptyingSince says since when it has been kept free of new runs.
	emptyingSince time.Time
	// lend is the pool that the machine is to be lent to once it is empty.
	lend string
}

// machineOrder is an order from its sending until the machine is up again.
type machineOrder struct {
	pool   string
	wave   *wave
	sentAt time.Time
	// recorded says that the roster in the store names the machine.
	recorded bool
	// takenAt is when the platform answered with success.
	takenAt time.Time
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

// MachinesListed is the outcome of a ListMachines.
type MachinesListed struct {
	SentAt   time.Time
	Machines []platform.Machine
	Err      error
}

// MachineOrdered is the outcome of a MoveMachine or MaintainMachine.
type MachineOrdered struct {
	Machine string
	Verdict platform.MachineVerdict
	Err     error
}

func newMachines(holder string, now time.Time) machines {
	return machines{
		holder:     holder,
		ordersAt:   now.Add(getToKnow),
		heldUntil:  map[string]time.Time{},
		evacuateAt: now.Add(stopsShow),
		byName:     map[string]*machine{},
		waves:      map[int64]*wave{},
		balance:    newPooling(),
	}
}

func (c *Core) orderHolder() platform.Holder {
	return platform.Holder{Name: c.holder, Fence: c.fence}
}

// tendMachines reads the list if it is due, and moves and maintains machines.
func (c *Core) tendMachines() {
	if !c.listing && !c.now.Before(c.listAt) {
		c.listing = true
		c.do(ListMachines{})
	}
	if len(c.byName) == 0 {
		return
	}
	c.tendWaves()
	c.tendPools()
}

// apply takes in the list of machines.
func (e MachinesListed) apply(c *Core) {
	c.listing = false
	c.listAt = c.now.Add(listIdle)
	if e.Err != nil {
		c.listAt = c.now.Add(orderRetry)
		c.do(Note{What: "machines not listed", Why: e.Err.Error()})
		return
	}
	seen := make(map[string]bool, len(e.Machines))
	for _, v := range e.Machines {
		seen[v.Name] = true
		m := c.byName[v.Name]
		if m == nil {
			m = &machine{}
			c.byName[v.Name] = m
		}
		m.Machine = v
		c.settleOrder(m, e.SentAt)
		c.compareLife(m)
		if m.order != nil {
			c.listAt = c.now.Add(listEvery)
		}
	}
	for n := range c.byName {
		if !seen[n] {
			delete(c.byName, n)
		}
	}
}

// compareLife marks the record of a worker that its machine does not run any
// more. A silent one is given up at once.
func (c *Core) compareLife(m *machine) {
	for _, w := range slices.Clone(c.lives[m.Name]) {
		w.stale = m.Worker != w.ID
		if w.stale && w.silent > 0 && m.State != platform.MachineDown {
			c.lose(w, "its machine runs another life or none, by the list of machines")
		}
	}
}

// settleOrder ends an order whose machine is up in a list that was asked for
// after the order was taken. An order that was done already leaves the machine
// as it was.
func (c *Core) settleOrder(m *machine, listSentAt time.Time) {
	o := m.order
	if o == nil || o.takenAt.IsZero() || listSentAt.Before(o.takenAt.Add(orderShows)) || m.State != platform.MachineUp {
		return
	}
	if o.wave != nil {
		o.wave.finish(m.Name)
	}
	c.do(Note{What: "machine up", Why: "its order is done", Inputs: []any{"machine", m.Name, "pool", m.Pool, "took_ms", c.now.Sub(o.sentAt).Milliseconds()}})
	c.clearOrder(m)
}

// apply takes in the answer to an order.
func (e MachineOrdered) apply(c *Core) {
	m := c.byName[e.Machine]
	if m == nil || m.order == nil {
		return
	}
	o := m.order
	c.listAt = earliest(c.listAt, c.now.Add(listEvery))
	c.do(Note{What: "machine ordered", Why: string(e.Verdict) + errorText(e.Err), Inputs: []any{"machine", e.Machine, "pool", o.pool, "wave", o.wave.name()}})
	switch {
	case e.Err == nil && e.Verdict == platform.OrderTaken:
		o.takenAt = c.now
		if o.wave != nil {
			c.waveBegan(o.wave, m.Name)
		}
	case errors.Is(e.Err, platform.ErrUnknown):
		// It may be carried out late: the same order again settles it.
		m.retryAt = c.now.Add(orderRetry)
	case e.Verdict == platform.OrderFence:
		c.do(StepDown{Why: "a machine has had orders with a higher fence"})
	case e.Verdict == platform.OrderWave:
		o.wave.drop(m.Name)
		c.clearOrder(m)
	default:
		m.retryAt = c.now.Add(orderRetry)
		c.clearOrder(m)
	}
}

func (c *Core) clearOrder(m *machine) {
	m.order = nil
	m.lend = ""
	m.emptyingSince = time.Time{}
	c.release(m)
}

// release lets a machine's worker take starts again.
func (c *Core) release(m *machine) {
	w := c.workerOf(m)
	if w == nil {
		return
	}
	w.leaving = false
	if w.retired {
		w.retired, w.rostered = false, false
		c.keepRoster()
	}
}

// retire takes the worker of a machine that gets an order out of the roster if
// nothing runs there, so that a next owner does not wait for its answer.
func (c *Core) retire(m *machine) {
	w := c.workerOf(m)
	if w == nil {
		return
	}
	w.leaving = true
	w.retired = len(w.runs)+len(w.strays) == 0
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// workerOf returns the worker on the machine, or nil. A worker whose record has
// gone from the store may live on.
func (c *Core) workerOf(m *machine) *worker {
	if w := c.byHost[m.Name]; w != nil {
		return w
	}
	if m.Worker == "" {
		return nil
	}
	return c.workers[m.Worker]
}

// known reports whether what runs on the machine is known: nothing where it has
// no worker, else what its worker has answered of late.
func (c *Core) known(m *machine) bool {
	if m.Worker == "" {
		return true
	}
	w := c.workers[m.Worker]
	return w != nil && w.met && w.silent == 0
}

// resend repeats an order whose answer was lost.
func (c *Core) resend(m *machine) {
	if m.order == nil || !m.order.takenAt.IsZero() || m.retryAt.IsZero() || c.now.Before(m.retryAt) {
		return
	}
	m.retryAt = time.Time{}
	c.send(m)
}

// free reports whether the machine may get an order now.
func (c *Core) free(m *machine) bool {
	return m.order == nil && m.lend == "" && m.State == platform.MachineUp &&
		!c.now.Before(m.retryAt) && !c.now.Before(c.heldUntil[m.Name])
}

// lately returns the machines that have orders or had them within handOver.
func (c *Core) lately() []string {
	var l []string
	for n, m := range c.byName {
		if m.order != nil || c.now.Sub(m.orderedAt) < handOver {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// recorded sends the orders that the store now names to a next owner.
func (c *Core) recorded(ordered []string) {
	for _, n := range ordered {
		m := c.byName[n]
		if m != nil && m.order != nil && !m.order.recorded {
			m.order.recorded = true
			c.send(m)
		}
	}
}

// order records that a machine is to get an order, which is sent after that.
func (c *Core) order(m *machine, o *machineOrder) {
	o.sentAt = c.now
	m.order = o
	c.retire(m)
	c.keepRoster()
}

// send gives the order of the machine.
func (c *Core) send(m *machine) {
	o := m.order
	m.orderedAt = c.now
	o.sentAt = c.now
	if o.wave != nil {
		c.do(MaintainMachine{Holder: c.orderHolder(), Machine: m.Name, Wave: o.wave.Number})
		return
	}
	c.do(MoveMachine{Holder: c.orderHolder(), Machine: m.Name, Pool: o.pool})
}

// empty keeps new runs from the machine and evacuates it. It reports whether
// nothing is left that is worth waiting for.
func (c *Core) empty(m *machine, patience time.Duration) bool {
	if !c.known(m) {
		return false
	}
	w := c.workerOf(m)
	if w == nil {
		return true
	}
	if m.emptyingSince.IsZero() {
		m.emptyingSince = c.now
	}
	w.leaving = true
	if !c.evacuate(w) {
		return false
	}
	if len(w.runs) == 0 {
		return true
	}
	if c.now.Before(m.emptyingSince.Add(patience)) {
		return false
	}
	return true
}
