package job

import (
	"maps"
	"slices"
	"time"

	"amberway/platform"
)

// inheritedLease is how long runs of earlier owners may go on at a worker that
// has not answered: as long as an owner gives orders without the store
// (ownerAuthority), plus the last lease that it gave, on a slow clock.
const inheritedLease = ownerAuthority + leaseFor + 500*time.Millisecond

// relistedWithin is how long after an outage of the store the records of workers
// that live on are there again: the pages say about two seconds.
const relistedWithin = 2500 * time.Millisecond

// ownerAuthority is how long an owner goes on giving orders after its last
// answer from the store. The store is away for five seconds at a time on most
// bad days.
const ownerAuthority = 6 * time.Second

// apply adds a worker, or takes in what has changed of it.
func (e WorkerListed) apply(c *Core) {
	v := e.Worker
	c.noteInvalidStart(v.ID, v.InvalidStart)
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
	w.listed, w.missedLists = true, 0
	w.Worker = v
	w.rack = v.Rack()
	if moved || relisted {
		c.stalePools[before], c.stalePools[w.Service] = true, true
	}
	c.replan(w.Service)
}

// hasService reports whether the configuration has the service.
func (c *Core) hasService(service string) bool {
	return slices.ContainsFunc(c.config.Services, func(s platform.Service) bool { return s.Name == service })
}

// markUnconfigured leaves out a worker whose service the configuration does not name: its entry
// may come from another writer, and nothing would run there.
func (c *Core) markUnconfigured(v platform.Worker) {
	WorkerUnlisted{Name: v.ID.Name()}.apply(c)
	c.unconfigured[v.ID.Name()] = v
	c.emit(LogLine{What: "worker left out", Worker: v.ID, Why: "no configuration names its service", Fields: []any{"service", v.Service, "host", v.Host}})
}

// addConfigured takes in the workers whose services the configuration names by now.
func (c *Core) addConfigured() {
	for _, v := range c.unconfigured {
		if c.hasService(v.Service) {
			WorkerListed{Worker: v}.apply(c)
		}
	}
}

// addListed adds a worker that was not listed before.
func (c *Core) addListed(v platform.Worker) {
	w := newWorker(v, c.now)
	w.listed, w.hadRecord = true, true
	before := c.current[v.ID.Name()]
	c.addWorker(w)
	c.emit(LogLine{What: "worker listed", Worker: v.ID, Fields: []any{"service", v.Service, "host", v.Host, "draining", v.Draining}})
	if before != nil && before.hadRecord {
		c.replaceWorker(before, w, "its record tells of a later start")
	}
	if !c.dormant(w) {
		c.markRosterDirty(w)
	}
	c.reconcileWorker(w)
}

// removeOthersOnHost forgets the other lives of the worker's machine. It runs one life at
// a time, and this one has just answered; records come and go late, and tell
// nothing of which life is the later one.
func (c *Core) removeOthersOnHost(w *worker) {
	if o := c.current[w.ID.Name()]; o != w && o != nil {
		c.replaceWorker(o, w, "it answers")
	}
	for _, o := range slices.Clone(c.workersByHost[w.Host]) {
		if o != w && w.Host != "" {
			c.removeWorker(o, "its machine runs another life")
		}
	}
	c.listedByHost[w.Host] = w
}

// apply compares the whole list of workers with what is known.
func (e WorkerList) apply(c *Core) {
	there := make(map[platform.WorkerName]bool, len(e))
	for _, w := range e {
		there[w.ID.Name()] = true
		WorkerListed{Worker: w}.apply(c)
	}
	for id := range c.workers {
		if !there[id.Name()] {
			WorkerUnlisted{Name: id.Name()}.apply(c)
		}
	}
	maps.DeleteFunc(c.unconfigured, func(n platform.WorkerName, _ platform.Worker) bool { return !there[n] })
}

// apply notes that a worker's record has gone. It may live on unheard of.
func (e WorkerUnlisted) apply(c *Core) {
	delete(c.unconfigured, e.Name)
	if o := c.current[e.Name]; o != nil {
		for _, w := range c.incarnationsOn(o.Host, e.Name) {
			c.unlist(w)
		}
	}
}

// unlist notes that a worker has no record.
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

// shuttingDown reports whether the worker is about to end: it says so, or its record has
// gone and has not come back although the store has answered all the while. Some
// workers never say so, and serve on for as long.
func (c *Core) shuttingDown(w *worker) bool {
	if w.listed {
		return w.Draining
	}
	return !w.unlistedAt.IsZero() && c.recordGone(w)
}

// recordGone reports whether the worker, which is not listed, has had time to write its
// record anew since the store answers: it went, or was not there when the owner came.
func (c *Core) recordGone(w *worker) bool {
	since := latest(latest(w.unlistedAt, w.knownSince), c.storeBackAt)
	return c.ownedUntil.After(since.Add(relistedWithin))
}

// addWorker takes in a worker that was not known.
func (c *Core) addWorker(w *worker) {
	c.workers[w.ID] = w
	if c.current[w.ID.Name()] == nil {
		c.current[w.ID.Name()] = w
	}
	c.workersByHost[w.Host] = append(c.workersByHost[w.Host], w)
	c.stalePools[w.Service] = true
}

// rebuildPools sorts the listed workers by service, if they have changed.
func (c *Core) rebuildPools() {
	if len(c.stalePools) == 0 {
		return
	}
	clear(c.listedByHost)
	for s := range c.stalePools {
		delete(c.pools, s)
	}
	for _, w := range c.workers {
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

// expireLease gives up what runs on a silent worker once its lease has ended.
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
	for _, r := range w.runs {
		w.abandoned[rawRunID{task: r.task.key().String(), number: r.number}] = true
		c.drop(r, lossExpired, "the worker is silent and its lease has lapsed")
	}
	w.dropOrphans()
	if !w.listed {
		c.removeWorker(w, "not listed, and its lease has lapsed")
	}
}

// removeWorker forgets a life of a worker that has ended.
func (c *Core) removeWorker(w *worker, why string) {
	c.endWorker(w, why, nil)
}

// endWorker forgets a life of a worker that has ended. Where the worker has started again, the
// next life is handed the runs whose starts it may still carry out.
func (c *Core) endWorker(w *worker, why string, next *worker) {
	if c.workers[w.ID] != w {
		return
	}
	how := w.lossCause()
	c.emit(LogLine{What: "worker gone", Worker: w.ID, Why: why, Fields: []any{"runs", len(w.runs), "met", w.contacted, "how", string(how)}})
	suspects := w.suspects(how)
	for _, r := range w.runs {
		if next != nil && !r.listed {
			r.reassign(next, c.now)
			continue
		}
		c.drop(r, how, "its worker has ended")
	}
	w.dropOrphans()
	delete(c.workers, w.ID)
	c.workersByHost[w.Host] = slices.DeleteFunc(c.workersByHost[w.Host], func(o *worker) bool { return o == w })
	if len(c.workersByHost[w.Host]) == 0 {
		delete(c.workersByHost, w.Host)
	}
	c.dropIncarnation(w)
	c.stalePools[w.Service] = true
	c.markRosterDirty(w)
	c.attributeCrash(suspects)
	c.replan(w.Service)
}
