package fleet

import (
	"maps"
	"slices"
	"time"
)

// Crash crashes a worker that runs a task; its machine boots again after downFor. It
// returns the worker's id, or "" if no worker runs a task.
func (f *Fleet) Crash(downFor time.Duration) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.busyMachine(); m != nil {
		return f.crash(m, downFor)
	}
	return ""
}

// busyMachine returns a machine whose worker runs a task, or nil.
func (f *Fleet) busyMachine() *Machine {
	for _, m := range f.machines {
		if m.worker != nil && !m.leaving && m.State == "up" && m.worker.busy() {
			return m
		}
	}
	return nil
}

// crash crashes the machine's worker, and returns the worker's id.
func (f *Fleet) crash(m *Machine, downFor time.Duration) string {
	id := m.WorkerID
	f.Checker.recordCrash(m.worker.runningTasks())
	m.worker.end()
	m.State = "down"
	time.AfterFunc(downFor, func() { f.reboot(m, id) })
	return id
}

// crashDowntime is how long a machine is down after a task has crashed its worker.
const crashDowntime = 2 * time.Second

// crashWorker crashes a worker because of one of its tasks, unless it has ended since.
func (f *Fleet) crashWorker(m *Machine, w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.worker == w && m.State == "up" {
		f.crash(m, crashDowntime)
	}
}

func (w *worker) runningTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.runs))
}
