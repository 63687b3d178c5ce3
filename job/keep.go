package job

import (
	"slices"
	"time"

	"amberway/platform"
)

// Times of writing to the store.
const (
	// keepDelay gathers the ends of some tasks into one write.
	keepDelay = 60 * time.Millisecond
	// finalDelay gathers final states, for which callers wait.
	finalDelay = 15 * time.Millisecond
	// keepRetry is the pause after a write that failed.
	keepRetry = 200 * time.Millisecond
	// entriesOfJob is the most entries that a job takes in a write: its progress and,
	// once it is final, its record and the mark of its cancelling.
	entriesOfJob = 3
	// entriesOfKeeper is how many entries the keeper adds: two conditions and the
	// number of the write.
	entriesOfKeeper = 3
)

// keeping is what the owner has yet to write.
type keeping struct {
	changed []*job
	urgent  bool
	dueAt   time.Time
	wakeAt  time.Time
	number  int64
	pending *kept
	// extra are writes beside those of jobs.
	extraPuts    []platform.Put
	extraDeletes []string
	failing      bool
}

// kept is what the write under way holds.
type kept struct {
	states  map[*job]keptState
	seen    map[*worker]int64
	puts    []platform.Put
	deletes []string
	// changes are the parts of the roster in this write, rostered the workers that they
	// name, ordered the machines.
	changes  rosterChanges
	rostered []*worker
	ordered  []string
}

// keptState is what a write holds of a job.
type keptState struct {
	platform.State
	crashChanges int
}

func newKeeping() keeping {
	return keeping{}
}

// mark notes that a job has changed.
func (c *Core) mark(j *job) {
	if c.dueAt.IsZero() {
		c.dueAt = c.now.Add(keepDelay)
	}
	if j.state.Final() {
		c.dueAt = earliest(c.dueAt, c.now.Add(finalDelay))
	}
	if !j.dirty {
		j.dirty = true
		c.changed = append(c.changed, j)
	}
}

// forgetCancel removes the mark of a cancelled job that is final already.
func (c *Core) forgetCancel(id ID) {
	c.write(nil, []string{cancelKey(id)})
}

// write has the store written beside what is kept of jobs.
func (c *Core) write(p []platform.Put, deletes []string) {
	// Newer values of a key replace older ones that are still to be written.
	for _, v := range p {
		c.extraPuts = slices.DeleteFunc(c.extraPuts, func(o platform.Put) bool { return o.Key == v.Key })
		c.extraPuts = append(c.extraPuts, v)
	}
	c.extraDeletes = append(c.extraDeletes, deletes...)
	c.urgent = true
	if c.dueAt.IsZero() {
		c.dueAt = c.now
	}
}

// flush starts the next write if it is due and none is under way.
func (c *Core) flush() {
	if c.pending != nil || c.dueAt.IsZero() {
		return
	}
	if c.now.Before(c.dueAt) && (!c.urgent || c.failing) {
		c.wake(c.dueAt)
		return
	}
	k := &kept{states: map[*job]keptState{}, seen: map[*worker]int64{}}
	c.keepRosterNow(k)
	for len(c.changed) > 0 && k.room() >= entriesOfJob {
		c.changed[0].dirty = false
		c.keepJob(k, c.changed[0])
		c.changed = c.changed[1:]
	}
	c.keepExtra(k)
	if len(c.changed) == 0 && !c.roster.any() {
		c.urgent = false
		c.dueAt = time.Time{}
	}
	if len(c.changed) == 0 {
		// Only a write after which nothing is left to write covers all ends.
		for _, w := range c.workers {
			if w.seen > w.kept {
				k.seen[w] = w.seen
			}
		}
	}
	c.number++
	c.pending = k
	c.flow.take(k.bytes())
	c.do(Keep{Number: c.number, Puts: k.puts, Deletes: k.deletes})
}

// wake asks to be called at a time before the next tick.
func (c *Core) wake(at time.Time) {
	if !c.wakeAt.IsZero() && !at.Before(c.wakeAt) && c.now.Before(c.wakeAt) {
		return
	}
	c.wakeAt = at
	c.do(WakeAt{At: at})
}

func (c *Core) keepJob(k *kept, j *job) {
	b, err := encodeProgress(c.progress(j))
	if err != nil {
		c.do(Note{What: "progress not encoded", Job: j.id, Why: err.Error()})
		return
	}
	k.states[j] = keptState{State: j.state, crashChanges: j.crashChanges}
	k.puts = append(k.puts, platform.Put{Key: progressKey(j.id), Value: b})
	if j.state.Final() {
		k.deletes = append(k.deletes, newKey(j.id), cancelKey(j.id))
	}
}

// room returns how many entries the write has room for.
func (k *kept) room() int {
	return platform.MaxTxn - entriesOfKeeper - len(k.puts) - len(k.deletes)
}

// bytes returns what the write takes on its way; values travel as base64.
func (k *kept) bytes() int {
	n := keepBytes
	for _, p := range k.puts {
		n += len(p.Key) + len(p.Value)*4/3
	}
	return n
}

func (c *Core) keepExtra(k *kept) {
	n := min(k.room(), len(c.extraPuts))
	k.puts = append(k.puts, c.extraPuts[:n]...)
	c.extraPuts = c.extraPuts[n:]
	d := min(k.room(), len(c.extraDeletes))
	k.deletes = append(k.deletes, c.extraDeletes[:d]...)
	c.extraDeletes = c.extraDeletes[d:]
}

// apply notes that a write is done, or has it done again.
func (e Kept) apply(c *Core) {
	k := c.pending
	if k == nil || e.Number != c.number {
		return
	}
	c.pending = nil
	if e.Err != nil {
		c.keepAgain(k, e.Err)
		return
	}
	c.failing = false
	for _, w := range k.rostered {
		w.rostered = !w.retired
		c.replan(w.Service)
	}
	c.recorded(k.ordered, e.At)
	for j, s := range k.states {
		j.kept = s.State
		if j.crashChangesKept != s.crashChanges {
			j.crashChangesKept = s.crashChanges
			c.replan(j.queue.Service)
		}
	}
	for w, n := range k.seen {
		w.keep(n)
		c.tend(w)
	}
	if len(c.extraPuts)+len(c.extraDeletes)+len(c.changed) > 0 && c.dueAt.IsZero() {
		c.dueAt = c.now
	}
}

// apply notes that ends cannot be kept for now.
func (KeepSlow) apply(c *Core) {
	c.failing = true
}

// keepAgain has everything of a failed write written once more, from the state
// of then.
func (c *Core) keepAgain(k *kept, err error) {
	c.do(Note{What: "write failed", Why: err.Error(), Inputs: []any{"jobs", len(k.states)}})
	c.failing = true
	own := map[string]bool{}
	for j := range k.states {
		own[progressKey(j.id)], own[newKey(j.id)], own[cancelKey(j.id)] = true, true, true
		c.mark(j)
	}
	c.keepRosterAgain(k)
	for _, p := range k.puts {
		newer := slices.ContainsFunc(c.extraPuts, func(o platform.Put) bool { return o.Key == p.Key })
		if !own[p.Key] && !rosterOwns(p.Key) && !newer {
			c.extraPuts = append(c.extraPuts, p)
		}
	}
	for _, d := range k.deletes {
		if !own[d] {
			c.extraDeletes = append(c.extraDeletes, d)
		}
	}
	c.dueAt = c.now.Add(keepRetry)
	for _, w := range c.workers {
		c.tend(w)
	}
}
