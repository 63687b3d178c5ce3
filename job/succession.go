package job

import (
	"time"

	"amberway/platform"
)

// storeUnreachableAfter is the time without a renewal after which the store has been away:
// more than two renewals that failed.
const storeUnreachableAfter = 3 * renewEvery

// takeover is what an owner has to do with those before and after it.
type takeover struct {
	// uncontacted are the services with workers that have not answered yet and on
	// which an earlier owner's runs may go on, by when that was first found.
	uncontacted map[string]time.Time
	roster      rosterChanges
	// rosterUnknownUntil is when all that earlier owners have started must be over, if the
	// roster could not be read in whole.
	rosterUnknownUntil time.Time
	// earlierOrdersUntil is until when orders of an earlier owner may be carried out, which a
	// worker that starts again knows no fence against.
	earlierOrdersUntil time.Time
	// stepped says that a first step was made: an owner reads what it takes over before
	// that, and looks once more whether it owns.
	stepped bool
	// resumedAt is when the owner last went on after a pause in which another may have come
	// to own.
	resumedAt time.Time
	// ownedUntil is the last time at which the owner is known to have owned.
	ownedUntil time.Time
	// storeBackAt is when the store last answered again after it had been away.
	storeBackAt time.Time
}

// maxPause is how long an owner may do nothing and still give starts without a word of the
// store: a lease that was renewed just before has not ended by then. A worker that starts
// again knows no fence, and would take the starts of an owner that has been replaced.
const maxPause = ownerTTL - renewEvery

func newTakeover(now time.Time) takeover {
	return takeover{uncontacted: map[string]time.Time{}, earlierOrdersUntil: now.Add(inheritedLease), ownedUntil: now}
}

// Inherited is what an owner finds in the store when it takes over.
type Inherited struct {
	Config   *platform.Deployed
	Workers  []platform.Worker
	Jobs     []JobAccepted
	Progress map[ID]Progress
	Cancels  []ID
	Roster   Roster
	// Admission is what the owner before has said of the queues.
	Admission AdmissionPolicy
	Waves     []platform.Wave
	// WavesEnded are the waves that are reported as done, WavesBegan the
	// machines whose upkeep has begun, by wave.
	WavesEnded map[int64]bool
	WavesBegan map[int64][]string
}

// apply takes over what is in the store.
func (e Inherited) apply(c *Core) {
	if e.Config != nil {
		ConfigChanged{Config: e.Config}.apply(c)
	}
	for _, w := range e.Workers {
		WorkerListed{Worker: w}.apply(c)
	}
	c.inheritRoster(e.Roster)
	c.inheritAdmission(e.Admission)
	for _, m := range e.Roster.Ordered {
		c.heldUntil[m] = c.now.Add(handoverPause)
	}
	for id, p := range e.Progress {
		if p.State.Final() {
			c.jobs[id] = c.finalJob(id, p)
		}
	}
	for _, j := range e.Jobs {
		if c.jobs[j.ID] == nil {
			c.recordArrival(c.add(j.ID, j.Record, j.Created, e.Progress[j.ID]), j.Record.ReceivedAt)
		}
	}
	for _, id := range e.Cancels {
		CancelRequested{ID: id}.apply(c)
	}
	for _, w := range e.Waves {
		if e.WavesEnded[w.Number] {
			c.waves[w.Number] = &wave{Wave: w, reported: true}
			continue
		}
		WaveRequested{Wave: w, Began: e.WavesBegan[w.Number]}.apply(c)
	}
	Tick{}.apply(c)
}

// apply notes until when nobody else has owned.
func (e LeaseRenewed) apply(c *Core) {
	if e.SentAt.Sub(c.ownedUntil) > storeUnreachableAfter {
		c.storeBackAt = e.SentAt
	}
	c.ownedUntil = latest(c.ownedUntil, e.SentAt)
}

// leaseExpired reports whether everything that any order started on the worker must
// have ended by its lease. Another owner may have extended the lease since this
// one was last known to own, so that only leases that lapsed before that count.
func (c *Core) leaseExpired(w *worker) bool {
	return w.leaseExpired(c.ownedUntil)
}

// inheritedRunsKnown reports whether every worker on which an earlier owner may have runs
// of the job has answered or lapsed.
func (c *Core) inheritedRunsKnown(j *job) bool {
	if int64(j.created) > int64(c.fence) {
		return true
	}
	if c.now.Before(c.rosterUnknownUntil) {
		return false
	}
	_, waits := c.uncontacted[j.queue.Service]
	_, waited := c.uncontacted[j.Service]
	return !waits && !waited
}

// updateUncontacted finds the services with workers that have never answered and whose
// earlier leases may go on.
func (c *Core) updateUncontacted() {
	before := c.uncontacted
	c.uncontacted = map[string]time.Time{}
	var room uncontactedRoom
	for _, w := range c.workers {
		if !w.inherited || w.contacted || c.leaseExpired(w) {
			continue
		}
		room.add(w)
		if _, counted := c.uncontacted[w.Service]; counted {
			continue
		}
		since, known := before[w.Service]
		if !known {
			since = c.now
			c.emit(LogLine{What: "inherited jobs wait", Worker: w.ID, Why: "an earlier owner's runs may go on at a worker that has not answered", Fields: []any{"service", w.Service, "host", w.Host, "silent", w.missedPolls, "at_most_ms", w.expiresBy.Sub(c.now).Milliseconds()}})
		}
		c.uncontacted[w.Service] = since
	}
	for s, since := range before {
		if _, waits := c.uncontacted[s]; !waits {
			c.emit(LogLine{What: "inherited jobs go on", Fields: []any{"service", s, "waited_ms", c.now.Sub(since).Milliseconds()}})
		}
	}
	c.countUncontacted(room)
}

// uncontactedRoom is the room of workers that have not answered.
type uncontactedRoom struct {
	platform.Resources
	// unknown says that one of them is known by the roster only, which does not tell its room.
	unknown bool
}

func (r *uncontactedRoom) add(w *worker) {
	r.Resources = r.Plus(w.Capacity, 1)
	r.unknown = r.unknown || w.Capacity == (platform.Resources{})
}

// advanceTo sets the time of a step, and notes a pause of the owner.
func (c *Core) advanceTo(now time.Time) {
	d := now.Sub(c.now)
	first := !c.stepped
	c.stepped = true
	if d <= 0 {
		return
	}
	if d > maxPause && !first {
		c.resumedAt = now
		c.emit(LogLine{What: "owner paused", Why: "starts wait for a renewal of its lease", Fields: []any{"for_ms", d.Milliseconds()}})
	}
	c.now = now
}

// maybeReplaced reports whether another may have come to own while the owner did nothing.
func (c *Core) maybeReplaced() bool {
	return c.ownedUntil.Before(c.resumedAt)
}
