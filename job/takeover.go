package job

import (
	"slices"
	"time"

	"amberway/platform"
)

// storeUnreachableAfter is the time without a successful renewal after which the store counts
// as having been unreachable: more than two failed renewals.
const storeUnreachableAfter = 3 * renewEvery

// takeover is the part of an owner's state that is about earlier owners and the next one.
type takeover struct {
	// uncontacted holds the services with workers that have not answered this owner yet
	// and on which runs of an earlier owner may continue, with the time of that finding.
	uncontacted map[string]time.Time
	// unlisted holds the services with inherited workers that have yet to list ends of earlier
	// owners' runs.
	unlisted map[string]bool
	roster   rosterChanges
	// rosterUnknownUntil is when all runs of earlier owners must have ended. It is set if
	// part of the roster could not be read.
	rosterUnknownUntil time.Time
	// departuresUnknownUntil is the time until which a worker that comes up may have had an earlier incarnation
	// that only the unreadable part names.
	departuresUnknownUntil time.Time
	// earlierOrdersUntil is the time until which workers may still carry out orders of an
	// earlier owner. A worker that has restarted does not know the fence that would refuse them.
	earlierOrdersUntil time.Time
	// earlierLeasesUntil is the time until which a worker may carry out a poll of an earlier owner that extends
	// its lease, if it knows no fence that refuses it.
	earlierLeasesUntil time.Time
	// earlierStartsUntil is the time until which a worker may carry out a start of an earlier owner.
	earlierStartsUntil time.Time
	// predecessorUntil is the time until which an earlier process of this host, whose claim was
	// replaced, may act without asking the store.
	predecessorUntil time.Time
	// stepped reports whether the first step was made. The time before it does not count
	// as a pause: the owner loads the inherited state, and then checks its ownership.
	stepped bool
	// resumedAt is when the owner last resumed after a pause during which it may have been
	// replaced.
	resumedAt time.Time
	// ownedUntil is the last time at which this owner was certainly the owner.
	ownedUntil time.Time
	// storeBackAt is when the store last answered again after it had been unreachable.
	storeBackAt time.Time
}

// maxPause is the longest pause after which an owner may start runs without renewing its
// lease first: a lease that was renewed just before the pause has not expired by then. A
// restarted worker knows no fence, and would accept starts from an owner that has been
// replaced.
const maxPause = ownerTTL - renewEvery

func newTakeover(now time.Time) takeover {
	t := takeover{uncontacted: map[string]time.Time{}, unlisted: map[string]bool{}, ownedUntil: now}
	t.limitEarlierOwners(now)
	return t
}

// limitEarlierOwners computes until when orders of earlier owners may be carried out that have lost the ownership by now.
func (t *takeover) limitEarlierOwners(now time.Time) {
	t.earlierOrdersUntil = now.Add(inheritedLease)
	t.earlierLeasesUntil = now.Add(ownerAuthority + maxPollDelay)
	t.earlierStartsUntil = now.Add(ownerAuthority + leaseFor)
}

// Inherited is the state that an owner finds in the store when it takes over.
type Inherited struct {
	Config   *platform.Config
	Workers  []platform.Worker
	Jobs     []Accepted
	Progress map[ID]Progress
	Cancels  []ID
	Roster   Roster
	// Admission is the admission policy of the previous owner.
	Admission AdmissionPolicy
	Waves     []platform.Wave
	// Evacuations are those in force. StartsUntil is the time until which tasks may start
	// without another read of them; zero means no limit.
	Evacuations Evacuations
	StartsUntil time.Time
	// WavesEnded holds the waves that are reported as done, WavesBegan the machines
	// whose maintenance has begun, by wave.
	WavesEnded map[int64]bool
	WavesBegan map[int64][]string
	// Replaced says that the claim of an earlier process of this host was replaced, which may
	// still be alive.
	Replaced bool
}

// apply takes over the state.
func (e Inherited) apply(c *Core) {
	// The lease of an earlier process of this host was revoked after the claim.
	c.limitEarlierOwners(c.now)
	if e.Config != nil {
		ConfigChanged{Config: e.Config}.apply(c)
	}
	for _, w := range e.Workers {
		WorkerListed{Worker: w}.apply(c)
	}
	OperatorRead{StartsUntil: e.StartsUntil}.apply(c)
	EvacuationsChanged{Evacuations: e.Evacuations, Source: "takeover"}.apply(c)
	c.inheritRoster(e.Roster)
	c.inheritServices(e.Roster.Services)
	c.inheritAdmission(e.Admission)
	for _, m := range e.Roster.Ordered {
		c.noOrdersUntil[m] = c.now.Add(handoverPause)
	}
	if e.Replaced {
		c.inheritPredecessor(e.Roster.Ordered)
	}
	for id, p := range sorted(e.Progress) {
		if p.State.Final() {
			c.jobs[id] = c.finalJob(id, p)
			c.finalJobs = append(c.finalJobs, c.jobs[id])
		}
	}
	for _, j := range e.Jobs {
		if c.jobs[j.ID] == nil {
			c.recordInherited(c.addJob(j.ID, j.Record, j.Created, e.Progress[j.ID]))
		}
	}
	c.inheritShares()
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

// apply notes until when this owner has certainly not been replaced.
func (e LeaseRenewed) apply(c *Core) {
	if e.SentAt.Sub(c.ownedUntil) > storeUnreachableAfter {
		c.storeBackAt = e.SentAt
	}
	c.ownedUntil = latest(c.ownedUntil, e.SentAt)
}

// leaseExpired reports whether all runs on the worker must have ended because its lease has
// expired. Another owner may have extended the lease after ownedUntil, so that only a lease
// that expired before that counts.
func (c *Core) leaseExpired(w *worker) bool {
	return w.leaseExpired(c.ownedUntil)
}

// inheritedRunsKnown reports whether each worker on which an earlier owner may have runs of
// the job has answered and listed all ends, or its lease has expired.
func (c *Core) inheritedRunsKnown(j *job) bool {
	if int64(j.created) > int64(c.fence) {
		return true
	}
	if c.now.Before(c.rosterUnknownUntil) {
		return false
	}
	return !c.inheritedRunsPending(j.queue.Service) && !c.inheritedRunsPending(j.Service) && !slices.ContainsFunc(c.otherServices(j), c.inheritedRunsPending)
}

// inheritedRunsPending reports whether an earlier owner may have runs on workers of the service
// whose state or end this owner does not know yet.
func (c *Core) inheritedRunsPending(service string) bool {
	_, uncontacted := c.uncontacted[service]
	return uncontacted || c.unlisted[service]
}

// updateUncontacted finds the services with inherited workers that have not answered this
// owner, or not listed all ends, and whose leases may not have expired.
func (c *Core) updateUncontacted() {
	previous := c.uncontacted
	c.uncontacted = map[string]time.Time{}
	clear(c.unlisted)
	var capacity uncontactedCapacity
	for w := range c.workersByAge.All() {
		if !w.inherited {
			continue
		}
		if c.leaseExpired(w) && (!w.contacted || w.missedPolls > 0) {
			c.holdEnds(w)
			continue
		}
		c.addPending(w, w.Service, previous)
		if w.formerService != "" {
			c.addPending(w, w.formerService, previous)
		}
		if !w.contacted {
			capacity.add(w)
		}
	}
	for s, since := range sorted(previous) {
		if _, waits := c.uncontacted[s]; !waits {
			c.emit(LogLine{What: "inherited jobs resume", Fields: []any{"service", s, "waited_ms", c.now.Sub(since).Milliseconds()}})
		}
	}
	c.countUncontacted(capacity)
}

// addPending notes that an earlier owner may have runs on the worker as one of the service, whose
// state or end is not known.
func (c *Core) addPending(w *worker, service string, previous map[string]time.Time) {
	if w.hidesEnds() {
		c.unlisted[service] = true
	}
	if _, counted := c.uncontacted[service]; counted || w.contacted {
		return
	}
	since, known := previous[service]
	if !known {
		since = c.now
		c.emit(LogLine{What: "inherited jobs wait", Worker: w.ID, Why: "an earlier owner's runs may continue on a worker that has not answered", Fields: []any{"service", service, "host", w.Host, "silent", w.missedPolls, "at_most_ms", w.expiresBy.Sub(c.now).Milliseconds()}})
	}
	c.uncontacted[service] = since
}

// uncontactedCapacity is the total capacity of inherited workers that have not answered.
type uncontactedCapacity struct {
	platform.Resources
	// unknown reports whether one of them is known only from the roster, which does not
	// tell its capacity.
	unknown bool
}

func (r *uncontactedCapacity) add(w *worker) {
	r.Resources = r.AddTimes(w.Capacity, 1)
	r.unknown = r.unknown || w.Capacity == (platform.Resources{})
}

// certainlyOwner reports whether no other owner can have been there yet: the lease that was last
// renewed has not expired. The clock of a suspended host may be late by maxSuspended.
func (c *Core) certainlyOwner() bool {
	return c.now.Sub(c.ownedUntil) < ownerTTL-maxSuspended
}

// advanceTo sets the time of a step, and detects a pause of the owner.
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

// maybeReplaced reports whether another host may have become the owner during a pause of
// this one.
func (c *Core) maybeReplaced() bool {
	return c.ownedUntil.Before(c.resumedAt)
}
