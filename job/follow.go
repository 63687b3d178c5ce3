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
	// watchWait is how long one watch waits. A watch that a cut has silenced is
	// noticed after it, and a configuration has to be in force in two seconds.
	watchWait = 2 * time.Second
	// ownerWatchWait is the same for an owner, whose watches bring jobs and
	// workers: a watch that was cut without a word may cost half a second, not
	// two. While jobs come, it answers sooner anyway.
	ownerWatchWait = 500 * time.Millisecond
	// watchSlack is how much longer than its wait a watch may take, after which its
	// connection counts as silent: a slow store takes a quarter of a second.
	watchSlack = 500 * time.Millisecond
	// followRetry is the pause after a list or watch that failed.
	followRetry = 150 * time.Millisecond
)

// follower keeps up with all keys under a prefix.
type follower struct {
	kv     *platform.KV
	prefix string
	// wait is how long one watch waits.
	wait time.Duration
	// gather is the pause after changes, so that one watch brings several.
	gather time.Duration
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
		at, ok := f.list(ctx)
		if ok {
			f.watch(ctx, at)
		}
	}
}

func (f *follower) list(ctx context.Context) (platform.Revision, bool) {
	l, at, err := f.kv.List(ctx, f.prefix)
	f.hear(ctx, err)
	if err != nil {
		common.Sleep(ctx, followRetry)
		return 0, false
	}
	f.listed(l)
	return at, true
}

// watch follows from the revision until the history is gone.
func (f *follower) watch(ctx context.Context, at platform.Revision) {
	for ctx.Err() == nil {
		l, next, err := f.watchOnce(ctx, at)
		f.hear(ctx, err)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			f.log.Write(Note{What: "history lost", Why: "list anew", Inputs: []any{"prefix", f.prefix, "revision", int64(at)}})
			return
		case err != nil:
			common.Sleep(ctx, followRetry)
		default:
			at = next
			if len(l) > 0 {
				f.changed(l)
				common.Sleep(ctx, f.gather)
			}
		}
	}
}

func (f *follower) watchOnce(ctx context.Context, at platform.Revision) ([]platform.Event, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, f.wait+watchSlack)
	defer cancel()
	return f.kv.Watch(ctx, f.prefix, at, f.wait)
}

func (f *follower) hear(ctx context.Context, err error) {
	if f.heard != nil && ctx.Err() == nil {
		f.heard(err)
	}
}
