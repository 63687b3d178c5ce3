package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"amberway/internal/standin/fleet"
)

// Figures of the large jobs. maxBodyBytes is body_bytes of the small deployments.
const (
	largeJobs    = 40
	largeSteps   = 256
	maxBodyBytes = 262144
	// largeEvery is the pause between two of them without the disruption.
	largeEvery = 250 * time.Millisecond
)

// largeImage names what the tasks run, as registries name images.
const largeImage = "registry.kitchen.example/media/transcode/step-photo-ingredient-tagger:2026.11.3@sha256:" +
	"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// largeStep is a step with the name of its image.
type largeStep struct {
	fleet.Step
	Image string `json:"image"`
}

// largeSubmission is a job of such steps.
type largeSubmission struct {
	Spec  string      `json:"spec"`
	Steps []largeStep `json:"steps"`
}

// largeConfig returns a configuration with the limit of bodies of the small deployments.
func largeConfig(version int64) (any, error) {
	b, err := json.Marshal(config(version, "alpha", "beta"))
	if err != nil {
		return nil, err
	}
	var c map[string]any
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, err
	}
	c["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes}
	return c, nil
}

// largeJob is a job of many small steps, each of which comes after all earlier ones.
func largeJob() largeSubmission {
	j := largeSubmission{Spec: "20ms"}
	for i := range largeSteps {
		s := largeStep{Step: fleet.Step{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: 20}, Image: largeImage}
		for a := range i {
			s.After = append(s.After, a)
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

func init() { cases["large"] = runLarge }

// runLarge hands in large jobs, and meanwhile small ones to another queue. With the disruption, the
// large jobs come at once. Without it, the same ones come one by one.
func runLarge(r *record, trouble bool) error {
	c, err := largeConfig(3)
	if err != nil {
		return err
	}
	o := options{
		hosts: 4, workers: map[string]int{"alpha": 8, "beta": 8}, spare: 2,
		size: fleet.Capacity{CPU: 64000, MemMB: 256000}, config: c,
	}
	var front *storeFront
	o.storeAddressOf = func(f *fleet.Fleet) string {
		if front == nil {
			front = newStoreFront(f.Store)
		}
		return front.address()
	}
	d, err := startDeployment(r, o)
	if err != nil {
		return err
	}
	p := probes{d: d, queue: "beta"}
	p.run(3)
	sendLarge(d, trouble)
	// The store forgets what is older than its history.
	time.AfterFunc(history, d.fleet.Store.Compact)
	p.run(28)
	return p.verdict()
}

// sendLarge hands in the large jobs.
func sendLarge(d *deployment, atOnce bool) {
	j := largeJob()
	b, _ := json.Marshal(j)
	d.record.write("%d jobs of %d steps and %d bytes each to alpha, at once: %t", largeJobs, largeSteps, len(b), atOnce)
	var g sync.WaitGroup
	for i := range largeJobs {
		g.Go(func() {
			id := fmt.Sprintf("%016x", 0xa000+i)
			a := d.hosts[i%len(d.hosts)].call(http.MethodPost, "alpha", id, j, 3*time.Second)
			d.record.write("POST %s: %v", id, a)
		})
		if !atOnce {
			time.Sleep(largeEvery)
		}
	}
	g.Wait()
}
