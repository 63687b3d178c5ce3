package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"amberway/internal/standin/fleet"
)

const (
	// lateWriteDelay is how much later the store executes writes.
	lateWriteDelay = 3 * time.Second
	// earlyIDBase is the first id of jobs that are cancelled although they may not have been accepted.
	earlyIDBase = 0x5000000
)

// lateWrites returns periods in which the store executes writes late.
func lateWrites(r *rand.Rand, until time.Duration) []Event {
	var l []Event
	for at := randomDuration(r, time.Second, 3*time.Second); at < until; {
		e := Event{At: at, Kind: StoreLateWrites, Duration: randomDuration(r, 200*time.Millisecond, 900*time.Millisecond)}
		l = append(l, e)
		at += e.Duration + randomDuration(r, time.Second, 5*time.Second)
	}
	return l
}

// runEarlyCancelledJob submits a lasting job once and cancels it whatever the answer was. From the
// acknowledgement on, it counts as cancelled also if it was not known.
func (r *Run) runEarlyCancelledJob(n int) {
	id, queue := fmt.Sprintf("%016x", earlyIDBase+n), queues[n%len(queues)]
	j := fleet.Job{Spec: "lasts", Steps: []fleet.Step{{Count: 1, CPU: 200, MemMB: 10, Daemon: true}}}
	code, _, err := r.entry(n).Call(http.MethodPost, queue, id, j)
	if err == nil && code == http.StatusServiceUnavailable {
		return
	}
	for i := n + 1; !r.settled(); i++ {
		code, _, err := r.entry(i).Call(http.MethodDelete, queue, id, nil)
		if err == nil && (code == http.StatusOK || code == http.StatusGone) {
			r.count("cancelled early")
			r.mu.Lock()
			defer r.mu.Unlock()
			r.cancellations = append(r.cancellations, &cancellation{id: id, ackedAt: time.Now(), reported: map[string]bool{}})
			return
		}
		time.Sleep(retryDelay)
	}
}
