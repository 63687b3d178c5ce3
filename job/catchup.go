package job

import (
	"context"
	"strings"
	"time"

	"amberway/platform"
)

// Figures of catching up.
const (
	// quickAnswer is how long an answer may take that leaves nothing of note behind it.
	quickAnswer = 100 * time.Millisecond
	// maxCatchUpReads bounds the answers, where changes come as fast as they can be read.
	maxCatchUpReads = 4
)

// catchUp adds what has changed of the jobs while all else was read, and returns the
// revision from which to follow them. Over a narrow link that takes seconds, in which
// callers have cancelled jobs whose tasks must not be started any more.
func (o *owner) catchUp(ctx context.Context, e *Inherited, from platform.Revision) platform.Revision {
	for range maxCatchUpReads {
		sent := o.now()
		l, next, err := o.KV.WatchLarge(ctx, jobsPrefix, from, time.Millisecond, jobsWatch.timeout)
		if err != nil {
			// They are followed from here, as without this.
			o.log.Write(LogLine{What: "not caught up", Why: err.Error(), Fields: []any{"revision", int64(from)}})
			return from
		}
		for _, v := range l {
			if !v.Deleted && !strings.HasPrefix(v.Key, ownerKey) {
				e.addJob(o.jobEvent(v.Entry))
			}
		}
		from = next
		if len(l) == 0 || o.now().Sub(sent) < quickAnswer {
			return from
		}
	}
	return from
}
