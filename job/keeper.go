package job

import (
	"context"
	"errors"
	"strconv"
	"time"

	"amberway/common"
	"amberway/platform"
)

// Keys of an owner.
const (
	// ownerKey holds who owns, under the owner's lease. It lies beside the jobs,
	// so that an owner which follows them learns that it has been replaced
	// before it learns of any job that came after that.
	ownerKey = jobsPrefix + "owner"
	// writeKey is written with each write of an owner, so that a write which is
	// carried out late meets its condition.
	writeKey = ownerOnlyPrefix + "write"
)

// unknownRetry is the pause before a write is repeated whose answer was lost.
const unknownRetry = 100 * time.Millisecond

// storeWriter makes the writes of one owner, one after the other.
type storeWriter struct {
	kv    *platform.KV
	fence platform.Fence
	// last is the revision of the last write.
	last platform.Revision
}

// errDeposed says that somebody else owns.
var errDeposed = errors.New("another owner has come")

// write makes one write. It repeats a write whose answer was lost until it knows
// what became of it, and calls slow when it first has to.
func (k *storeWriter) write(ctx context.Context, a WriteStore, slow func()) error {
	id := strconv.FormatInt(int64(k.fence), 10) + "." + strconv.FormatInt(a.Number, 10)
	t := platform.Txn{
		Guards: []platform.Guard{
			{Key: ownerKey, Revision: platform.Revision(k.fence)},
			{Key: writeKey, Revision: k.last},
		},
		Puts:    append([]platform.Put{{Key: writeKey, Value: []byte(id)}}, a.Puts...),
		Deletes: a.Deletes,
	}
	unsure := false
	for {
		at, found, err := k.kv.Commit(ctx, t)
		switch {
		case err == nil:
			k.last = at
			return nil
		case errors.Is(err, platform.ErrConflict):
			return k.resolveConflict(found, id)
		case errors.Is(err, platform.ErrUnknown):
			unsure = true
		case !unsure:
			return err
		}
		slow()
		common.Sleep(ctx, unknownRetry)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// resolveConflict tells a write of its own, which was done although its answer was
// lost, from the end of the ownership.
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
