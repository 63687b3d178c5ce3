package job

import (
	"context"
	"strings"
	"time"

	"amberway/platform"
)

// Limits of catching up.
const (
	// quickAnswer is the time within which a watch has to be answered for the owner to
	// count as caught up: hardly anything can have changed meanwhile.
	quickAnswer = 100 * time.Millisecond
	// maxCatchUpReads bounds the number of watches where changes arrive as fast as they
	// can be read.
	maxCatchUpReads = 4
)

// catchUp adds the changes of jobs that were made while the other lists were read, and
// returns the revision from which to follow the jobs. Over a narrow link the lists take
// seconds, and tasks of jobs that callers cancel meanwhile must not be started.
func (o *owner) catchUp(ctx context.Context, e *Inherited, from platform.Revision) platform.Revision {
	for range maxCatchUpReads {
		sent := o.now()
		l, next, err := o.KV.WatchLarge(ctx, jobsPrefix, from, time.Millisecond, jobsWatch.timeout)
		if err != nil {
			// The changes arrive by the watch that starts at this revision.
			o.log.Write(LogLine{What: "catch-up failed", Why: err.Error(), Fields: []any{"revision", int64(from)}})
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
