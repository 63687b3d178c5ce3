package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"amberway/internal/local"
)

// Figures of a planned stop's callers.
const (
	// pausingCallers is how many callers keep connections open to a host that stops.
	pausingCallers = 6
	// leastPause and mostPause bound the time between two requests of one of them, which
	// is below what hosts tell callers that a connection stays open for.
	leastPause, mostPause = 50 * time.Millisecond, 1800 * time.Millisecond
)

// stop tells an entry host to stop and waits for its end. Callers that keep connections to
// it open use them until their answers tell them that the host closes them, and none of
// their requests may be lost.
func (r *Run) stop(x *local.JobsEntry) {
	var callers sync.WaitGroup
	for range pausingCallers {
		k, err := local.Keep(x.Callers, time.Now().Add(restartWithin))
		if err != nil {
			continue
		}
		callers.Go(func() {
			defer k.Close()
			r.useKept(x, k)
		})
	}
	time.Sleep(leastPause)
	_ = x.Signal(syscall.SIGTERM)
	if _, err := x.Wait(restartWithin); err != nil {
		r.brokef("%s was told to stop: %v", x.Name, err)
	}
	callers.Wait()
}

// useKept asks on the connection, with pauses, until an answer is the last.
func (r *Run) useKept(x *local.JobsEntry, k *local.Kept) {
	for {
		a, err := k.Ask(x.Waiting(queues[0]))
		if err != nil {
			r.brokef("%s lost a request on a kept connection as it stopped: %v", x.Name, err)
			return
		}
		r.count("kept")
		if a.Last {
			return
		}
		time.Sleep(leastPause + rand.N(mostPause-leastPause))
	}
}
