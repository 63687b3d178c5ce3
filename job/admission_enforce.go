package job

import (
	"time"

	"amberway/platform"
)

// heldPolicy is an admission policy as an entry host holds it.
type heldPolicy struct {
	AdmissionPolicy
	revision platform.Revision
	// readAt is when it was read, ownerSeenAt when its owner was last known to be the owner: when
	// the store last answered, or when it told of another owner or of none.
	readAt, ownerSeenAt time.Time
}

// heldFor returns for how long the policy has been held without word of its owner.
func (p *heldPolicy) heldFor(now time.Time) time.Duration {
	return now.Sub(latest(p.readAt, p.ownerSeenAt))
}

// noteAnswer notes that the store has answered a request for the owner's keys.
func (e *election) noteAnswer(_ time.Time, err error) {
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.admission.Fence == e.current.Fence {
		e.admission.ownerSeenAt = e.now()
	}
}

// limitOf returns the limit that is in force for a job of the queue, or false if there is none.
// A policy outlives its owner until the next owner publishes its own: on a narrow link a takeover
// takes seconds, and jobs accepted meanwhile would queue behind the backlog that the policy was
// made for.
func (p *heldPolicy) limitOf(q platform.Queue, byCapacity bool, without time.Duration) (Admission, bool) {
	a, limited := p.AdmissionPolicy.limitOf(q)
	if a.Cause == causeRoom && (!byCapacity || without > capacityTTL) {
		a = a.bySendRate()
		limited = a.Fraction < 1
	}
	return a, limited && without <= admissionTTL
}

// applyAdmissionPolicy puts a published policy in force on this entry host. A policy that is read
// again does not hold for longer.
func (e *election) applyAdmissionPolicy(v platform.Entry) {
	p, err := decodeAdmissionPolicy(v)
	if err != nil {
		e.log.Write(LogLine{What: "store entry invalid", Why: err.Error()})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if v.Revision != 0 && v.Revision == e.admission.revision {
		return
	}
	e.admission = heldPolicy{AdmissionPolicy: p, revision: v.Revision, readAt: e.now()}
}

// rejection says why a job is refused, and when its caller may retry.
type rejection struct {
	why     string
	retryAt time.Time
	limit   Admission
	// policyAge is how long ago the policy with the limit was read.
	policyAge time.Duration
}

// reject returns the rejection of a job, or false if it is admitted.
func (e *election) reject(id ID, c caller, r Record) (rejection, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	a, limited := e.admission.limitOf(c.queue, r.limitedByCapacity(), e.admission.heldFor(now))
	fraction, overShare := e.admission.TeamFractions[c.team.Name]
	if !overShare {
		fraction = 1
	}
	if !limited || a.admits(id, fraction) {
		return rejection{}, false
	}
	v := rejection{why: refusedWhy(a.Cause, a.admits(id, 1)), limit: a, policyAge: now.Sub(e.admission.readAt)}
	v.retryAt = latest(e.admission.readAt.Add(a.RetryAfter), now.Add(retryDelay))
	if a.Cause == causeRoom {
		// The wait is as of now, since its changes are published.
		v.retryAt = now.Add(max(retryDelay, a.retryAfter(id)))
	}
	return v, true
}

// refusedWhy returns the reason of a refusal, given whether a job of another team would have been
// admitted.
func refusedWhy(c limitCause, team bool) string {
	switch {
	case c == causeRoom && team:
		return refusedRoomShare
	case c == causeRoom:
		return refusedRoom
	case team:
		return refusedShare
	}
	return refusedFull
}

// limitedByCapacity reports whether the job is refused while the hosts of its pool cannot run it
// in time. Lasting tasks go first, times of a job are due later, and without a latency objective
// no wait is too long.
func (r *Record) limitedByCapacity() bool {
	for i := range r.Steps {
		if r.Steps[i].Lasting {
			return false
		}
	}
	return r.Times == 0 && (r.Goal > 0 || r.Stretch > 0)
}
