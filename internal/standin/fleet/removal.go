package fleet

import (
	"errors"
	"fmt"
	"time"
)

// Removal describes how a machine is removed for good.
type Removal struct {
	// Drain is how long the worker's record says that it is draining before the
	// machine goes; if zero, it never says so.
	Drain time.Duration
	// Hangs makes connections to its address hang, including open ones, as if the
	// machine had lost power; otherwise they are refused or closed.
	Hangs bool
}

// errNoWorker reports that no worker has the id, or that it is already leaving.
var errNoWorker = errors.New("no such worker, or it is leaving")

// Remove removes the machine of a worker for good, once it has drained: its record is
// deleted, it is listed no more, and nothing answers at its address. It returns after
// that.
func (f *Fleet) Remove(id string, r Removal) error {
	m, err := f.beginRemoval(id, r)
	if err != nil {
		return err
	}
	time.Sleep(r.Drain)
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.worker != nil {
		f.Store.Remove("servers/" + m.WorkerID)
		m.worker.decommission(r.Hangs)
		f.removed = append(f.removed, m.worker)
		m.worker = nil
	}
	f.unlist(m)
	return nil
}

func (f *Fleet) beginRemoval(id string, r Removal) (*Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.worker == nil || m.WorkerID != id || m.leaving || m.State != "up" {
			continue
		}
		m.leaving = true
		m.worker.setLeaving()
		if r.Drain > 0 {
			return m, f.Store.Put("servers/"+m.WorkerID, m.worker.record(true))
		}
		return m, nil
	}
	return nil, fmt.Errorf("%w: %s", errNoWorker, id)
}

func (f *Fleet) unlist(m *Machine) {
	for i, o := range f.machines {
		if o == m {
			f.machines = append(f.machines[:i:i], f.machines[i+1:]...)
			return
		}
	}
}

// MostLasting returns the id and the pool of the worker with the most lasting tasks,
// among those that are not leaving; both are empty if no lasting task runs.
func (f *Fleet) MostLasting() (id, pool string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, m := range f.machines {
		if m.worker == nil || m.leaving || m.State != "up" {
			continue
		}
		if n := m.worker.lastingRuns(); n > most {
			id, pool, most = m.WorkerID, m.Pool, n
		}
	}
	return id, pool
}

// HasRoom reports whether a worker of the pool answers, is not leaving and has at most
// maxRuns runs, of which lastingPerRun lasting ones count as one, or whether there is a
// spare machine.
func (f *Fleet) HasRoom(pool string, maxRuns int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.State != "up" || m.leaving {
			continue
		}
		if m.Pool == f.Spare || m.Pool == pool && m.worker.hasRoom(maxRuns) {
			return true
		}
	}
	return false
}

func (w *worker) lastingRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, r := range w.runs {
		if r.lasting {
			n++
		}
	}
	return n
}

func (w *worker) hasRoom(maxRuns int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	used := 0
	for _, r := range w.runs {
		if r.lasting {
			used++
		} else {
			used += lastingPerRun
		}
	}
	return !w.silent && used <= maxRuns*lastingPerRun
}

// lastingPerRun is how many lasting tasks take the room of one other task.
const lastingPerRun = 3

// decommission ends the worker for good. If hangs, its connections hang from then on.
func (w *worker) decommission(hangs bool) {
	if !hangs {
		w.end()
		return
	}
	w.setSilent(true)
	w.endRuns()
	w.listener.hang()
}

// SilenceConnections silences all open connections of the workers for good: answers are
// lost from now on, and requests as well unless oneWay. New connections work.
func (f *Fleet) SilenceConnections(oneWay bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.worker != nil {
			m.worker.listener.silence(oneWay)
		}
	}
}
