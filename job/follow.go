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
	// maxWatchWait is the longest that one watch waits, and watchKnown the longest
	// until it is known whether the store answers: a node that hears nothing of it for
	// readyWithout calls itself not ready.
	maxWatchWait    = 2 * maxStoreSilence / 3
	maxWatchTimeout = 9 * maxStoreSilence / 10
	// followRetry is the pause after a list or watch that failed.
	followRetry = 150 * time.Millisecond
)

// watchTimes are the times of one watch.
type watchTimes struct {
	// wait is how long the store is asked to wait for a change.
	wait time.Duration
	// timeout is when the watch has failed. A kept connection that brings nothing in
	// half of the time beyond the wait is silent, and a new one has the other half:
	// whatever became of the first, a change is known by then.
	timeout time.Duration
}

// Bounds of watches, each by what the watch protects.
var (
	// ownerWatch is for the owner's key. A host that learns late of a vacancy
	// claims late; the lease of an owner that has died takes as long to end.
	ownerWatch = watchTimes{wait: ownerTTL, timeout: 2 * ownerTTL}
	// jobsWatch is for the jobs and workers of an owner: what a silent connection
	// holds up is known within the time in which another would own. While jobs
	// come, a watch answers sooner anyway.
	jobsWatch = watchTimes{wait: ownerTTL / 3, timeout: ownerTTL}
)

// configWatch is for the configuration, which has to be in force within a time of
// its acknowledgement. A tenth of that is left for taking it in.
func configWatch(inForce time.Duration) watchTimes {
	return watchTimes{wait: min(inForce/2, maxWatchWait), timeout: min(9*inForce/10, maxWatchTimeout)}
}

// follower keeps up with all keys under a prefix.
type follower struct {
	kv     *platform.KV
	prefix string
	watchTimes
	// gather is the pause after changes, so that one watch brings several.
	gather time.Duration
	// newestOnly says that only the newest value of each key counts, and values are large:
	// where a watch brings some of one key, the rest is listed instead.
	newestOnly bool
	log        *Logger
	// onList takes all entries; it is called at the start and again whenever
	// the history was lost.
	onList func([]platform.Entry)
	// onChange takes changes in order.
	onChange func([]platform.Event)
	// onAnswer is called after each answer of the store, with its error.
	onAnswer func(error)
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

// list reads all entries. It returns the revision from which to watch, and the newest of
// the entries'.
func (f *follower) list(ctx context.Context) (at, newest platform.Revision, ok bool) {
	l, at, err := f.kv.List(ctx, f.prefix)
	f.noteAnswer(ctx, err)
	if err != nil {
		common.Sleep(ctx, followRetry)
		return 0, 0, false
	}
	f.onList(l)
	for _, e := range l {
		newest = max(newest, e.Revision)
	}
	return at, newest, true
}

// listUntilStable lists until nothing has changed between two lists, and returns the revision from
// which to watch. A list brings one value of each key, whatever was written meanwhile.
func (f *follower) listUntilStable(ctx context.Context) (platform.Revision, bool) {
	before := platform.Revision(-1)
	for {
		at, newest, ok := f.list(ctx)
		if !ok || newest == before {
			return at, ok
		}
		before = newest
	}
}

// hasSuperseded reports whether one of the changes replaces an earlier one.
func hasSuperseded(l []platform.Event) bool {
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
		f.noteAnswer(ctx, err)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			f.log.Write(LogLine{What: "history lost", Why: "list anew", Fields: []any{"prefix", f.prefix, "revision", int64(at)}})
			return false
		case err != nil && f.newestOnly:
			// What has changed may be too much to be read in time, and grows.
			common.Sleep(ctx, followRetry)
			return true
		case err != nil:
			common.Sleep(ctx, followRetry)
		default:
			at = next
			if len(l) > 0 {
				f.onChange(l)
				common.Sleep(ctx, f.gather)
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

func (f *follower) noteAnswer(ctx context.Context, err error) {
	if f.onAnswer != nil && ctx.Err() == nil {
		f.onAnswer(err)
	}
}
