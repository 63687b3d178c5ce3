package job

import (
	"maps"
	"slices"
	"time"

	"amberway/platform"
)

// inheritedLease is how long runs of earlier owners may go on at a worker that has not answered:
// an owner gives orders without the store for ownerAuthority, and the last lease that it gave
// may be on a slow clock.
const inheritedLease = ownerAuthority + leaseFor + 500*time.Millisecond

// relistedWithin is how long it takes after an outage of the store until the records of live
// workers are back. The platform documents about two seconds.
const relistedWithin = 2500 * time.Millisecond

// ownerAuthority is how long an owner goes on giving orders after the store's last answer.
// Typical outages of the store take five seconds.
const ownerAuthority = 6 * time.Second

// apply adds a worker, or updates it from its record.
func (e WorkerListed) apply(c *Core) {
	v := e.Worker
	c.logInvalidStart(v.ID, v.InvalidStartReason)
	v.ID = c.resolveID(v.ID)
	if c.wasReplaced(v) {
		return
	}
	w := c.workers[v.ID]
	if !c.hasService(v.Service) && (w == nil || w.Service != v.Service) {
		c.markUnconfigured(v)
		return
	}
	delete(c.unconfigured, v.ID.Name())
	if w == nil {
		c.addListed(v)
		return
	}
	w.hadRecord = true
	moved, before := w.Service != v.Service, w.Service
	if w.Draining != v.Draining {
		c.emit(LogLine{What: "worker draining", Worker: v.ID, Fields: []any{"draining", v.Draining}})
	}
	relisted := !w.listed
	if relisted {
		c.emit(LogLine{What: "worker listed again", Worker: v.ID})
	}
	if moved {
		w.formerService = before
	}
	w.listed, w.missedLists = true, 0
	w.Worker = v
	w.rack = v.Rack()
	c.markEvacuated(w)
	if moved || relisted {
		c.stalePools[before], c.stalePools[w.Service] = true, true
	}
	c.replan(w.Service)
}

// hasService reports whether the configuration has the service.
func (c *Core) hasService(service string) bool {
	return slices.ContainsFunc(c.config.Services, func(s platform.Service) bool { return s.Name == service })
}

// markUnconfigured excludes a worker whose service is not in the configuration. Its record may
// come from another writer to the store, and nothing would ever run there.
func (c *Core) markUnconfigured(v platform.Worker) {
	WorkerUnlisted{Name: v.ID.Name()}.apply(c)
	c.unconfigured[v.ID.Name()] = v
	c.emit(LogLine{What: "worker unconfigured", Worker: v.ID, Why: "its service is not in the configuration", Fields: []any{"service", v.Service, "host", v.Host}})
}

// addConfigured adds the excluded workers whose services are in the configuration by now.
func (c *Core) addConfigured() {
	for _, v := range sorted(c.unconfigured) {
		if c.hasService(v.Service) {
			WorkerListed{Worker: v}.apply(c)
		}
	}
}

// addListed adds a worker of which a record was seen for the first time.
func (c *Core) addListed(v platform.Worker) {
	w := newWorker(v, c.now)
	w.listed, w.hadRecord = true, true
	before := c.current[v.ID.Name()]
	c.addWorker(w)
	c.emit(LogLine{What: "worker listed", Worker: v.ID, Fields: []any{"service", v.Service, "host", v.Host, "draining", v.Draining, "restarted", w.restarted}})
	if before != nil && before.hadRecord {
		c.replaceWorker(before, w, "its record has another start time")
	}
	if c.belongsInRoster(w) {
		c.markRosterDirty(w)
	}
	c.reconcileWorker(w)
}

// removeOthersOnHost removes the other workers known on the worker's host. A host runs one
// worker at a time, and this one has just answered a poll that was sent at sentAt; records are
// added and removed late, so they do not show which worker is the later one. A worker that became
// known after sentAt may be the later one.
func (c *Core) removeOthersOnHost(w *worker, sentAt time.Time) {
	others := slices.Clone(c.workersByHost[w.Host])
	if w.Host == "" {
		others = nil
	}
	if o := c.current[w.ID.Name()]; o != nil && !slices.Contains(others, o) {
		others = append(others, o)
	}
	for _, o := range others {
		switch {
		case o == w || o.knownSince.After(sentAt):
		case o.ID.Name() == w.ID.Name():
			c.replaceWorker(o, w, "the later incarnation has answered")
		default:
			c.removeWorker(o, "its host runs another worker")
		}
	}
	c.listedByHost[w.Host] = w
}

// apply compares the complete list of worker records with the known workers.
func (e WorkerList) apply(c *Core) {
	listed := make(map[platform.WorkerName]bool, len(e))
	for _, w := range e {
		listed[w.ID.Name()] = true
		WorkerListed{Worker: w}.apply(c)
	}
	for w := range c.workersByAge.All() {
		if !listed[w.ID.Name()] {
			WorkerUnlisted{Name: w.ID.Name()}.apply(c)
		}
	}
	maps.DeleteFunc(c.unconfigured, func(n platform.WorkerName, _ platform.Worker) bool { return !listed[n] })
}

// apply handles the removal of a worker's record. The worker may go on without it.
func (e WorkerUnlisted) apply(c *Core) {
	delete(c.unconfigured, e.Name)
	if o := c.current[e.Name]; o != nil {
		for _, w := range c.incarnationsOn(o.Host, e.Name) {
			c.unlist(w)
		}
	}
}

// unlist marks a worker as having no record.
func (c *Core) unlist(w *worker) {
	if !w.listed {
		return
	}
	w.listed = false
	w.unlistedAt = c.now
	c.emit(LogLine{What: "worker unlisted", Worker: w.ID, Fields: []any{"runs", len(w.runs)}})
	c.stalePools[w.Service] = true
	c.reconcileWorker(w)
	c.replan(w.Service)
}

// shuttingDown reports whether the worker is about to end: its record says that it drains, or
// the record has been gone for long although the store answered all the while. Some workers
// never announce their end, and like the others go on running for a while.
func (c *Core) shuttingDown(w *worker) bool {
	if w.listed {
		return w.Draining
	}
	return !w.unlistedAt.IsZero() && c.recordGone(w)
}

// recordGone reports whether an unlisted worker has had time to write its record again since it
// was unlisted or became known, and since the store was last back. A live worker would have
// done so.
func (c *Core) recordGone(w *worker) bool {
	since := latest(latest(w.unlistedAt, w.knownSince), c.storeBackAt)
	return c.ownedUntil.After(since.Add(relistedWithin))
}

// addWorker adds a worker that was not known.
func (c *Core) addWorker(w *worker) {
	c.raiseFence(w)
	ended := c.ended[w.ID.Name()]
	if differ(w.ID.Incarnation(), ended.id.Incarnation()) || w.ID.Incarnation() != 0 && c.now.Before(ended.latePollUntil) {
		c.markRestarted(w, c.latestFence)
		w.latePollUntil = latest(w.latePollUntil, ended.latePollUntil)
	}
	c.markUnknownDeparture(w)
	if w.ID == ended.id {
		// It was only taken for ended.
		w.hold.from = ended.heldFrom
	}
	c.workers[w.ID] = w
	c.workersByAge.Add(w)
	c.markEvacuated(w)
	if c.current[w.ID.Name()] == nil {
		c.current[w.ID.Name()] = w
	}
	c.workersByHost[w.Host] = append(c.workersByHost[w.Host], w)
	c.stalePools[w.Service] = true
}

// rebuildPools groups the listed workers by service again, for the services that have changed.
func (c *Core) rebuildPools() {
	if len(c.stalePools) == 0 {
		return
	}
	clear(c.listedByHost)
	for s := range c.stalePools {
		delete(c.pools, s)
	}
	for w := range c.workersByAge.All() {
		if !w.listed {
			continue
		}
		if o := c.listedByHost[w.Host]; o == nil || !o.contacted {
			c.listedByHost[w.Host] = w
		}
		if c.stalePools[w.Service] {
			c.pools[w.Service] = append(c.pools[w.Service], w)
		}
	}
	for s := range c.stalePools {
		sortWorkers(c.pools[s])
	}
	clear(c.stalePools)
}

// expireLease drops the runs of a silent worker once its lease has expired, and removes the
// worker if it is unlisted.
func (c *Core) expireLease(w *worker) {
	if c.loseRemoved(w) {
		return
	}
	if w.missedPolls == 0 && !w.listed && len(w.runs)+len(w.orphans) > 0 {
		return
	}
	if !c.leaseExpired(w) {
		return
	}
	if w.busy() {
		c.logExpiry(w)
	}
	c.holdEnds(w)
	for _, r := range w.runs {
		w.abandoned[rawRunID{task: r.task.key().String(), number: r.number}] = true
		c.dropRun(r, lossExpired, "the worker is silent and its lease has expired")
	}
	w.dropOrphans()
	if !w.listed {
		c.removeWorker(w, "it is unlisted and its lease has expired")
	}
}

// logExpiry logs what the owner knows of a lease that counts as expired, and of the wait for leases that
// others may have given.
func (c *Core) logExpiry(w *worker) {
	c.emit(LogLine{What: "lease expired", Worker: w.ID, Why: "the worker has been silent for as long as its runs may last", Fields: []any{
		"runs", len(w.runs) + len(w.orphans), "silent_ms", c.now.Sub(w.answeredAt).Milliseconds(), "lease_ms", int64(w.leaseUntil - w.clock),
		"wait_over_ms", c.now.Sub(w.expiresBy).Milliseconds(), "met", w.contacted, "restarted", w.restarted, "inherited", w.inherited,
	}})
}

// removeWorker removes a worker that has ended.
func (c *Core) removeWorker(w *worker, why string) {
	c.endWorker(w, why, nil)
}

// endWorker removes a worker that has ended. If it has restarted, the runs whose starts may
// still be carried out are reassigned to the next incarnation.
func (c *Core) endWorker(w *worker, why string, next *worker) {
	if c.workers[w.ID] != w {
		return
	}
	how := w.lossCause()
	c.emit(LogLine{What: "worker removed", Worker: w.ID, Why: why, Fields: []any{"runs", len(w.runs), "met", w.contacted, "how", string(how)}})
	suspects := w.suspects(how)
	for _, r := range w.runs {
		if next != nil && !r.listed {
			r.reassign(next, c.now)
			continue
		}
		c.dropRun(r, how, "its worker has ended")
	}
	w.dropOrphans()
	delete(c.workers, w.ID)
	c.workersByAge.Remove(w)
	c.workersByHost[w.Host] = slices.DeleteFunc(c.workersByHost[w.Host], func(o *worker) bool { return o == w })
	if len(c.workersByHost[w.Host]) == 0 {
		delete(c.workersByHost, w.Host)
	}
	c.dropIncarnation(w)
	if next == nil {
		c.ended[w.ID.Name()] = endedIncarnation{id: w.ID, at: c.now, heldFrom: w.hold.from, latePollUntil: c.latePollUntil(w)}
	}
	if o := c.current[w.ID.Name()]; next == nil && o != nil {
		c.markRestarted(o, w.sentFence)
		o.latePollUntil = latest(o.latePollUntil, c.latePollUntil(w))
	}
	c.stalePools[w.Service] = true
	c.markRosterDirty(w)
	c.attributeCrash(suspects)
	c.replan(w.Service)
}
