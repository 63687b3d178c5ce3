package job

import "time"

// loss says how a run was lost: how it came to an end that no worker has told of.
type loss string

// The ways in which runs are lost.
const (
	// lossCrash: its worker ended, and nothing had said that it would.
	lossCrash loss = "crashed"
	// lossExpired: its worker is silent and its lease is over. The worker may have
	// crashed, or be cut off.
	lossExpired loss = "lapsed"
	// lossLeft: its worker had said that it leaves, or its record had gone before it
	// fell silent.
	lossLeft loss = "left"
	// lossOrder: its machine was to be moved or maintained by an order of ours.
	lossOrder loss = "ordered"
	// lossUnlisted: its worker answers, and does not list it.
	lossUnlisted loss = "unlisted"
)

// lossCause returns how runs are lost with the life of the worker, which has ended.
func (w *worker) lossCause() loss {
	switch {
	case w.leaving:
		return lossOrder
	case w.Draining, !w.listed && !w.unlistedAt.IsZero() && w.answeredAt.After(w.unlistedAt):
		return lossLeft
	}
	return lossCrash
}

// knownAge returns how long the run is known to have been there: until its worker was last
// heard of. A run of an earlier owner that was listed had got over its start.
func (r *run) knownAge() time.Duration {
	d := max(0, r.at.answeredAt.Sub(r.sentAt))
	if r.adopted {
		d += startupWindow
	}
	return d
}
