package job

import (
	"context"
	"strings"
	"time"

	"amberway/platform"
)

// Figures of catching up.
const (
	// caughtUpWithin is how long an answer may take that leaves nothing of note behind it.
	caughtUpWithin = 100 * time.Millisecond
	// catchUpReads bounds the answers, where changes come as fast as they can be read.
	catchUpReads = 4
)

// catchUp adds what has changed of the jobs while all else was read, and returns the
// revision from which to follow them. Over a narrow link that takes seconds, in which
// callers have cancelled jobs whose tasks must not be started any more.
func (o *owner) catchUp(ctx context.Context, e *Inherited, from platform.Revision) platform.Revision {
	for range catchUpReads {
		sent := o.now()
		l, next, err := o.KV.WatchLarge(ctx, jobsPrefix, from, time.Millisecond, jobsWatch.within)
		if err != nil {
			// They are followed from here, as without this.
			o.log.Write(Note{What: "not caught up", Why: err.Error(), Inputs: []any{"revision", int64(from)}})
			return from
		}
		for _, v := range l {
			if !v.Deleted && !strings.HasPrefix(v.Key, ownerKey) {
				e.addJob(o.jobEvent(v.Entry))
			}
		}
		from = next
		if len(l) == 0 || o.now().Sub(sent) < caughtUpWithin {
			return from
		}
	}
	return from
}
