package job

import "time"

// loss is how a run was lost, that is, ended without a report from its worker.
type loss string

// The ways in which runs are lost. They appear in logs and metrics.
const (
	// lossCrash: its worker ended without notice.
	lossCrash loss = "crashed"
	// lossExpired: its worker is silent and the lease has expired. The worker may have crashed
	// or be partitioned.
	lossExpired loss = "lapsed"
	// lossLeft: its worker had announced its end, or its record had been removed before it fell
	// silent.
	lossLeft loss = "left"
	// lossOrder: its machine was to be moved or maintained by an order of the owner.
	lossOrder loss = "ordered"
	// lossUnlisted: its worker answers, but does not list it.
	lossUnlisted loss = "unlisted"
)

// lossCause returns how the runs of the worker, which has ended, were lost.
func (w *worker) lossCause() loss {
	switch {
	case w.cordoned:
		return lossOrder
	case w.Draining, !w.listed && !w.unlistedAt.IsZero() && w.answeredAt.After(w.unlistedAt):
		return lossLeft
	}
	return lossCrash
}

// knownAge returns how long the run is known to have been running, up to the last answer of its
// worker. An adopted run had already survived its startup window.
func (r *run) knownAge() time.Duration {
	d := max(0, r.worker.answeredAt.Sub(r.sentAt))
	if r.adopted {
		d += startupWindow
	}
	return d
}
