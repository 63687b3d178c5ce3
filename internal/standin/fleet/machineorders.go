package fleet

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Reasons in the answer to a rejected order.
const (
	reasonFenced = "fence"
	reasonBusy   = "busy"
)

// machineOrders holds the delay and the counts of orders to machines.
type machineOrders struct {
	// orderDelay returns how long an order is delayed, or zero; nil delays none.
	orderDelay func() time.Duration
	// ordersReceived counts all orders, ordersDelayed the delayed ones that have been
	// executed or rejected.
	ordersReceived, ordersDelayed int
}

// machineOrder is one order to a machine.
type machineOrder struct {
	fence int64
	// number is its position in the sequence of arrivals.
	number int
	// isDone reports whether nothing is left to do; apply executes it once the machine's
	// worker has stopped.
	isDone func(*Machine) bool
	apply  func(*Machine)
	// delayed says that it was delayed.
	delayed bool
}

// DelayMachineOrders delays orders to machines. delay is called for each order: if it
// returns a positive time, the order gets no answer and is executed after that time. Calls
// to delay do not overlap. A nil delay ends the delays.
func (f *Fleet) DelayMachineOrders(delay func() time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orderDelay = delay
}

// DelayedMachineOrders returns how many delayed orders have been executed or rejected.
func (f *Fleet) DelayedMachineOrders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ordersDelayed
}

func (f *Fleet) serveMove(w http.ResponseWriter, r *http.Request) {
	var q struct{ Machine, Pool string }
	if !decode(w, r, &q) {
		return
	}
	f.serveOrder(w, r, q.Machine, machineOrder{
		isDone: func(m *Machine) bool { return m.Pool == q.Pool },
		apply:  func(m *Machine) { f.move(m, q.Pool) },
	})
}

func (f *Fleet) serveMaintenance(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Machine string
		Wave    int64
	}
	if !decode(w, r, &q) {
		return
	}
	f.serveOrder(w, r, q.Machine, machineOrder{
		isDone: func(m *Machine) bool { return m.maintainedBy == q.Wave },
		apply:  func(m *Machine) { f.maintain(m, q.Wave) },
	})
}

// serveOrder executes an order, either at once or after a delay and without an answer.
func (f *Fleet) serveOrder(w http.ResponseWriter, r *http.Request, machine string, o machineOrder) {
	fence, err := strconv.ParseInt(r.Header.Get("Amberway-Fence-Token"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.fence = fence
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.find(machine)
	if m == nil {
		http.Error(w, "no such machine", http.StatusBadRequest)
		return
	}
	f.ordersReceived++
	o.number = f.ordersReceived
	if d := f.drawOrderDelay(); d > 0 {
		time.AfterFunc(d, func() { f.executeDelayed(m, o) })
		panic(http.ErrAbortHandler)
	}
	if reason := f.execute(m, o); reason != "" {
		writeJSON(w, http.StatusConflict, map[string]string{"reason": reason})
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{})
}

func (f *Fleet) drawOrderDelay() time.Duration {
	if f.orderDelay == nil {
		return 0
	}
	return f.orderDelay()
}

func (f *Fleet) executeDelayed(m *Machine, o machineOrder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ordersDelayed++
	o.delayed = true
	f.execute(m, o)
}

// execute executes an order unless its fence is lower than one seen before or the machine
// is busy, and returns the reason of a rejection. An order that undoes a newer one is a
// violation.
func (f *Fleet) execute(m *Machine, o machineOrder) string {
	if o.fence < m.fence {
		return reasonFenced
	}
	m.fence = o.fence
	if o.isDone(m) {
		return ""
	}
	if m.State != "up" || m.leaving {
		return reasonBusy
	}
	if o.number < m.newestOrder {
		f.Checker.recordUndoneOrder(m.Name, o.fence)
	}
	m.newestOrder = max(m.newestOrder, o.number)
	m.worker.checkDisruptions(o.delayed)
	f.stopWorker(m)
	o.apply(m)
	return ""
}

func (f *Fleet) move(m *Machine, pool string) {
	f.moves++
	m.Pool, m.State = pool, "moving"
	time.AfterFunc(f.Downtime, func() { f.endDowntime(m, 0) })
}

func (f *Fleet) maintain(m *Machine, wave int64) {
	m.maintainedBy, m.State = wave, "upkeep"
	f.downByWave[wave]++
	f.maxDownByWave[wave] = max(f.maxDownByWave[wave], f.downByWave[wave])
	time.AfterFunc(f.Downtime, func() { f.endDowntime(m, wave) })
}

// recordUndoneOrder records that an order was executed after a newer one to its machine.
func (c *Checker) recordUndoneOrder(machine string, fence int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf("an order with fence %d to %s undid a newer one", fence, machine))
}
