package job

import "time"

// A host that was removed for good answers nothing and starts no other worker. Its row, which
// would show the end of its worker, is no longer in the machine list. Only that absence
// distinguishes it from a partitioned host, which goes on working.

// removedAfterLists is how many machine lists in a row have to lack a host that was removed. A
// list is read in pages that are no consistent snapshot, so that one may lack a host that
// exists.
const removedAfterLists = 2

// countMissing notes which hosts the list lacks, and removes those that are gone. A list without
// any host proves nothing.
func (e MachineList) countMissing(c *Core) {
	if len(e.Machines) == 0 {
		return
	}
	listed := make(map[string]bool, len(e.Machines))
	for _, m := range e.Machines {
		listed[m.Name] = true
	}
	for m := range c.machinesByAge.All() {
		c.countMachine(m, listed[m.Name])
	}
	for w := range c.workersByAge.All() {
		c.countWorker(w, listed[w.Host], e.SentAt)
	}
	for _, v := range c.waves {
		if !e.SentAt.Before(v.knownSince) {
			v.listsRead++
		}
	}
}

func (c *Core) countMachine(m *machine, listed bool) {
	if listed {
		m.missedLists = 0
		return
	}
	m.missedLists++
	if m.missedLists < removedAfterLists {
		c.relistSoon()
		return
	}
	c.emit(LogLine{What: "machine removed", Fields: []any{"machine", m.Name, "pool", m.Pool, "state", m.State, "ordered", m.order != nil}})
	// If the lists were wrong, the machine's worker accepts starts again.
	c.clearOrder(m)
	delete(c.machinesByName, m.Name)
	c.balance.machinesByPool = nil
	c.machinesByAge.Remove(m)
}

func (c *Core) countWorker(w *worker, listed bool, listSentAt time.Time) {
	switch {
	case listed || w.Host == "":
		w.missedLists = 0
	case w.heardFromSince(listSentAt):
		// Its answer is newer than the list.
	default:
		w.missedLists++
		c.loseRemoved(w)
	}
}

// loseRemoved removes a worker whose host was removed, with all of its runs. It reports
// whether it did so.
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
	c.holdEnds(w)
	c.removeWorker(w, "its host was removed: it has no record and is not in the machine list")
	return true
}

// relistSoon has the machine list read again earlier than usual, as only another list settles
// whether a host was removed or an order was carried out.
func (c *Core) relistSoon() {
	c.listAt = earliest(c.listAt, c.now.Add(max(listEvery, c.listGap())))
}
