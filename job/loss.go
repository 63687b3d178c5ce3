package job

import "time"

// loss says how a run was lost: how it came to an end that no worker has told of.
type loss string

// The ways in which runs are lost.
const (
	// lossCrash: its worker ended, and nothing had said that it would.
	lossCrash loss = "crashed"
	// lossLapse: its worker is silent and its lease is over. The worker may have
	// crashed, or be cut off.
	lossLapse loss = "lapsed"
	// lossLeft: its worker had said that it leaves, or its record had gone before it
	// fell silent.
	lossLeft loss = "left"
	// lossOrder: its machine had an order of ours.
	lossOrder loss = "ordered"
	// lossUnlisted: its worker answers, and does not list it.
	lossUnlisted loss = "unlisted"
)

// lossWith returns how runs are lost with the life of a worker that has ended.
func (c *Core) lossWith(w *worker) loss {
	switch {
	case c.endsByOrder(w):
		return lossOrder
	case w.Draining, !w.listed && !w.unlistedAt.IsZero() && w.heardAt.After(w.unlistedAt):
		return lossLeft
	}
	return lossCrash
}

// endsByOrder reports whether the worker's machine has, or had in its life, an order of
// this owner or of the one before, which ends all that runs there.
func (c *Core) endsByOrder(w *worker) bool {
	if c.now.Before(c.heldUntil[w.Host]) {
		return true
	}
	m := c.byName[w.Host]
	return m != nil && (m.order != nil || m.orderTakenAt.After(w.knownSince))
}

// lived returns how long the run is known to have been there: until its worker was last
// heard of.
func (r *run) lived() time.Duration {
	return max(0, r.at.heardAt.Sub(r.sentAt))
}
