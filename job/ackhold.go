package job

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"amberway/platform"
)

// When the lease of a silent worker expires, the tasks of its runs start elsewhere. A run may have
// succeeded before that, and its end may not be acknowledged then: its task would have run twice. An
// end does not count if the worker's lease has expired after it, but a worker on which nothing runs
// takes no note of that. So the end of another run that says that the lease has expired is the only
// proof. Until there is one, the ends of the worker are held: neither the doubtful one nor any later
// one is acknowledged, and the worker is tainted.

// ackHold says which ends of a worker may not be acknowledged.
type ackHold struct {
	// from is the number of the first end that is held; zero if there is none.
	from int64
	// confirmed reports whether the worker has listed an end that has to be held. Before that, it
	// is only possible that there is one.
	confirmed bool
}

// heldEndsFor is how long the held ends of a worker are remembered that was removed while it was
// silent. Partitions of an hour are to be expected.
const heldEndsFor = 2 * time.Hour

// HeldEnds says from which number on the ends of a worker are held.
type HeldEnds struct {
	ID   platform.WorkerID `json:"i"`
	From int64             `json:"f"`
}

// heldShard returns the number of the shard of held ends that holds a worker.
func heldShard(id platform.WorkerID) int {
	return int(xxhash.Sum64String(string(id)) % heldShards)
}

func heldShardKey(shard int) string {
	return fmt.Sprintf("%s%02d", heldPrefix, shard)
}

// tainted reports whether the worker has listed an end that has to be held.
func (w *worker) tainted() bool {
	return w.hold.confirmed
}

// lastAckable returns the number of the last end that the worker may forget.
func (w *worker) lastAckable() int64 {
	if w.hold.from > 0 {
		return min(w.lastEndStored, w.hold.from-1)
	}
	return w.lastEndStored
}

// mayHaveUnknownEnds reports whether runs may have ended on the worker that it has not listed.
func (w *worker) mayHaveUnknownEnds() bool {
	return len(w.runs) > 0 || w.moreEnds || w.inherited && !w.contacted
}

// holdEnds holds the ends that the worker has not listed yet, as tasks of its runs may be started
// elsewhere from now on.
func (c *Core) holdEnds(w *worker) {
	if w.hold.from == 0 && w.mayHaveUnknownEnds() {
		w.hold.from = w.lastEndSeen + 1
		c.markHeldDirty(w.ID)
	}
}

// taint holds an end and all later ones.
func (c *Core) taint(w *worker, e platform.EndedRow) {
	if w.tainted() {
		return
	}
	w.hold = ackHold{from: e.Number, confirmed: true}
	c.markHeldDirty(w.ID)
	c.emit(LogLine{What: "worker tainted", Worker: w.ID, Task: e.Task, Run: e.Run, Why: "a run has succeeded whose task may have been started elsewhere", Fields: []any{"number", e.Number}})
}

// noteExpiry notes that the worker's lease had expired by the end with the number: those up to it need
// not be held any more. Later ones may have to be.
func (c *Core) noteExpiry(w *worker, number int64) {
	if w.hold.from == 0 || number < w.hold.from {
		return
	}
	if w.tainted() {
		c.emit(LogLine{What: "worker cleared", Worker: w.ID, Why: "its lease has expired since", Fields: []any{"held", number - w.hold.from + 1}})
	}
	w.hold = ackHold{from: number + 1}
	c.markHeldDirty(w.ID)
}

// settleHold ends a hold if the worker has listed all ends and none of them has to be held.
func (c *Core) settleHold(w *worker) {
	switch {
	case w.hold.from == 0 || w.tainted():
	case w.moreEnds:
		w.hold.from = max(w.hold.from, w.lastEndSeen+1)
	default:
		w.hold = ackHold{}
		c.markHeldDirty(w.ID)
		c.replan(w.Service)
	}
}

// startedElsewhere reports whether the task of a successful run that the owner does not know may
// have been started elsewhere. The task is nil if its job or instance is over.
func (w *worker) startedElsewhere(e platform.EndedRow, t *task) bool {
	if w.abandoned[rawRunID{task: e.Task, number: e.Run}] || w.hold.from > 0 && e.Number >= w.hold.from {
		return true
	}
	return t != nil && !t.step.Lasting && !t.step.Speculative && slices.ContainsFunc(t.runs, func(r *run) bool { return r.number > e.Run })
}

// markHeldDirty has the worker's shard of held ends written.
func (c *Core) markHeldDirty(id platform.WorkerID) {
	c.roster.held[heldShard(id)] = true
	c.writeSoon()
}

// addHeld adds the changed shards of held ends to the write, with those of workers that were removed
// while they were silent: they may still be running.
func (c *Core) addHeld(k *storeWrite) {
	if k.changes.held == [heldShards]bool{} {
		return
	}
	var held [heldShards][]HeldEnds
	add := func(id platform.WorkerID, from int64) {
		if shard := heldShard(id); from > 0 && k.changes.held[shard] {
			held[shard] = append(held[shard], HeldEnds{ID: id, From: from})
		}
	}
	for w := range c.workersByAge.All() {
		add(w.ID, w.hold.from)
	}
	for _, e := range sorted(c.ended) {
		if c.workers[e.id] == nil {
			add(e.id, e.heldFrom)
		}
	}
	for shard, changed := range k.changes.held {
		if changed {
			c.addJSON(k, heldShardKey(shard), held[shard])
		}
	}
}

// inheritHeld holds the ends that an earlier owner has held.
func (c *Core) inheritHeld(l []HeldEnds) {
	for _, h := range l {
		id := c.resolveID(h.ID)
		if w := c.workers[id]; w != nil {
			w.hold.from = h.From
			continue
		}
		e := endedIncarnation{id: id, at: c.now, heldFrom: h.From}
		if o := c.ended[id.Name()]; o.id == id {
			e.latePollUntil = o.latePollUntil
		}
		c.ended[id.Name()] = e
	}
}
