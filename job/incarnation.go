package job

import (
	"time"

	"amberway/platform"
)

// A worker may start again under the name that it had: it runs nothing of before, knows
// no fence, and numbers its ends anew. Each incarnation is a worker of its own here, and
// three things tell that one has taken the place of another:
//
//   - The store's record of the name names another. The store orders the records of one
//     name, so that the one of the earlier incarnation is replaced by the one of the later.
//   - An answer to a look names another than the one that was asked. What answers a
//     question is later than what was known when it was asked.
//   - A record comes late, after an answer has told of the later incarnation: it is
//     remembered as replaced, and its record is left aside.
//
// The time of a start is compared for equality only, as machines' clocks jump.

// replacedFor is how long an incarnation is remembered as replaced: longer than a record
// of it may come late by a watch that was held up, or an answer to an order to it.
const replacedFor = time.Minute

// replacement is what has taken the place of an incarnation.
type replacement struct {
	by platform.WorkerID
	at time.Time
}

// incarnations is what the owner knows of which incarnation of a worker is the one that runs.
type incarnations struct {
	// current is the incarnation of each name that was last known to run.
	current map[platform.WorkerName]*worker
	// replaced are incarnations that another has taken the place of.
	replaced map[platform.WorkerID]replacement
}

func newIncarnations() incarnations {
	return incarnations{
		current:  map[platform.WorkerName]*worker{},
		replaced: map[platform.WorkerID]replacement{},
	}
}

// differ reports whether two incarnations of one name are known to be two. One that is not
// told is not taken for another by guess.
func differ(a, b platform.Incarnation) bool {
	return a != b && a != 0 && b != 0
}

// resolveID returns the id under which the worker of a record, or of the roster, is kept: one
// that does not tell its incarnation is the current one of its name.
func (i *incarnations) resolveID(id platform.WorkerID) platform.WorkerID {
	if o := i.current[id.Name()]; o != nil && !differ(o.ID.Incarnation(), id.Incarnation()) {
		return o.ID
	}
	return id
}

// incarnationsOn returns the workers of a name that are known on a machine.
func (c *Core) incarnationsOn(host string, n platform.WorkerName) []*worker {
	var l []*worker
	for _, w := range c.workersByHost[host] {
		if w.ID.Name() == n {
			l = append(l, w)
		}
	}
	return l
}

// dropIncarnation forgets a worker that has ended. Another of its name, of which only a
// record has told, is the one that may run then.
func (c *Core) dropIncarnation(w *worker) {
	n := w.ID.Name()
	if c.current[n] != w {
		return
	}
	delete(c.current, n)
	if l := c.incarnationsOn(w.Host, n); len(l) > 0 {
		c.current[n] = l[0]
	}
}

// successor returns the worker that now has what an order to the worker concerns, or nil.
func (c *Core) successor(id platform.WorkerID) *worker {
	for range len(c.replaced) + 1 {
		if w := c.workers[id]; w != nil {
			return w
		}
		r, again := c.replaced[id]
		if !again {
			return nil
		}
		id = r.by
	}
	return nil
}

// wasReplaced reports whether the record is of an incarnation whose place another has
// taken, and says so.
func (c *Core) wasReplaced(v platform.Worker) bool {
	r, again := c.replaced[v.ID]
	if again {
		c.emit(LogLine{What: "worker's record left aside", Worker: v.ID, Why: "it has started again", Fields: []any{"now", int64(r.by.Incarnation())}})
	}
	return again
}

// noteInvalidStart tells that a worker's start is not understood. The worker is known by its name,
// as where it says nothing of its start.
func (c *Core) noteInvalidStart(id platform.WorkerID, doubt string) {
	if doubt != "" {
		c.emit(LogLine{What: "worker's start not understood", Worker: id, Why: doubt})
	}
}

// replaceWorker has a worker take the place of an earlier incarnation. What the earlier one
// is known to have run is over. Starts that it may not have carried out may still be
// carried out by the later one, which is asked before their tasks start elsewhere.
func (c *Core) replaceWorker(w, by *worker, why string) {
	held := 0
	for _, r := range w.runs {
		if !r.listed {
			held++
		}
	}
	c.emit(LogLine{What: "worker started again", Worker: by.ID, Why: why, Fields: []any{
		"before", int64(w.ID.Incarnation()), "host", w.Host, "given_up", len(w.runs) - held, "to_settle", held,
	}})
	c.replaced[w.ID] = replacement{by: by.ID, at: c.now}
	delete(c.replaced, by.ID)
	by.restarted = true
	by.inherited = by.inherited || w.inherited && (!w.contacted || c.now.Before(c.earlierOrdersUntil))
	c.current[by.ID.Name()] = by
	c.endWorker(w, "it has started again", by)
}

// answeredBy returns the worker that has answered a question to w, which is another where
// it has started again meanwhile. It reports false where the answer says nothing: it is of
// an incarnation that was replaced.
func (c *Core) answeredBy(w *worker, o platform.Origin) (*worker, bool) {
	if !differ(w.ID.Incarnation(), o.Incarnation) {
		return w, true
	}
	id := platform.NewWorkerID(w.ID.Name(), o.Incarnation)
	if _, old := c.replaced[id]; old {
		return w, false
	}
	by := c.workers[id]
	if by == nil {
		v := w.Worker
		v.ID = id
		by = newWorker(v, c.now)
		c.addWorker(by)
		c.markRosterDirty(by)
	}
	c.replaceWorker(w, by, "an answer tells of a later start")
	return by, true
}

// checkAnswerer reports whether an answer is of the worker that was asked. Another one is
// looked at by itself: it has read nothing that was meant for it.
func (c *Core) checkAnswerer(w *worker, o platform.Origin) bool {
	if o.Invalid != "" && !w.invalidStartLogged {
		w.invalidStartLogged = true
		c.noteInvalidStart(w.ID, o.Invalid)
	}
	by, ok := c.answeredBy(w, o)
	switch {
	case !ok:
		w.nextPollAt = c.now.Add(pollRetry)
	case by != w:
		c.reconcileWorker(by)
		c.replan(by.Service)
	}
	return ok && by == w
}

// reassign moves a run, whose start may not have been carried out, to the incarnation that may
// still do so. The first look there that is sent from now on shows it, or a stop settles it.
func (r *run) reassign(to *worker, now time.Time) {
	r.detach()
	r.at = to
	r.stopPending, r.stopConfirmed, r.absent = false, false, false
	r.knownAt = now
	r.attach()
}

// forgetReplaced forgets incarnations that were replaced long ago.
func (c *Core) forgetReplaced() {
	for id, r := range c.replaced {
		if c.now.Sub(r.at) > replacedFor {
			delete(c.replaced, id)
		}
	}
}
