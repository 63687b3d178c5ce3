package job

import "amberway/platform"

// A poll tells the worker the number of the last end that the store holds, and the worker forgets
// the ends up to there. The number only holds for one incarnation of the worker, while a poll that
// was not answered may be carried out by a later one, which would forget ends that nobody has
// read. Fences prevent this:
//
//   - Each poll with such a number has a lower fence than all orders to workers of that name that
//     are sent after it. An incarnation that has carried out one of these refuses the poll.
//   - No poll has such a number while a start that was sent before it has no answer.
//
// So an incarnation that has ends to forget has carried out a start with a higher fence than each
// such poll that was meant for an earlier one. Not covered are a start that was given up without an
// answer, and one of an earlier owner. Fences are revisions of the owner's writes, which rise, and
// are below the fence of the next owner.

// mayAcknowledge reports whether the next poll may acknowledge ends: the worker has some that it
// may forget, the orders that follow get a higher fence, and no earlier process of this host could
// take the ends for losses.
func (c *Core) mayAcknowledge(w *worker) bool {
	return w.mayForgetEnds() && c.latestFence > w.fence && !c.predecessorMayRestart()
}

// requestFence has a write made, which may be empty, if the worker's ends cannot be acknowledged
// before the next one.
func (c *Core) requestFence(w *worker) {
	if w.mayForgetEnds() && c.latestFence <= w.fence && c.inFlight == nil && c.writeDueAt.IsZero() {
		c.writeDueAt = c.now.Add(writeDelay)
	}
}

// mayForgetEnds reports whether the worker has stored ends that it may forget. It may not while it
// may have restarted unnoticed, or may carry out a start that was not answered.
func (w *worker) mayForgetEnds() bool {
	return w.lastAckable() > w.lastEndAcked && w.missedPolls == 0 && !w.unverified && !w.hasUnconfirmedStart()
}

// hasUnconfirmedStart reports whether the worker may still carry out a start.
func (w *worker) hasUnconfirmedStart() bool {
	for _, r := range w.runs {
		if !r.startConfirmed && !r.stoppedUnlisted {
			return true
		}
	}
	return false
}

// orderFence returns the fence of an order that is about to be sent.
func (w *worker) orderFence() platform.Fence {
	w.sentFence = max(w.sentFence, w.fence)
	return w.fence
}

// raiseFence gives the orders that follow the highest fence that there is.
func (c *Core) raiseFence(w *worker) {
	w.fence = c.latestFence
}

// overtaken reports whether an order that was refused by its fence may have arrived behind a later
// one of this owner. If not, another owner has given the worker orders.
func (c *Core) overtaken(w *worker, f platform.Fence) bool {
	for _, o := range c.incarnationsOn(w.Host, w.ID.Name()) {
		if o.sentFence > f {
			return true
		}
	}
	return false
}

// stepDownFenced ends the ownership, as a worker has orders of another owner.
func (c *Core) stepDownFenced() {
	c.emit(StepDown{Why: "a worker has seen a higher fence"})
}

// logOvertaken logs that an order was refused because a later one came first.
func (c *Core) logOvertaken(w *worker, order string, f platform.Fence) {
	c.emit(LogLine{What: "order overtaken", Worker: w.ID, Why: "a later order of this owner came first", Fields: []any{"order", order, "fence", int64(f), "now", int64(w.fence)}})
}
