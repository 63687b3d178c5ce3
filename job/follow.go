package job

import (
	"context"
	"errors"
	"time"

	"amberway/common"
	"amberway/platform"
)

// Times of following the store.
const (
	// watchLongest is the longest that one watch waits, and watchKnown the longest
	// until it is known whether the store answers: a node that hears nothing of it for
	// readyWithout calls itself not ready.
	watchLongest = 2 * readyWithout / 3
	watchKnown   = 9 * readyWithout / 10
	// followRetry is the pause after a list or watch that failed.
	followRetry = 150 * time.Millisecond
)

// watchTimes are the times of one watch.
type watchTimes struct {
	// wait is how long the store is asked to wait for a change.
	wait time.Duration
	// within is when the watch has failed. A kept connection that brings nothing in
	// half of the time beyond the wait is silent, and a new one has the other half:
	// whatever became of the first, a change is known by then.
	within time.Duration
}

// Bounds of watches, each by what the watch protects.
var (
	// ownerWatch is for the owner's key. A host that learns late of a vacancy
	// claims late; the lease of an owner that has died takes as long to end.
	ownerWatch = watchTimes{wait: ownerTTL, within: 2 * ownerTTL}
	// jobsWatch is for the jobs and workers of an owner: what a silent connection
	// holds up is known within the time in which another would own. While jobs
	// come, a watch answers sooner anyway.
	jobsWatch = watchTimes{wait: ownerTTL / 3, within: ownerTTL}
)

// configWatch is for the configuration, which has to be in force within a time of
// its acknowledgement. A tenth of that is left for taking it in.
func configWatch(inForce time.Duration) watchTimes {
	return watchTimes{wait: min(inForce/2, watchLongest), within: min(9*inForce/10, watchKnown)}
}

// follower keeps up with all keys under a prefix.
type follower struct {
	kv     *platform.KV
	prefix string
	watchTimes
	// gather is the pause after changes, so that one watch brings several.
	gather time.Duration
	// newest says that only the newest value of each key counts, and values are large:
	// where a watch brings some of one key, the rest is listed instead.
	newest bool
	log    *Journal
	// listed takes all entries; it is called at the start and again whenever
	// the history was lost.
	listed func([]platform.Entry)
	// changed takes changes in order.
	changed func([]platform.Event)
	// heard is called after each answer of the store, with its error.
	heard func(error)
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		at, _, ok := f.list(ctx)
		for ok && f.watch(ctx, at) {
			at, ok = f.settle(ctx)
		}
	}
}

// list reads all entries. It returns the revision from which to watch, and the newest of
// the entries'.
func (f *follower) list(ctx context.Context) (at, newest platform.Revision, ok bool) {
	l, at, err := f.kv.List(ctx, f.prefix)
	f.hear(ctx, err)
	if err != nil {
		common.Sleep(ctx, followRetry)
		return 0, 0, false
	}
	f.listed(l)
	for _, e := range l {
		newest = max(newest, e.Revision)
	}
	return at, newest, true
}

// settle lists until nothing has changed between two lists, and returns the revision from
// which to watch. A list brings one value of each key, whatever was written meanwhile.
func (f *follower) settle(ctx context.Context) (platform.Revision, bool) {
	before := platform.Revision(-1)
	for {
		at, newest, ok := f.list(ctx)
		if !ok || newest == before {
			return at, ok
		}
		before = newest
	}
}

// superseded reports whether one of the changes replaces an earlier one.
func superseded(l []platform.Event) bool {
	there := map[string]bool{}
	for _, e := range l {
		if there[e.Key] {
			return true
		}
		there[e.Key] = true
	}
	return false
}

// watch follows from the revision until the history is gone, or reports that changes may
// come faster than they can be read.
func (f *follower) watch(ctx context.Context, at platform.Revision) (behind bool) {
	for ctx.Err() == nil {
		l, next, err := f.watchOnce(ctx, at)
		f.hear(ctx, err)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			f.log.Write(Note{What: "history lost", Why: "list anew", Inputs: []any{"prefix", f.prefix, "revision", int64(at)}})
			return false
		case err != nil && f.newest:
			// What has changed may be too much to be read in time, and grows.
			common.Sleep(ctx, followRetry)
			return true
		case err != nil:
			common.Sleep(ctx, followRetry)
		default:
			at = next
			if len(l) > 0 {
				f.changed(l)
				common.Sleep(ctx, f.gather)
			}
			if f.newest && superseded(l) {
				return true
			}
		}
	}
	return false
}

func (f *follower) watchOnce(ctx context.Context, at platform.Revision) ([]platform.Event, platform.Revision, error) {
	if f.newest {
		return f.kv.WatchLarge(ctx, f.prefix, at, f.wait, f.within-f.wait)
	}
	ctx, cancel := context.WithTimeout(ctx, f.within)
	defer cancel()
	return f.kv.Watch(ctx, f.prefix, at, f.wait)
}

func (f *follower) hear(ctx context.Context, err error) {
	if f.heard != nil && ctx.Err() == nil {
		f.heard(err)
	}
}
