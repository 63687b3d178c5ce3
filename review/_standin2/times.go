package main

import (
	"fmt"
	"net/http"
	"time"

	"amberway/internal/standin/fleet"
)

// Figures of the recurring job: a minutely one, whose first times were due a week ago.
const (
	timesCount   = 10000
	timesTasks   = 100
	timesEveryMs = 60000
)

// timedJob is a job whose steps run several times.
type timedJob struct {
	fleet.Job
	Times      int   `json:"times"`
	InitialMs  int64 `json:"initial_ms,omitempty"`
	IntervalMs int64 `json:"interval_ms"`
}

func init() { cases["times"] = runTimes }

// runTimes hands in a recurring job, and then small jobs to another queue. With the disruption, the
// recurring job leaves out initial_ms, so that all of its times are due. Without it, the first is due
// now and the others are still to come.
func runTimes(r *record, trouble bool) error {
	d, err := startDeployment(r, options{
		hosts: 4, workers: map[string]int{"alpha": 8, "beta": 8}, spare: 4,
		size: fleet.Capacity{CPU: 16000, MemMB: 32000}, config: config(3, "alpha", "beta"),
	})
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.watchMemory(stop)
	p := probes{d: d, queue: "beta"}
	p.run(3)
	j := timedJob{
		Job:        fleet.Job{Spec: "500ms", Steps: []fleet.Step{{Count: timesTasks, CPU: 500, MemMB: 100, EstimateMs: 500}}},
		Times:      timesCount,
		IntervalMs: timesEveryMs,
	}
	if !trouble {
		j.InitialMs = time.Now().UnixMilli()
	}
	a := d.hosts[1].call(http.MethodPost, "alpha", "00000000000000aa", j, 3*time.Second)
	r.write("POST 00000000000000aa to alpha: %d times of %d tasks, each %d ms, initial_ms %d: %v", j.Times, timesTasks, timesEveryMs, j.InitialMs, a)
	if a.err != nil || a.status != http.StatusOK {
		return fmt.Errorf("the recurring job was not accepted")
	}
	p.run(25)
	for _, h := range d.hosts {
		r.write("%s ended %d times: %v", h.name, h.endCount(), h.endReasons())
	}
	return p.verdict()
}

// watchMemory kills processes that go over the limit of their memory, as the platform does.
func (d *deployment) watchMemory(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, h := range d.hosts {
			if m := h.memoryMB(); m > hostMemory {
				h.kill(fmt.Sprintf("killed by the platform: %d MB of memory, over %d", m, hostMemory))
			}
		}
	}
}
