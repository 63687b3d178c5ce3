package job

import (
	"context"
	"errors"
	"time"

	"amberway/common"
	"amberway/platform"
)

// Parameters of following the store.
const (
	// maxWatchWait is the longest wait of a watch, maxWatchTimeout the longest time until
	// a watch has either been answered or failed: a node that has no answer from the store
	// for maxStoreSilence reports itself as not ready.
	maxWatchWait    = 2 * maxStoreSilence / 3
	maxWatchTimeout = 9 * maxStoreSilence / 10
	// followRetry is the pause after a list or watch that failed.
	followRetry = 150 * time.Millisecond
)

// watchTimes bounds one watch.
type watchTimes struct {
	// wait is how long the store is asked to wait for a change.
	wait time.Duration
	// timeout is how long until the watch has failed. A kept-alive connection that is silent
	// for half of the time beyond the wait is given up, and a new one has the other half:
	// even if the first connection is dead, changes arrive within the timeout.
	timeout time.Duration
}

// Times of watches, by what depends on the watch.
var (
	// ownerWatch is for the owner's key. A host that learns late of a vacancy
	// claims late; the lease of an owner that has died takes as long to expire.
	ownerWatch = watchTimes{wait: ownerTTL, timeout: 2 * ownerTTL}
	// jobsWatch is for the owner's view of jobs and workers: a silent connection delays
	// changes by no longer than it takes another host to become the owner. While jobs
	// arrive, a watch is answered sooner anyway.
	jobsWatch = watchTimes{wait: ownerTTL / 3, timeout: ownerTTL}
)

// configWatch returns the times for the configuration, which has to be in force within
// inForce of its acknowledgement. A tenth of that is left for applying it.
func configWatch(inForce time.Duration) watchTimes {
	return watchTimes{wait: min(inForce/2, maxWatchWait), timeout: min(9*inForce/10, maxWatchTimeout)}
}

// follower follows all keys under a prefix, by a list and then by watches.
type follower struct {
	kv     *platform.KV
	prefix string
	watchTimes
	// batchDelay is the pause after changes, so that the next watch returns several at once.
	batchDelay time.Duration
	// newestOnly is for large values of which only the newest of each key matters: if a
	// watch fails, or returns several values of a key, the keys are listed instead.
	newestOnly bool
	log        *Logger
	// onList is called with all entries as of a revision, at the start and again whenever the
	// history is compacted or may be too long to read.
	onList func([]platform.Entry, platform.Revision)
	// onChange is called with changes in order, and the revision up to which they are complete.
	onChange func([]platform.Event, platform.Revision)
	// onAnswer is called after each list or watch with its error, or with the time at which what
	// has been read was certainly current, by the clock now.
	onAnswer func(time.Time, error)
	now      func() time.Time
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		at, _, ok := f.list(ctx)
		for ok && f.watch(ctx, at) {
			at, ok = f.listUntilStable(ctx)
		}
	}
}

// list reads all entries. It returns the revision from which to watch, and the newest
// revision among the entries.
func (f *follower) list(ctx context.Context) (at, newest platform.Revision, ok bool) {
	sent := f.clock()
	l, at, err := f.kv.List(ctx, f.prefix)
	f.noteAnswer(ctx, sent, err)
	if err != nil {
		common.Sleep(ctx, followRetry)
		return 0, 0, false
	}
	f.onList(l, at)
	for _, e := range l {
		newest = max(newest, e.Revision)
	}
	return at, newest, true
}

// listUntilStable lists until nothing has changed between two lists, and returns the
// revision from which to watch. However often a key is written meanwhile, a list returns one
// value of it, where a watch would return all.
func (f *follower) listUntilStable(ctx context.Context) (platform.Revision, bool) {
	last := platform.Revision(-1)
	for {
		at, newest, ok := f.list(ctx)
		if !ok || newest == last {
			return at, ok
		}
		last = newest
	}
}

// hasSuperseded reports whether one of the changes replaces an earlier one.
func hasSuperseded(l []platform.Event) bool {
	seen := map[string]bool{}
	for _, e := range l {
		if seen[e.Key] {
			return true
		}
		seen[e.Key] = true
	}
	return false
}

// watch follows the changes from the revision. It returns false when the context ends or the
// history is compacted, and true when changes may arrive faster than they can be read.
func (f *follower) watch(ctx context.Context, at platform.Revision) (behind bool) {
	for ctx.Err() == nil {
		sent := f.clock()
		l, next, err := f.watchOnce(ctx, at)
		f.noteAnswer(ctx, f.watchedUntil(sent, l), err)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			f.log.Write(LogLine{What: "watch history compacted", Why: "listing again", Fields: []any{"prefix", f.prefix, "revision", int64(at)}})
			return false
		case err != nil && f.newestOnly:
			// The changes may be too many to read in time, and their number grows.
			common.Sleep(ctx, followRetry)
			return true
		case err != nil:
			common.Sleep(ctx, followRetry)
		default:
			at = next
			if len(l) > 0 {
				f.onChange(l, at)
				common.Sleep(ctx, f.batchDelay)
			}
			if f.newestOnly && hasSuperseded(l) {
				return true
			}
		}
	}
	return false
}

func (f *follower) watchOnce(ctx context.Context, at platform.Revision) ([]platform.Event, platform.Revision, error) {
	if f.newestOnly {
		return f.kv.WatchLarge(ctx, f.prefix, at, f.wait, f.timeout-f.wait)
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	return f.kv.Watch(ctx, f.prefix, at, f.wait)
}

// clock returns the present time, which only followers with onAnswer need.
func (f *follower) clock() time.Time {
	if f.now == nil {
		return time.Time{}
	}
	return f.now()
}

// watchedUntil returns the time up to which a watch has certainly shown all changes. One that
// was answered without changes has waited until its end.
func (f *follower) watchedUntil(sent time.Time, l []platform.Event) time.Time {
	until := sent.Add(f.wait)
	if now := f.clock(); len(l) > 0 || now.Before(until) {
		return sent
	}
	return until
}

func (f *follower) noteAnswer(ctx context.Context, currentAt time.Time, err error) {
	if f.onAnswer != nil && ctx.Err() == nil {
		f.onAnswer(currentAt, err)
	}
}
