package fleet

import (
	"maps"
	"slices"
	"time"
)

// Crash ends the worker of a machine that runs something; it boots again after
// the time given.
func (f *Fleet) Crash(downFor time.Duration) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.busyMachine(); m != nil {
		return f.crash(m, downFor)
	}
	return ""
}

// busyMachine returns a machine whose worker runs something, or nil.
func (f *Fleet) busyMachine() *Machine {
	for _, m := range f.machines {
		if m.worker != nil && !m.leaving && m.State == "up" && m.worker.busy() {
			return m
		}
	}
	return nil
}

// crash ends the machine's worker, and returns its id.
func (f *Fleet) crash(m *Machine, downFor time.Duration) string {
	id := m.ID
	f.Checker.recordCrash(m.worker.runningTasks())
	m.worker.end()
	m.State = "down"
	time.AfterFunc(downFor, func() { f.reboot(m, id) })
	return id
}

// crashDowntime is how long a machine is down whose worker a task has crashed.
const crashDowntime = 2 * time.Second

// crashWorker ends a life by what runs there, unless it has ended since.
func (f *Fleet) crashWorker(m *Machine, w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.worker == w && m.State == "up" {
		f.crash(m, crashDowntime)
	}
}

// runningTasks returns the tasks that run on a worker which is about to crash.
func (w *worker) runningTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.runs))
}
