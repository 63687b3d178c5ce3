package job

import (
	"errors"
	"slices"
	"time"

	"amberway/platform"
)

func (c *Core) orderHolder(o *machineOrder) platform.Holder {
	return platform.Holder{Name: c.holder, Fence: o.fence}
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
	c.doubtLives(m)
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
	c.listSoon()
	c.do(Note{What: "machine ordered", Why: string(e.Verdict) + errorText(e.Err), Inputs: []any{"machine", e.Machine, "pool", o.pool, "wave", o.wave.name()}})
	switch {
	case e.Err == nil && e.Verdict == platform.OrderTaken:
		o.takenAt = c.now
		if o.wave != nil {
			c.waveBegan(o.wave, m.Name)
		}
	case errors.Is(e.Err, platform.ErrUnknown):
		// It may be carried out late: the same order again settles it.
		o.repeatAt = c.now.Add(orderRetry)
	case e.Verdict == platform.OrderFence:
		c.do(StepDown{Why: "a machine has had orders with a higher fence"})
	case e.Verdict == platform.OrderWave:
		o.wave.drop(m.Name)
		c.clearOrder(m)
	default:
		if errors.Is(e.Err, platform.ErrRefused) {
			c.budget.refused(c.now)
		}
		m.retryAt = c.now.Add(orderRetry)
		c.clearOrder(m)
	}
}

// doubtLives has those workers of a machine answer anew that were known before its order
// was first sent: it may have a worker of the same name since.
func (c *Core) doubtLives(m *machine) {
	for _, w := range c.lives[m.Name] {
		if w.knownSince.Before(m.order.givenAt) {
			w.doubtful = true
			w.lookAt = c.now
		}
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
		c.keepRoster(w)
	}
}

// retire takes the worker of a machine that gets an order out of the roster if
// nothing runs there and all its ends are written, so that a next owner does not wait
// for its answer.
func (c *Core) retire(m *machine) {
	w := c.workerOf(m)
	if w == nil {
		return
	}
	w.leaving = true
	w.retired = len(w.runs)+len(w.strays) == 0 && !w.owes()
	if w.retired {
		c.keepRoster(w)
	}
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

// resend repeats an order whose answer was lost.
func (c *Core) resend(m *machine) {
	o := m.order
	if o == nil || !o.takenAt.IsZero() || o.repeatAt.IsZero() || c.now.Before(o.repeatAt) {
		return
	}
	if !c.mayOrder() {
		return
	}
	c.budget.spend()
	o.repeatAt = time.Time{}
	c.send(m)
}

// free reports whether the machine may get an order now.
func (c *Core) free(m *machine) bool {
	return m.order == nil && m.lend == "" && m.missed == 0 && m.State == platform.MachineUp &&
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
func (c *Core) recorded(ordered []string, at platform.Revision) {
	for _, n := range ordered {
		m := c.byName[n]
		if m != nil && m.order != nil && !m.order.recorded {
			m.order.recorded = true
			m.order.fence = platform.Fence(at)
			c.send(m)
		}
	}
}

// order records that a machine is to get an order, which is sent after that.
func (c *Core) order(m *machine, o *machineOrder) {
	o.sentAt, o.givenAt = c.now, c.now
	m.order = o
	c.budget.spend()
	c.retire(m)
	c.keepOrdered(m)
}

// send gives the order of the machine.
func (c *Core) send(m *machine) {
	o := m.order
	m.orderedAt = c.now
	o.sentAt = c.now
	if o.wave != nil {
		c.do(MaintainMachine{Holder: c.orderHolder(o), Machine: m.Name, Wave: o.wave.Number})
		return
	}
	c.do(MoveMachine{Holder: c.orderHolder(o), Machine: m.Name, Pool: o.pool})
}
