package job

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"amberway/common"
	"amberway/platform"
)

// tenure is one period of ownership.
type tenure struct {
	fence platform.Fence
	lease platform.LeaseID
	// replaced is the lease of the claim that was replaced, or zero.
	replaced platform.LeaseID
	since    time.Time
	// suspended is for how long the host had been suspended when it claimed ownership.
	suspended time.Duration
}

// claim creates the owner's key with a new lease.
func (e *election) claim(ctx context.Context) (tenure, error) {
	e.endSuccession()
	return e.claimAfter(ctx, ownerClaim{})
}

// claimAfter writes the owner's key with a new lease in place of the claim before, which is zero if
// there is no key.
func (e *election) claimAfter(ctx context.Context, before ownerClaim) (tenure, error) {
	t := tenure{replaced: before.lease, since: e.now(), suspended: e.suspended()}
	var err error
	if t.lease, err = e.kv.Grant(ctx, ownerTTL); err != nil {
		return tenure{}, err
	}
	if t.fence, err = e.writeClaim(ctx, t, before); err != nil {
		e.log.Write(LogLine{What: "claim failed", Why: err.Error()})
		go e.abandonClaim(ctx, t, before)
		return tenure{}, err
	}
	e.endSuccession()
	self := e.self
	self.Fence = t.fence
	e.setOwner(self)
	return t, nil
}

// writeClaim writes the owner's key and returns the revision. If the answer is lost, it repeats the
// write, whose conflict shows by the process and the lease whether the claim in the store is this
// one, for as long as the lease can be renewed in time after that.
func (e *election) writeClaim(ctx context.Context, t tenure, before ownerClaim) (platform.Fence, error) {
	b, err := json.Marshal(e.self)
	if err != nil {
		return 0, err
	}
	x := platform.Txn{
		Conditions: []platform.Condition{{Key: ownerKey, Revision: platform.Revision(before.Fence)}},
		Puts:       []platform.Put{{Key: ownerKey, Value: b, Lease: t.lease}},
	}
	for {
		at, found, err := e.kv.Commit(ctx, x)
		switch {
		case errors.Is(err, platform.ErrConflict):
			return e.ownClaim(found, t.lease)
		case !errors.Is(err, platform.ErrUnknownOutcome), ctx.Err() != nil, e.now().Sub(t.since) > ownerTTL-renewEvery:
			return platform.Fence(at), err
		}
		common.Sleep(ctx, unknownRetry)
	}
}

// ownClaim returns the revision of the claim that this process has made under the lease, or
// ErrConflict if the entries that conflict with it hold another one.
func (e *election) ownClaim(found []platform.Entry, lease platform.LeaseID) (platform.Fence, error) {
	for _, v := range found {
		if v.Key != ownerKey {
			continue
		}
		if c := e.decodeClaim(v); e.succession.isSelf(c.Owner) && c.lease == lease {
			return c.Fence, nil
		}
	}
	return 0, platform.ErrConflict
}

// abandonClaim gives up a claim that may have been made. Once its lease is revoked, it cannot be made
// any more. If it has replaced another claim, that one's lease is revoked as well.
func (e *election) abandonClaim(ctx context.Context, t tenure, before ownerClaim) {
	e.revokeLease(ctx, t.lease)
	if t.replaced == 0 {
		return
	}
	v, err := e.kv.Get(context.WithoutCancel(ctx), ownerKey)
	if err != nil || v.Revision != platform.Revision(before.Fence) {
		e.revokeLease(ctx, t.replaced)
	}
}

// revokeLeases revokes the lease of a tenure, and before it that of the claim which it replaced: as
// long as that lasts, an earlier process may take itself for the owner.
func (e *election) revokeLeases(ctx context.Context, t tenure) {
	if t.replaced != 0 {
		e.revokeLease(ctx, t.replaced)
	}
	e.revokeLease(ctx, t.lease)
}

// revokeLease revokes a lease, and with it deletes the owner's key if it is under the lease.
// It retries for as long as the lease may last: leases do not expire while the store is
// down.
func (e *election) revokeLease(ctx context.Context, l platform.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	for {
		err := e.kv.Revoke(ctx, l)
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			return
		}
		e.log.Write(LogLine{What: "lease not revoked", Why: err.Error()})
		common.Sleep(ctx, claimRetry)
		if ctx.Err() != nil {
			return
		}
	}
}
