package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"amberway/internal/standin/fleet"
)

// Parameters of the lasting job with a task on each machine of a pool.
const (
	spreadPool, spreadQueue = "blue", 0
	spreadIDBase            = 0x5000000
	// maintenanceTime is how long one machine after the other may take, with the stop of its task and
	// the warm-up after it.
	maintenanceTime = 5 * time.Second
)

// submitSpreadJob submits a lasting job with a task on each machine of a pool. A task that leaves its
// machine finds no room elsewhere.
func (r *Run) submitSpreadJob() {
	r.deployment.Fleet.Checker.CheckDisruptions(fmt.Sprintf("%016x", spreadIDBase), r.Workers, 1)
	r.submitLastingJob(spreadQueue, spreadIDBase, budgetedSpec, fleet.Step{
		Count: r.Workers, CPU: budgetedCPU, MemMB: 100, Daemon: true, MaxUnavailable: 1, AntiAffinity: 1,
	})
}

// spreadWaves returns a wave every eight to fourteen seconds: each takes the machines one after the
// other.
func spreadWaves(r *rand.Rand, until time.Duration) []Event {
	var l []Event
	for at := randomDuration(r, time.Second, 3*time.Second); at < until; at += randomDuration(r, 8*time.Second, 14*time.Second) {
		l = append(l, Event{At: at, Kind: Wave})
	}
	return l
}

// checkWavesDone checks that all waves are done in time after the faults have ended.
func (r *Run) checkWavesDone() {
	end := r.settledAt.Add(time.Duration(r.waveCount) * time.Duration(r.Workers) * maintenanceTime)
	for n := range r.waveCount {
		s := r.deployment.Fleet.WaveState(n + 1)
		for !strings.Contains(s, "succeeded") && time.Now().Before(end) {
			time.Sleep(checkInterval)
			s = r.deployment.Fleet.WaveState(n + 1)
		}
		if !strings.Contains(s, "succeeded") {
			r.violationf("wave %d is not done at the end: %s", n+1, s)
		}
	}
}
