package job

import "time"

// A host that was removed for good answers nothing and runs no later life, and its
// row, which would tell of an ended life, is gone from the list of machines. That the
// list lacks it is all that tells it from a host that is cut off and runs on.

// removedAfterLists is how many lists of machines in a row lack a host that was removed.
// A list is read in pages that are no snapshot: one may lack a host that is there.
const removedAfterLists = 2

// countMissing notes which hosts the list lacks, and forgets those that were removed.
// A list without any host says nothing.
func (e MachineList) countMissing(c *Core) {
	if len(e.Machines) == 0 {
		return
	}
	there := make(map[string]bool, len(e.Machines))
	for _, m := range e.Machines {
		there[m.Name] = true
	}
	for n, m := range c.machinesByName {
		c.countMachine(m, there[n])
	}
	for _, w := range c.workers {
		c.countWorker(w, there[w.Host], e.SentAt)
	}
	for _, v := range c.waves {
		if !e.SentAt.Before(v.knownSince) {
			v.listsRead++
		}
	}
}

func (c *Core) countMachine(m *machine, there bool) {
	if there {
		m.missedLists = 0
		return
	}
	m.missedLists++
	if m.missedLists < removedAfterLists {
		c.relistSoon()
		return
	}
	c.emit(LogLine{What: "machine removed", Fields: []any{"machine", m.Name, "pool", m.Pool, "state", m.State, "ordered", m.order != nil}})
	// Should the list have been wrong twice, its worker takes starts again.
	c.clearOrder(m)
	delete(c.machinesByName, m.Name)
}

func (c *Core) countWorker(w *worker, there bool, listSentAt time.Time) {
	switch {
	case there || w.Host == "":
		w.missedLists = 0
	case w.heardOfSince(listSentAt):
		// What it said is later than what the list says.
	default:
		w.missedLists++
		c.loseRemoved(w)
	}
}

// loseRemoved forgets a worker whose host was removed, with all that ran there. It
// reports whether it did.
func (c *Core) loseRemoved(w *worker) bool {
	if w.missedPolls == 0 || w.listed {
		return false
	}
	if w.missedLists < removedAfterLists {
		c.relistSoon()
		return false
	}
	if !c.recordGone(w) {
		return false
	}
	c.removeWorker(w, "its host was removed: it has no record, and the list of machines does not name it")
	return true
}

// relistSoon has the list of machines read again before its time, as another list
// settles what one or an order leaves open.
func (c *Core) relistSoon() {
	c.listAt = earliest(c.listAt, c.now.Add(max(listEvery, c.listGap())))
}
