package fleet

import "time"

// Restart describes how a worker crashes and restarts under its id.
type Restart struct {
	// DownFor is how long the worker is down. RecordAfter is how long after its start it
	// writes its record; that of its last incarnation stays until then.
	DownFor, RecordAfter time.Duration
	// ClockOff is how far its machine's clock is off at its next start.
	ClockOff time.Duration
	// Moves makes it listen at another address.
	Moves bool
	// Times is how often it restarts. After each start but the last it crashes again at
	// once, and its clock is then off the other way.
	Times int
}

// Restart makes a worker that runs a task crash and restart under its id. It returns
// the id, or "" if no worker runs a task.
func (f *Fleet) Restart(r Restart) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.busyMachine()
	if m == nil {
		return ""
	}
	f.crashForRestart(m, r)
	return m.WorkerID
}

func (f *Fleet) crashForRestart(m *Machine, r Restart) {
	w := m.worker
	f.Checker.recordCrash(w.runningTasks())
	w.end()
	time.AfterFunc(r.DownFor, func() { f.restart(m, w, r) })
}

// restart starts the next incarnation of the worker, unless its machine has executed an
// order since or is being removed.
func (f *Fleet) restart(m *Machine, old *worker, r Restart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.worker != old || m.leaving || m.State != "up" {
		return
	}
	address := old.address()
	if r.Moves {
		address = anyAddress
	}
	if f.startWorker(m, address, r.ClockOff) != nil && f.startWorker(m, anyAddress, r.ClockOff) != nil {
		return
	}
	if r.Times--; r.Times > 0 {
		r.ClockOff = -r.ClockOff
		f.crashForRestart(m, r)
		return
	}
	w := m.worker
	time.AfterFunc(r.RecordAfter, func() { f.writeRecord(m, w) })
}

// writeRecord writes the worker's record if the worker still runs.
func (f *Fleet) writeRecord(m *Machine, w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.worker == w && !m.leaving && m.State == "up" {
		_ = f.Store.Put("servers/"+m.WorkerID, w.record(false))
	}
}
