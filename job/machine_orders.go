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

// finishOrder clears the order of a machine that is up in a list requested after the
// platform accepted the order. A repeated order that was carried out already leaves the machine
// as it is.
func (c *Core) finishOrder(m *machine, listSentAt time.Time) {
	o := m.order
	if o == nil || o.acceptedAt.IsZero() || listSentAt.Before(o.acceptedAt.Add(orderVisibleAfter)) || m.State != platform.MachineUp {
		return
	}
	if o.wave != nil {
		o.wave.finish(m.Name)
	}
	if o.pool != "" {
		m.keepUntil = c.now.Add(keepMoved)
	}
	c.markUnverified(m)
	c.emit(LogLine{What: "machine up", Why: "its order is complete", Fields: []any{"machine", m.Name, "pool", m.Pool, "took_ms", c.now.Sub(o.sentAt).Milliseconds()}})
	c.clearOrder(m)
}

// apply handles the result of an order to a machine.
func (e MachineOrderResult) apply(c *Core) {
	m := c.machinesByName[e.Machine]
	if m == nil || m.order == nil {
		return
	}
	o := m.order
	c.relistSoon()
	c.emit(LogLine{What: "machine ordered", Why: string(e.Verdict) + errorText(e.Err), Fields: []any{"machine", e.Machine, "pool", o.pool, "wave", o.wave.name()}})
	switch {
	case e.Err == nil && e.Verdict == platform.OrderAccepted:
		o.acceptedAt = c.now
		if o.wave != nil {
			c.noteWaveBegan(o.wave, m.Name)
		}
	case errors.Is(e.Err, platform.ErrUnknownOutcome):
		// It may still be carried out. Sending the same order again is idempotent.
		o.resendAt = c.now.Add(orderRetry)
	case e.Verdict == platform.OrderFenced:
		c.emit(StepDown{Why: "a machine has seen a higher fence"})
	case e.Verdict == platform.OrderNotInWave:
		o.wave.drop(m.Name)
		c.clearOrder(m)
	default:
		if errors.Is(e.Err, platform.ErrRefused) {
			c.orderBudget.pause(c.now)
		}
		m.retryAt = c.now.Add(orderRetry)
		c.clearOrder(m)
	}
}

// markUnverified holds back starts on a machine's workers until they answer a poll, if they
// were known before its order was decided on: another incarnation under the same name may run
// there since.
func (c *Core) markUnverified(m *machine) {
	for _, w := range c.workersByHost[m.Name] {
		if w.knownSince.Before(m.order.decidedAt) {
			w.unverified = true
			w.nextPollAt = c.now
		}
	}
}

func (c *Core) clearOrder(m *machine) {
	m.order = nil
	m.transferTo = ""
	m.drainingSince, m.maintainBy = time.Time{}, time.Time{}
	c.uncordon(m)
}

// uncordon lets the machine's worker get starts again.
func (c *Core) uncordon(m *machine) {
	w := c.workerOf(m)
	if w == nil {
		return
	}
	w.cordoned = false
	if w.offRoster {
		w.offRoster, w.inRoster = false, false
		c.markRosterDirty(w)
	}
}

// cordon keeps starts from the worker of a machine that gets an order. If nothing runs there
// and all its ends are stored, it also leaves the roster, so that the next owner does not
// wait for its answer.
func (c *Core) cordon(m *machine) {
	w := c.workerOf(m)
	if w == nil {
		return
	}
	w.cordoned = true
	w.offRoster = len(w.runs)+len(w.orphans) == 0 && !w.hasUnstoredEnds()
	if w.offRoster {
		c.markRosterDirty(w)
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

// resendDue reports whether an order without a response has to be repeated.
func (m *machine) resendDue(now time.Time) bool {
	o := m.order
	return o != nil && o.acceptedAt.IsZero() && !o.resendAt.IsZero() && !now.Before(o.resendAt)
}

// resend repeats the machine's order if the budget allows it, and reports whether it does.
func (c *Core) resend(m *machine) bool {
	if !c.mayOrder() {
		return false
	}
	c.orderBudget.spend()
	m.order.resendAt = time.Time{}
	c.sendOrder(m)
	return true
}

// orderable reports whether the machine may get an order now.
func (c *Core) orderable(m *machine) bool {
	return m.order == nil && m.transferTo == "" && m.missedLists == 0 && m.State == platform.MachineUp &&
		!c.now.Before(m.retryAt) && !c.now.Before(c.noOrdersUntil[m.Name])
}

// recentlyOrdered returns the machines that have an order or got one in the last handoverPause, also
// of earlier owners: the next takeover may follow within that time.
func (c *Core) recentlyOrdered() []string {
	var l []string
	for n, m := range c.machinesByName {
		if m.order != nil || c.now.Sub(m.orderedAt) < handoverPause {
			l = append(l, n)
		}
	}
	for n, t := range c.noOrdersUntil {
		if c.now.Before(t) {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return slices.Compact(l)
}

// sendRecorded sends the orders to the given machines, which the store has recorded at the
// revision, so that the next owner learns of them.
func (c *Core) sendRecorded(ordered []string, at platform.Revision) {
	for _, n := range ordered {
		m := c.machinesByName[n]
		if m != nil && m.order != nil && !m.order.recorded {
			m.order.recorded = true
			m.order.fence = platform.Fence(at)
			c.sendOrder(m)
		}
	}
}

// recordOrder sets the machine's order and queues a store write that names the machine. The
// order is sent after that write.
func (c *Core) recordOrder(m *machine, o *machineOrder) {
	o.sentAt, o.decidedAt = c.now, c.now
	m.order = o
	c.orderBudget.spend()
	c.cordon(m)
	c.markOrderedDirty(m)
}

// sendOrder sends the machine's order to the platform.
func (c *Core) sendOrder(m *machine) {
	o := m.order
	m.orderedAt = c.now
	o.sentAt = c.now
	if o.wave != nil {
		c.emit(MaintainMachine{Holder: c.orderHolder(o), Machine: m.Name, Wave: o.wave.Number})
		return
	}
	c.emit(MoveMachine{Holder: c.orderHolder(o), Machine: m.Name, Pool: o.pool})
}
