package fleet

import "time"

// Restart says how a worker crashes and starts again under its id.
type Restart struct {
	// DownFor is how long it is down, RecordAfter when it writes its record after its
	// start: that of before stands until then.
	DownFor, RecordAfter time.Duration
	// ClockOff is by how much its machine's clock is off at its next start.
	ClockOff time.Duration
	// Moves has it listen at another address.
	Moves bool
	// Times is how often it starts; a start after the first follows at once.
	Times int
}

// Restart has a worker that runs something crash and start again under its id. It
// returns the id, or "" where nothing runs anywhere.
func (f *Fleet) Restart(a Restart) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.busyMachine()
	if m == nil {
		return ""
	}
	f.crashForRestart(m, a)
	return m.ID
}

func (f *Fleet) crashForRestart(m *Machine, a Restart) {
	w := m.worker
	f.Checker.recordCrash(w.runningTasks())
	w.end()
	time.AfterFunc(a.DownFor, func() { f.restart(m, w, a) })
}

// restart starts the worker anew, unless its machine has had an order or was taken away.
func (f *Fleet) restart(m *Machine, before *worker, a Restart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.worker != before || m.leaving || m.State != "up" {
		return
	}
	address := before.address()
	if a.Moves {
		address = anyAddress
	}
	if f.startWorker(m, address, a.ClockOff) != nil && f.startWorker(m, anyAddress, a.ClockOff) != nil {
		return
	}
	if a.Times--; a.Times > 0 {
		a.ClockOff = -a.ClockOff
		f.crashForRestart(m, a)
		return
	}
	w := m.worker
	time.AfterFunc(a.RecordAfter, func() { f.writeRecord(m, w) })
}

// writeRecord writes the worker's record if it still runs.
func (f *Fleet) writeRecord(m *Machine, w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.worker == w && !m.leaving && m.State == "up" {
		_ = f.Store.Put("servers/"+m.ID, w.record(false))
	}
}
