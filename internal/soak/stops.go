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
	// idleCallers is how many callers keep connections open to a host that stops.
	idleCallers = 6
	// minPause and mostPause bound the time between two requests of one of them, which
	// is below what hosts tell callers that a connection stays open for.
	minPause, maxPause = 50 * time.Millisecond, 1800 * time.Millisecond
)

// stopEntry tells an entry host to stop and waits for its end. Callers that keep connections to
// it open use them until their answers tell them that the host closes them, and none of
// their requests may be lost.
func (r *Run) stopEntry(x *local.JobsEntry) {
	var callers sync.WaitGroup
	for range idleCallers {
		k, err := local.DialKeepAlive(x.Callers, time.Now().Add(entryStopTimeout))
		if err != nil {
			continue
		}
		callers.Go(func() {
			defer k.Close()
			r.useConn(x, k)
		})
	}
	time.Sleep(minPause)
	_ = x.Signal(syscall.SIGTERM)
	if _, err := x.Wait(entryStopTimeout); err != nil {
		r.violationf("%s was told to stop: %v", x.Name, err)
	}
	callers.Wait()
}

// useConn asks on the connection, with pauses, until an answer is the last.
func (r *Run) useConn(x *local.JobsEntry, k *local.KeepAliveConn) {
	for {
		a, err := k.RoundTrip(x.QueueLengthRequest(queues[0]))
		if err != nil {
			r.violationf("%s lost a request on a kept connection as it stopped: %v", x.Name, err)
			return
		}
		r.count("kept")
		if a.Closes {
			return
		}
		time.Sleep(minPause + rand.N(maxPause-minPause))
	}
}
