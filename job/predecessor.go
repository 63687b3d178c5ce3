package job

import (
	"context"
	"errors"
	"time"

	"amberway/common"
	"amberway/platform"
)

// The next process on the host that the owner's record names takes over without waiting for the
// lease of the earlier process to expire. It replaces the owner's key, on the condition that the key
// is unchanged, and then revokes the earlier process's lease. It acts only after the revocation: until
// then, renewals of that lease succeed, and the earlier process, if it is still alive, takes itself for
// the owner.

// takeoverKind is how a host came to own. It appears in logs and metrics.
type takeoverKind string

const (
	// takeoverVacant: there was no owner.
	takeoverVacant takeoverKind = "vacant"
	// takeoverPredecessor: the claim of the host's earlier process was replaced.
	takeoverPredecessor takeoverKind = "predecessor"
)

// ownerClaim is a claim of ownership, as the store holds it.
type ownerClaim struct {
	Owner
	// lease is the lease that the claim is under.
	lease platform.LeaseID
}

// succession decides whether a process may replace the claim of an earlier process of its host.
// It may replace only a claim that was there when it first listed the owner's key, and only until
// it has claimed itself. Otherwise two live processes of one name would take the key from each other
// in turn.
type succession struct {
	self Owner
	// listed says that the owner's key has been listed, configured that the configuration has been
	// read.
	listed, configured bool
	// listedAt is when it was first listed.
	listedAt time.Time
	// claim is the earlier process's claim; it is zero if there is none, or none that may be replaced
	// any more.
	claim ownerClaim
}

// noteList notes the claim that a list of the owner's key has shown, which is zero if there is none.
// Only the first list counts. A claim whose lease is not known is left to expire.
func (s *succession) noteList(c ownerClaim, now time.Time) {
	if s.listed {
		return
	}
	s.listed, s.listedAt = true, now
	if c.Name == s.self.Name && c.Process != s.self.Process && c.lease != 0 {
		s.claim = c
	}
}

// noteClaim notes that the process has claimed ownership, or that the claim to be replaced is gone.
func (s *succession) noteClaim() {
	s.listed = true
	s.claim = ownerClaim{}
}

// replaceable returns the claim that the process may replace now. Without a configuration, an owner
// would know none of the pools of the jobs and workers that it inherits.
func (s *succession) replaceable(current Owner) (ownerClaim, bool) {
	return s.claim, s.configured && s.claim.Fence != 0 && s.claim.Owner == current
}

// isSelf reports whether the claim is this process's own.
func (s *succession) isSelf(o Owner) bool {
	return o.Name == s.self.Name && o.Process == s.self.Process
}

// noteOwnerList notes the entry of the owner's key in a list, or its absence.
func (e *election) noteOwnerList(l []platform.Entry) {
	var c ownerClaim
	for _, v := range l {
		if v.Key == ownerKey {
			c = e.decodeClaim(v)
		}
	}
	e.mu.Lock()
	first := !e.succession.listed
	e.succession.noteList(c, e.now())
	found := e.succession.claim.Fence != 0
	e.mu.Unlock()
	if first && found {
		e.log.Write(LogLine{What: "predecessor found", Why: "the owner's key names an earlier process of this host", Fields: []any{"fence", int64(c.Fence), "process", c.Process}})
	}
	e.wakeToReplace()
}

// noteConfigured notes that the configuration has been read.
func (e *election) noteConfigured() {
	e.mu.Lock()
	before := e.succession.configured
	e.succession.configured = true
	e.mu.Unlock()
	if !before {
		e.wakeToReplace()
	}
}

// wakeToReplace wakes campaign if there is a claim to replace.
func (e *election) wakeToReplace() {
	if _, ok := e.replaceable(); ok {
		e.wakeCampaign()
	}
}

func (e *election) replaceable() (ownerClaim, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.succession.replaceable(e.current)
}

func (e *election) endSuccession() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.succession.noteClaim()
}

// otherOwner returns the owner if it is another process that can be called. An earlier process of
// this host has this host's address.
func (e *election) otherOwner() (Owner, bool) {
	o := e.owner()
	return o, o.Name != "" && !e.succession.isSelf(o) && o.Peer != e.self.Peer
}

// replacePredecessor replaces the claim of this host's earlier process, if there is one, and returns
// a tenure if that succeeds. It retries until the claim is replaced or gone: a repeated claim has the
// same condition, so it replaces nothing else.
func (e *election) replacePredecessor(ctx context.Context) (tenure, bool) {
	for ctx.Err() == nil && !e.isWithdrawn() {
		c, ok := e.replaceable()
		if !ok {
			break
		}
		t, err := e.claimAfter(ctx, c)
		if errors.Is(err, platform.ErrConflict) {
			e.endSuccession()
			break
		}
		if err == nil {
			e.logReplaced(c, t)
			return t, true
		}
		common.Sleep(ctx, claimRetry)
	}
	return tenure{}, false
}

func (e *election) logReplaced(c ownerClaim, t tenure) {
	e.mu.Lock()
	age := e.now().Sub(e.succession.listedAt)
	e.mu.Unlock()
	e.log.Write(LogLine{What: "predecessor replaced", Fields: []any{
		"fence", int64(t.fence), "earlier", int64(c.Fence), "process", c.Process, "list_age_ms", age.Milliseconds(),
	}})
}

// revokePredecessor revokes the lease of the claim that this owner has replaced, if any.
func (o *owner) revokePredecessor(ctx context.Context) error {
	if o.tenure.replaced == 0 {
		return nil
	}
	err := o.KV.Revoke(ctx, o.tenure.replaced)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}

// kind returns how the host came to own.
func (t tenure) kind() takeoverKind {
	if t.replaced != 0 {
		return takeoverPredecessor
	}
	return takeoverVacant
}

// inheritPredecessor takes into account that the earlier process of this host may still be alive.
// Its last renewal may have been sent just before its lease was revoked, and for ownerTTL after that
// it orders machines, and starts lost tasks again without asking the store. Otherwise an owner takes
// over only after that time.
func (c *Core) inheritPredecessor(ordered []string) {
	c.predecessorUntil = c.now.Add(ownerTTL)
	for _, m := range ordered {
		c.noOrdersUntil[m] = c.predecessorUntil.Add(handoverPause)
	}
}

// predecessorMayRestart reports whether an earlier process of this host may still start a lost task
// again, on a worker that does not know this owner's fence. An end that no worker has any more, and
// that process has not read, looks like a loss to it.
func (c *Core) predecessorMayRestart() bool {
	return c.now.Before(c.predecessorUntil) && len(c.uncontacted) > 0
}
