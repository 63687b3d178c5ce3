package job

import (
	"maps"
	"time"

	"amberway/platform"
)

// A worker may restart under its name: it then runs nothing of what it ran before, knows no
// fence, and numbers its ends from one. The owner keeps each incarnation as a worker of its
// own. Three things show that one incarnation has replaced another:
//
//   - The store's record of the name changes to another incarnation. The store orders the
//     records of one name, so the later record is from the later incarnation.
//   - An answer to a poll comes from another incarnation than the one that was asked. An answer
//     is newer than what was known when its request was sent.
//   - A record arrives late, after an answer of a later incarnation: its incarnation is already
//     marked as replaced, and the record is ignored.
//
// Start times are compared for equality only, as the clocks of machines jump.

// replacedFor is how long an incarnation is remembered as replaced. It exceeds the delay of a
// record in a watch that was held up, and of an answer to an order.
const replacedFor = time.Minute

// whatConnectionShared is the What of the log line for answers of two incarnations on one connection.
const whatConnectionShared = "connection shared"

// replacement is the incarnation that replaced another one, and when.
type replacement struct {
	by platform.WorkerID
	at time.Time
	// latePollUntil is the time until which a poll to the replaced incarnation may be carried out.
	latePollUntil time.Time
}

// endedIncarnation is an incarnation that has ended, and when.
type endedIncarnation struct {
	id platform.WorkerID
	at time.Time
	// heldFrom is the number of its first held end, or zero.
	heldFrom int64
	// latePollUntil is the time until which a poll to it may be carried out by the next incarnation, and extend the
	// lease of that one.
	latePollUntil time.Time
}

// incarnations tracks which incarnation of each worker is running.
type incarnations struct {
	// current is the incarnation of each name that was last known to be running.
	current map[platform.WorkerName]*worker
	// replaced holds the incarnations that were replaced by others.
	replaced map[platform.WorkerID]replacement
	// ended holds the last incarnation of each name that has ended without a known successor.
	ended map[platform.WorkerName]endedIncarnation
}

func newIncarnations() incarnations {
	return incarnations{
		current:  map[platform.WorkerName]*worker{},
		replaced: map[platform.WorkerID]replacement{},
		ended:    map[platform.WorkerName]endedIncarnation{},
	}
}

// differ reports whether a and b are known to be different incarnations of one name. An unknown
// incarnation may be either.
func differ(a, b platform.Incarnation) bool {
	return a != b && a != 0 && b != 0
}

// resolveID returns the id under which the owner keeps the worker of a record or roster entry.
// An id without an incarnation stands for the current incarnation of its name.
func (i *incarnations) resolveID(id platform.WorkerID) platform.WorkerID {
	if o := i.current[id.Name()]; o != nil && !differ(o.ID.Incarnation(), id.Incarnation()) {
		return o.ID
	}
	return id
}

// incarnationsOn returns the known workers with the name on a host.
func (c *Core) incarnationsOn(host string, n platform.WorkerName) []*worker {
	var l []*worker
	for _, w := range c.workersByHost[host] {
		if w.ID.Name() == n {
			l = append(l, w)
		}
	}
	return l
}

// dropIncarnation removes a worker that has ended from the current incarnations. Another one of
// its name on its host, known by its record only, becomes the current one.
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

// successor returns the worker itself or the incarnation that replaced it, or nil. Orders to the
// worker, and their answers, concern that one.
func (c *Core) successor(id platform.WorkerID) *worker {
	for range len(c.replaced) + 1 {
		if w := c.workers[id]; w != nil {
			return w
		}
		r, ok := c.replaced[id]
		if !ok {
			return nil
		}
		id = r.by
	}
	return nil
}

// wasReplaced reports whether the record is of an incarnation that was replaced, and if so logs
// that it is ignored.
func (c *Core) wasReplaced(v platform.Worker) bool {
	r, ok := c.replaced[v.ID]
	if ok {
		c.emit(LogLine{What: "worker record ignored", Worker: v.ID, Why: "the worker has restarted", Fields: []any{"now", int64(r.by.Incarnation())}})
	}
	return ok
}

// logInvalidStart logs that a worker's start time is invalid, if a reason is given. The worker
// is then known by its name only, as if it had reported no start time.
func (c *Core) logInvalidStart(id platform.WorkerID, reason string) {
	if reason != "" {
		c.emit(LogLine{What: "worker start time invalid", Worker: id, Why: reason})
	}
}

// replaceWorker replaces an earlier incarnation by a later one. All runs that the earlier one is
// known to have carried out are over. Starts that it may not have carried out may still reach
// the later one, which is therefore polled before their tasks start elsewhere.
func (c *Core) replaceWorker(w, by *worker, why string) {
	unsettled := 0
	for _, r := range w.runs {
		if !r.listed {
			unsettled++
		}
	}
	c.emit(LogLine{What: "worker restarted", Worker: by.ID, Why: why, Fields: []any{
		"before", int64(w.ID.Incarnation()), "host", w.Host, "given_up", len(w.runs) - unsettled, "to_settle", unsettled,
	}})
	by.latePollUntil = latest(by.latePollUntil, c.latePollUntil(w))
	c.replaced[w.ID] = replacement{by: by.ID, at: c.now, latePollUntil: by.latePollUntil}
	delete(c.replaced, by.ID)
	c.markRestarted(by, w.sentFence)
	by.sentFence = max(by.sentFence, w.sentFence)
	by.answeredBefore = by.answeredBefore || w.mayHaveRuns()
	if w.Service != by.Service {
		by.formerService = w.Service
	}
	by.inherited = by.inherited || w.inherited && (!w.contacted || c.now.Before(c.earlierOrdersUntil))
	c.current[by.ID.Name()] = by
	c.endWorker(w, "the worker has restarted", by)
}

// noteContact handles the first answer of a worker, to a poll that was sent at sentAt.
func (c *Core) noteContact(w *worker, sentAt time.Time) {
	w.contacted = true
	c.raiseFence(w)
	if !w.inRoster && !c.inFlight.names(w) {
		c.markRosterDirty(w)
	}
	c.removeOthersOnHost(w, sentAt)
	if w.restarted {
		w.expiresBy = latest(w.expiresBy, c.lateLeaseEnd(w))
	}
	// Jobs may have waited for its report on the runs of earlier owners.
	c.reorder(w.Service)
}

// answeredBy returns the worker that answered a request to w: w itself, or a later incarnation
// if it has restarted since. It returns false if the answer is from an incarnation that was
// already replaced, and so proves nothing.
func (c *Core) answeredBy(w *worker, o platform.ReportedStart) (*worker, bool) {
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
	c.replaceWorker(w, by, "its answer has another start time")
	return by, true
}

// checkAnswerer reports whether an answer is from the worker that was asked. A later incarnation
// is polled separately, as the request was not meant for it.
func (c *Core) checkAnswerer(w *worker, o platform.ReportedStart) bool {
	if o.InvalidReason != "" && !w.invalidStartLogged {
		w.invalidStartLogged = true
		c.logInvalidStart(w.ID, o.InvalidReason)
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

// reassign moves a run whose start may not have been carried out to the incarnation that may
// still do so. The next poll of that one shows the run, or a stop settles it.
func (r *run) reassign(to *worker, now time.Time) {
	r.detach()
	r.worker = to
	r.stopPending, r.stopConfirmed, r.absent, r.stoppedUnlisted = false, false, false, false
	r.knownAt = now
	r.attach()
}

// forgetReplaced forgets incarnations that were replaced or ended more than replacedFor ago.
func (c *Core) forgetReplaced() {
	maps.DeleteFunc(c.ended, func(_ platform.WorkerName, e endedIncarnation) bool {
		age := c.now.Sub(e.at)
		return age > heldEndsFor || age > replacedFor && e.heldFrom == 0
	})
	c.forgetDeparted()
	for id, r := range c.replaced {
		if c.now.Sub(r.at) > replacedFor {
			delete(c.replaced, id)
		}
	}
}
