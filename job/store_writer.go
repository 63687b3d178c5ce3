package job

import (
	"context"
	"errors"
	"strconv"
	"time"

	"amberway/common"
	"amberway/platform"
)

// Keys that guard the writes of an owner.
const (
	// ownerKey names the owner, under the owner's lease. It is under the prefix of
	// the jobs, so that an owner that watches them learns that it has been replaced
	// before it learns of any job that was added after that.
	ownerKey = jobsPrefix + "owner"
	// writeKey is written with each write of an owner. A write that the store carries
	// out late, after the next one, fails the guard on its revision.
	writeKey = ownerOnlyPrefix + "write"
)

// unknownRetry is the pause before a write is repeated whose answer was lost.
const unknownRetry = 100 * time.Millisecond

// storeWriter makes the writes of one owner, one at a time.
type storeWriter struct {
	kv    *platform.KV
	fence platform.Fence
	// last is the revision of the last write.
	last platform.Revision
}

// errDeposed reports that this owner has been replaced.
var errDeposed = errors.New("another owner has taken over")

// write makes one write. If its answer is lost, it repeats the write until it knows
// whether the write was done, and calls slow before each repetition.
func (k *storeWriter) write(ctx context.Context, a WriteStore, slow func()) error {
	id := strconv.FormatInt(int64(k.fence), 10) + "." + strconv.FormatInt(a.Number, 10)
	t := platform.Txn{
		Conditions: []platform.Condition{
			{Key: ownerKey, Revision: platform.Revision(k.fence)},
			{Key: writeKey, Revision: k.last},
		},
		Puts:    append([]platform.Put{{Key: writeKey, Value: []byte(id)}}, a.Puts...),
		Deletes: a.Deletes,
	}
	unconfirmed := false
	for {
		at, found, err := k.kv.Commit(ctx, t)
		switch {
		case err == nil:
			k.last = at
			return nil
		case errors.Is(err, platform.ErrConflict):
			return k.resolveConflict(found, id)
		case errors.Is(err, platform.ErrUnknownOutcome):
			unconfirmed = true
		case !unconfirmed:
			return err
		}
		slow()
		common.Sleep(ctx, unknownRetry)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// resolveConflict returns nil if the conflict is due to the write itself, which was done
// although its answer was lost, and errDeposed otherwise.
func (k *storeWriter) resolveConflict(found []platform.Entry, id string) error {
	owned := false
	for _, e := range found {
		if e.Key == ownerKey && e.Revision == platform.Revision(k.fence) {
			owned = true
		}
	}
	for _, e := range found {
		if owned && e.Key == writeKey && string(e.Value) == id {
			k.last = e.Revision
			return nil
		}
	}
	return errDeposed
}
