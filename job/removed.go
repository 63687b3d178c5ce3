package job

// A host that was removed for good answers nothing and runs no later life, and its
// row, which would tell of an ended life, is gone from the list of machines. That the
// list lacks it is all that tells it from a host that is cut off and runs on.

// removedAfter is how many lists of machines in a row lack a host that was removed.
// A list is read in pages that are no snapshot: one may lack a host that is there.
const removedAfter = 2

// countMissing notes which hosts the list lacks, and forgets those that were removed.
// A list without any host says nothing.
func (e MachinesListed) countMissing(c *Core) {
	if len(e.Machines) == 0 {
		return
	}
	there := make(map[string]bool, len(e.Machines))
	for _, m := range e.Machines {
		there[m.Name] = true
	}
	for n, m := range c.byName {
		c.countMachine(m, there[n])
	}
	for _, w := range c.workers {
		if w.knownBy(e.SentAt) {
			c.countWorker(w, there[w.Host])
		}
	}
}

func (c *Core) countMachine(m *machine, there bool) {
	if there {
		m.missed = 0
		return
	}
	m.missed++
	if m.missed < removedAfter {
		c.listAt = earliest(c.listAt, c.now.Add(listEvery))
		return
	}
	c.do(Note{What: "machine removed", Inputs: []any{"machine", m.Name, "pool", m.Pool, "state", m.State, "ordered", m.order != nil}})
	delete(c.byName, m.Name)
}

func (c *Core) countWorker(w *worker, there bool) {
	if there || w.Host == "" {
		w.missed = 0
		return
	}
	w.missed++
	if c.removed(w) {
		c.loseRemoved(w)
	}
}

// removed reports whether the worker's host was removed for good: it does not answer,
// the store has no record of it, and no list of late names its host.
func (c *Core) removed(w *worker) bool {
	return w.silent > 0 && !w.listed && w.missed >= removedAfter
}

// loseRemoved forgets a worker with its host. All that ran there is over.
func (c *Core) loseRemoved(w *worker) {
	c.lose(w, "its host was removed: it has no record, and the list of machines does not name it")
}
