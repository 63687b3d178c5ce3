package job

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"amberway/common"
)

// The actions of a step, and their order, follow from the events so far. They may not depend on
// the order of a map, which differs each time: a fault that was found once could not be repeated.

// inOrderAdded holds what the owner iterates over in the order in which it was added. Sorting it
// at each tick would cost too much.
type inOrderAdded struct {
	workersByAge  common.OrderedSet[*worker]
	machinesByAge common.OrderedSet[*machine]
	// firstToPoll is the worker with which the next round over all workers begins, firstToResend
	// the machine with which the next round of repeated orders does. They were the first that
	// had to wait for the budget in the round before: those that always came first would
	// otherwise use it up.
	firstToPoll   *worker
	firstToResend *machine
}

// reconcileWorkers does what is due for each worker.
func (c *Core) reconcileWorkers() {
	c.flow.busyWorkers = 0
	var held, heldFirstPoll *worker
	for w := range c.workersByAge.From(c.firstToPoll) {
		c.flow.pollHeld = false
		c.reconcileWorker(w)
		if len(w.runs) > 0 {
			c.flow.busyWorkers++
		}
		switch {
		case !c.flow.pollHeld:
		case w.contacted:
			held = cmp.Or(held, w)
		default:
			heldFirstPoll = cmp.Or(heldFirstPoll, w)
		}
	}
	// The limit for first polls is the stricter one, so that they wait longest.
	c.firstToPoll = cmp.Or(heldFirstPoll, held, c.firstToPoll)
}

// resendOrders repeats the orders to machines without a response that are due.
func (c *Core) resendOrders() {
	var held *machine
	for m := range c.machinesByAge.From(c.firstToResend) {
		if m.resendDue(c.now) && !c.resend(m) {
			held = cmp.Or(held, m)
		}
	}
	c.firstToResend = cmp.Or(held, c.firstToResend)
}

// sorted iterates over a small map in the order of its keys.
func sorted[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if len(m) == 0 {
			return
		}
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}
