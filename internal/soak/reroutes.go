package soak

import (
	"math/rand/v2"
	"time"
)

// reroutedPool is the pool without a queue of its own that runs with reroutes have.
const reroutedPool = "red"

// reroutes returns series of two changes that send the queues to other pools, followed by a worker
// that is cut off and a kill of the owner.
func reroutes(r *rand.Rand, until time.Duration) []Event {
	var l []Event
	for at := randomDuration(r, time.Second, 3*time.Second); at < until; {
		for range 2 {
			l = append(l, Event{At: at, Kind: Reroute})
			at += randomDuration(r, 700*time.Millisecond, 3*time.Second)
		}
		l = append(l,
			Event{At: at, Kind: WorkerSilence, Duration: randomDuration(r, 3*time.Second, 6*time.Second)},
			Event{At: at + randomDuration(r, 0, 500*time.Millisecond), Kind: Kill, Owner: true, Duration: randomDuration(r, 200*time.Millisecond, 2*time.Second)})
		at += randomDuration(r, 3*time.Second, 7*time.Second)
	}
	return l
}

// reroute sends each queue to the next pool.
func (r *Run) reroute() {
	r.configMu.Lock()
	r.deployment.RotateQueues()
	r.configMu.Unlock()
	r.configure()
}
