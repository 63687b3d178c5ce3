package fleet

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Answers to an order that is not carried out.
const (
	reasonFence = "fence"
	reasonBusy  = "busy"
)

// hostOrders are the orders to machines.
type hostOrders struct {
	// late returns how late an order is carried out, or zero where it is at once.
	late func() time.Duration
	// arrived counts them, postponed those that were carried out late.
	arrived, postponed int
}

// hostOrder is one order to a machine.
type hostOrder struct {
	fence int64
	// number is its place among all that arrived.
	number int
	// done reports whether nothing is left to do, do carries it out on a halted machine.
	done func(*Machine) bool
	do   func(*Machine)
	// held says that it is carried out late.
	held bool
}

// PostponeOrders leaves orders to machines without an answer for which late returns a
// time, and carries them out after it. It is not called twice at once.
func (f *Fleet) PostponeOrders(late func() time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = late
}

// PostponedOrders returns how many orders have been carried out late, or refused then.
func (f *Fleet) PostponedOrders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.postponed
}

func (f *Fleet) serveMove(w http.ResponseWriter, r *http.Request) {
	var q struct{ Machine, Pool string }
	if !decode(w, r, &q) {
		return
	}
	f.serveOrder(w, r, q.Machine, hostOrder{
		done: func(m *Machine) bool { return m.Pool == q.Pool },
		do:   func(m *Machine) { f.move(m, q.Pool) },
	})
}

func (f *Fleet) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Machine string
		Wave    int64
	}
	if !decode(w, r, &q) {
		return
	}
	f.serveOrder(w, r, q.Machine, hostOrder{
		done: func(m *Machine) bool { return m.wave == q.Wave },
		do:   func(m *Machine) { f.maintain(m, q.Wave) },
	})
}

// serveOrder carries an order out, at once or late and without an answer.
func (f *Fleet) serveOrder(w http.ResponseWriter, r *http.Request, machine string, o hostOrder) {
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
	f.arrived++
	o.number = f.arrived
	if d := f.lateness(); d > 0 {
		time.AfterFunc(d, func() { f.carryOutLate(m, o) })
		panic(http.ErrAbortHandler)
	}
	if reason := f.carryOut(m, o); reason != "" {
		answer(w, http.StatusConflict, map[string]string{"reason": reason})
		return
	}
	answer(w, http.StatusOK, map[string]string{})
}

func (f *Fleet) lateness() time.Duration {
	if f.late == nil {
		return 0
	}
	return f.late()
}

func (f *Fleet) carryOutLate(m *Machine, o hostOrder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.postponed++
	o.held = true
	f.carryOut(m, o)
}

// carryOut carries an order out unless its fence is lower than one seen, and returns why
// not. An order that undoes a newer one breaks a promise.
func (f *Fleet) carryOut(m *Machine, o hostOrder) string {
	if o.fence < m.fence {
		return reasonFence
	}
	m.fence = o.fence
	if o.done(m) {
		return ""
	}
	if m.State != "up" || m.leaving {
		return reasonBusy
	}
	if o.number < m.newest {
		f.Books.undone(m.Name, o.fence)
	}
	m.newest = max(m.newest, o.number)
	m.worker.endByOrder(o.held)
	f.halt(m)
	o.do(m)
	return ""
}

func (f *Fleet) move(m *Machine, pool string) {
	f.moves++
	m.Pool, m.State = pool, "moving"
	time.AfterFunc(f.DownFor, func() { f.up(m, 0) })
}

func (f *Fleet) maintain(m *Machine, wave int64) {
	m.wave, m.State = wave, "upkeep"
	f.down[wave]++
	f.mostDown[wave] = max(f.mostDown[wave], f.down[wave])
	time.AfterFunc(f.DownFor, func() { f.up(m, wave) })
}

// undone notes that an order was carried out after a newer one to its machine.
func (b *Books) undone(machine string, fence int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, fmt.Sprintf("an order of fence %d to %s undid a newer one", fence, machine))
}
