package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"amberway/internal/local"
)

// Parameters of the callers during a planned stop.
const (
	// idleCallers is how many callers keep a connection open to the entry host that stops.
	idleCallers = 6
	// minPause and maxPause bound the time between two requests of such a caller. They are
	// below the keep-alive timeout that entry hosts announce.
	minPause, maxPause = 50 * time.Millisecond, 1800 * time.Millisecond
)

// stopEntry stops an entry host and waits for its end. Callers with open connections use them
// until an answer announces that the host closes the connection, and none of their requests
// may be lost.
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
		r.violationf("%s did not stop: %v", x.Name, err)
	}
	callers.Wait()
}

// useConn sends requests on the connection, with pauses, until an answer announces that the
// host closes it.
func (r *Run) useConn(x *local.JobsEntry, k *local.KeepAliveConn) {
	for {
		a, err := k.RoundTrip(x.QueueLengthRequest(queues[0]))
		if err != nil {
			r.violationf("%s lost a request on a keep-alive connection while it stopped: %v", x.Name, err)
			return
		}
		r.count("kept")
		if a.Closes {
			return
		}
		time.Sleep(minPause + rand.N(maxPause-minPause))
	}
}
