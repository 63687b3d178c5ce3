package job

import (
	"time"

	"amberway/platform"
)

// A worker that its owner takes for ended, or that leaves the roster as its machine has an order, may come back
// under its name. A poll to its earlier incarnation may then still be carried out, and extend the lease: also if it was
// answered, as the client repeats a poll whose connection is silent. The roster therefore names such a worker for as
// long as that is possible: the next owner would take it for a new one.

// latePollUntil returns the time until which a poll of this owner or an earlier one that extends the worker's lease
// may be carried out.
func (c *Core) latePollUntil(w *worker) time.Time {
	until := w.latePollUntil
	if w.inherited {
		until = latest(until, c.earlierLeasesUntil)
	}
	return until
}

// departedEntries adds the entries of workers that have left the roster to those of the changed shards, in any order.
func (c *Core) departedEntries(changed [rosterShards]bool, entries *[rosterShards][]RosterEntry) {
	add := func(id platform.WorkerID, until time.Time) {
		if shard := rosterShard(id); changed[shard] && id.Incarnation() != 0 && c.now.Before(until) {
			entries[shard] = append(entries[shard], RosterEntry{ID: id, Departed: true})
		}
	}
	for w := range c.workersByAge.All() {
		if !c.belongsInRoster(w) {
			add(w.ID, c.latePollUntil(w))
		}
	}
	for _, e := range c.ended {
		if c.workers[e.id] == nil {
			add(e.id, e.latePollUntil)
		}
	}
	for id, r := range c.replaced {
		if by := c.workers[r.by]; by != nil && (!by.inRoster || by.offRoster) {
			add(id, r.latePollUntil)
		}
	}
}

// forgetDeparted has the next write leave out the workers to which no poll can be carried out any more.
func (c *Core) forgetDeparted() {
	for n, e := range c.ended {
		if !e.latePollUntil.IsZero() && c.now.After(e.latePollUntil) {
			e.latePollUntil = time.Time{}
			c.ended[n] = e
			c.roster.shards[rosterShard(e.id)] = true
		}
	}
}

// markUnknownDeparture marks a worker as restarted if the roster may have named an earlier incarnation of it in a part
// that could not be read.
func (c *Core) markUnknownDeparture(w *worker) {
	if w.ID.Incarnation() != 0 && c.now.Before(c.departuresUnknownUntil) {
		c.markRestarted(w, 0)
	}
}

// inheritDeparted notes that a worker has left an earlier owner's roster. Whatever comes up under its name, or has come
// up, counts as restarted: more incarnations of it may have left.
func (c *Core) inheritDeparted(id platform.WorkerID) {
	if w := c.current[id.Name()]; w != nil {
		c.markRestarted(w, 0)
		w.latePollUntil = latest(w.latePollUntil, c.earlierLeasesUntil)
	}
	c.ended[id.Name()] = endedIncarnation{id: id, at: c.now, latePollUntil: c.earlierLeasesUntil}
}
