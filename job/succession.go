package job

import (
	"time"

	"amberway/platform"
)

// storeAway is the time without a renewal after which the store has been away:
// more than two renewals that failed.
const storeAway = 3 * renewEvery

// succession is what an owner has to do with those before and after it.
type succession struct {
	// unmet are the services with workers that have not answered yet and on
	// which an earlier owner's runs may go on, by when that was first found.
	unmet  map[string]time.Time
	roster rosterChanges
	// unreadUntil is when all that earlier owners have started must be over, if the
	// roster could not be read in whole.
	unreadUntil time.Time
	// earlierUntil is until when orders of an earlier owner may be carried out, which a
	// worker that starts again knows no fence against.
	earlierUntil time.Time
	// stepped says that a first step was made: an owner reads what it takes over before
	// that, and looks once more whether it owns.
	stepped bool
	// pausedAt is when the owner last went on after a pause in which another may have come
	// to own.
	pausedAt time.Time
	// ownedUntil is the last time at which the owner is known to have owned.
	ownedUntil time.Time
	// storeBackAt is when the store last answered again after it had been away.
	storeBackAt time.Time
}

// mostPause is how long an owner may do nothing and still give starts without a word of the
// store: a lease that was renewed just before has not ended by then. A worker that starts
// again knows no fence, and would take the starts of an owner that has been replaced.
const mostPause = ownerTTL - renewEvery

func newSuccession(now time.Time) succession {
	return succession{unmet: map[string]time.Time{}, earlierUntil: now.Add(inheritedLease), ownedUntil: now}
}

// Inherited is what an owner finds in the store when it takes over.
type Inherited struct {
	Config   *platform.Deployed
	Workers  []platform.Worker
	Jobs     []Accepted
	Progress map[ID]Progress
	Cancels  []ID
	Roster   Roster
	// Full is what the owner before has said of the queues.
	Full  Full
	Waves []platform.Wave
	// WavesEnded are the waves that are reported as done, WavesBegan the
	// machines whose upkeep has begun, by wave.
	WavesEnded map[int64]bool
	WavesBegan map[int64][]string
}

// apply takes over what is in the store.
func (e Inherited) apply(c *Core) {
	if e.Config != nil {
		ConfigTaken{Config: e.Config}.apply(c)
	}
	for _, w := range e.Workers {
		WorkerListed{Worker: w}.apply(c)
	}
	c.inherit(e.Roster)
	c.inheritFull(e.Full)
	for _, m := range e.Roster.Ordered {
		c.heldUntil[m] = c.now.Add(handOver)
	}
	for id, p := range e.Progress {
		if p.State.Final() {
			c.jobs[id] = c.ended(id, p)
		}
	}
	for _, j := range e.Jobs {
		if c.jobs[j.ID] == nil {
			c.noteArrival(c.add(j.ID, j.Record, j.Created, e.Progress[j.ID]), j.Record.CameAt)
		}
	}
	for _, id := range e.Cancels {
		CancelAsked{ID: id}.apply(c)
	}
	for _, w := range e.Waves {
		if e.WavesEnded[w.Number] {
			c.waves[w.Number] = &wave{Wave: w, reported: true}
			continue
		}
		WaveAsked{Wave: w, Began: e.WavesBegan[w.Number]}.apply(c)
	}
	Tick{}.apply(c)
}

// apply notes until when nobody else has owned.
func (e Renewed) apply(c *Core) {
	if e.SentAt.Sub(c.ownedUntil) > storeAway {
		c.storeBackAt = e.SentAt
	}
	c.ownedUntil = latest(c.ownedUntil, e.SentAt)
}

// lapsed reports whether everything that any order started on the worker must
// have ended by its lease. Another owner may have extended the lease since this
// one was last known to own, so that only leases that lapsed before that count.
func (c *Core) lapsed(w *worker) bool {
	return w.lapsed(c.ownedUntil)
}

// settled reports whether every worker on which an earlier owner may have runs
// of the job has answered or lapsed.
func (c *Core) settled(j *job) bool {
	if int64(j.created) > int64(c.fence) {
		return true
	}
	if c.now.Before(c.unreadUntil) {
		return false
	}
	_, waits := c.unmet[j.queue.Service]
	_, waited := c.unmet[j.Service]
	return !waits && !waited
}

// countUnmet finds the services with workers that have never answered and whose
// earlier leases may go on.
func (c *Core) countUnmet() {
	before := c.unmet
	c.unmet = map[string]time.Time{}
	var room unmetRoom
	for _, w := range c.workers {
		if !w.inherited || w.met || c.lapsed(w) {
			continue
		}
		room.add(w)
		if _, counted := c.unmet[w.Service]; counted {
			continue
		}
		since, known := before[w.Service]
		if !known {
			since = c.now
			c.do(Note{What: "inherited jobs wait", Worker: w.ID, Why: "an earlier owner's runs may go on at a worker that has not answered", Inputs: []any{"service", w.Service, "host", w.Host, "silent", w.silent, "at_most_ms", w.lapsesAt.Sub(c.now).Milliseconds()}})
		}
		c.unmet[w.Service] = since
	}
	for s, since := range before {
		if _, waits := c.unmet[s]; !waits {
			c.do(Note{What: "inherited jobs go on", Inputs: []any{"service", s, "waited_ms", c.now.Sub(since).Milliseconds()}})
		}
	}
	c.countUnheard(room)
}

// unmetRoom is the room of workers that have not answered.
type unmetRoom struct {
	platform.Resources
	// unknown says that one of them is known by the roster only, which does not tell its room.
	unknown bool
}

func (r *unmetRoom) add(w *worker) {
	r.Resources = r.Plus(w.Capacity, 1)
	r.unknown = r.unknown || w.Capacity == (platform.Resources{})
}

// passTo sets the time of a step, and notes a pause of the owner.
func (c *Core) passTo(now time.Time) {
	d := now.Sub(c.now)
	first := !c.stepped
	c.stepped = true
	if d <= 0 {
		return
	}
	if d > mostPause && !first {
		c.pausedAt = now
		c.do(Note{What: "owner paused", Why: "starts wait for a renewal of its lease", Inputs: []any{"for_ms", d.Milliseconds()}})
	}
	c.now = now
}

// paused reports whether another may have come to own while the owner did nothing.
func (c *Core) paused() bool {
	return c.ownedUntil.Before(c.pausedAt)
}
