package job

import (
	"time"

	"amberway/platform"
)

// A worker lists only some of its ends at once. Until it has listed all of them, a run that is not in
// progress may have succeeded.

// noteListedEnds notes whether the worker has listed all of its ends.
func (c *Core) noteListedEnds(w *worker, p platform.PollReply) {
	if w.moreEnds == p.MoreEnds {
		return
	}
	w.moreEnds = p.MoreEnds
	what := "all ends listed"
	if w.moreEnds {
		what = "not all ends listed"
	}
	c.emit(LogLine{What: what, Worker: w.ID, Fields: []any{"ends", len(p.Ended), "stored", w.lastEndStored, "acked", w.lastEndAcked, "runs", len(w.runs)}})
	// Inherited jobs may have waited for the ends.
	c.reorder(w.Service)
}

// endUnlisted handles a run that is not in progress while the worker does not list all ends. The
// run may have succeeded, so that its task waits for the ends that are listed later. A tainted
// worker may never list them: the task is started again, and the end is not acknowledged.
func (c *Core) endUnlisted(r *run, sentAt time.Time) {
	w := r.worker
	r.stoppedUnlisted = r.phase == stopping && r.stopConfirmed && r.knownAt.Before(sentAt)
	if w.hidesEnds() || r.phase == starting {
		return
	}
	w.abandoned[rawRunID{task: r.task.key().String(), number: r.number}] = true
	c.dropRun(r, lossUnlisted, "a tainted worker does not list its end")
}
