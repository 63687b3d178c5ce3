package job

import (
	"time"

	"amberway/platform"
)

// A poll that extends the lease may be carried out late, by a later incarnation of its worker. The end of
// the lease is a time on the earlier incarnation's clock, which may be far ahead: the worker cuts the lease to
// the longest that it accepts. The later incarnation refuses such a poll once it has carried out an order with a
// higher fence, and it comes no later than maxPollDelay after the owner decided on it. Until the longest lease has
// passed since the first of the two, the worker's lease does not count as expired.

// maxPollDelay is the longest time until a poll is carried out: the client may repeat it while it waits for an answer.
const maxPollDelay = pollWait + pollSlack + maxOrderDelay

// markRestarted notes that orders to an earlier incarnation, with fences up to the given one, may yet give the
// worker a longer lease than any order to itself.
func (c *Core) markRestarted(w *worker, earlier platform.Fence) {
	w.restarted, w.fenced = true, false
	w.earlierFence = max(w.earlierFence, earlier)
	w.expiresBy = latest(w.expiresBy, c.lateLeaseEnd(w))
	if w.inRoster {
		w.inRoster = false
		c.markRosterDirty(w)
	}
}

// lateLeaseEnd returns when all runs on a restarted worker must have ended that knows no higher fence yet. On one that has
// not answered there can only be runs that earlier owners started, and it refuses late polls since.
func (c *Core) lateLeaseEnd(w *worker) time.Time {
	if !w.contacted {
		return c.earlierStartsUntil.Add(inheritedLease)
	}
	return latest(c.now.Add(maxPollDelay), c.earlierLeasesUntil).Add(inheritedLease)
}

// noteAnsweredFence notes that the worker has carried out an order with the fence.
func (c *Core) noteAnsweredFence(w *worker, f platform.Fence) {
	if w.restarted && !w.fenced && f > w.earlierFence {
		w.fenced = true
		w.expiresBy = c.now.Add(inheritedLease)
	}
}

// forgetRestart has the roster say no longer that the worker has restarted, once no lease can last that an
// order to an earlier incarnation gave it.
func (c *Core) forgetRestart(w *worker) {
	if w.restarted && w.contacted && w.inRoster && !w.unverified && c.now.After(w.expiresBy) {
		w.restarted = false
		c.markRosterDirty(w)
	}
}
