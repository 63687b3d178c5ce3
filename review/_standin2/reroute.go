package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"amberway/internal/standin/fleet"
)

const (
	// reroutedQueue is the queue whose service changes.
	reroutedQueue = "nightly"
	// cutFor is how long the worker is cut off.
	cutFor = 5500 * time.Millisecond
)

// rerouted returns a configuration that sends the queue to the pool.
func rerouted(version int64, pool string) any {
	return fleet.Config{Version: version, Pools: []string{"alpha", "beta", "gamma"}, Queues: []fleet.Queue{{Name: reroutedQueue, Pool: pool}}}.Document("spare")
}

func init() { cases["reroute"] = runReroute }

// runReroute hands in a job to a queue that is then sent to another service twice, and kills the
// owner. The worker that runs the job's second step is cut off and runs on.
func runReroute(r *record, trouble bool) error {
	d, err := startDeployment(r, options{
		hosts: 4, workers: map[string]int{"alpha": 4, "beta": 4, "gamma": 4}, spare: 2,
		size: fleet.Capacity{CPU: 16000, MemMB: 32000}, config: rerouted(3, "alpha"),
	})
	if err != nil {
		return err
	}
	const id = "00000000000000a1"
	j := fleet.Job{Spec: "7s", Steps: []fleet.Step{{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: 7000}, {Count: 1, CPU: 1000, MemMB: 100, EstimateMs: 7000, After: []int{0}}}}
	a := d.hosts[0].call(http.MethodPost, reroutedQueue, id, j, 3*time.Second)
	r.write("POST job %s with two steps, queue sent to alpha: %v", id, a)
	if a.status != http.StatusOK {
		return fmt.Errorf("the job was not accepted")
	}
	if err := d.waitRunning(id+".0.0.0", 5*time.Second); err != nil {
		return err
	}
	if err := d.configure(rerouted(7, "beta"), "queue sent to beta"); err != nil {
		return err
	}
	if err := d.waitRunning(id+".0.1.0", 12*time.Second); err != nil {
		return err
	}
	if err := d.configure(rerouted(12, "gamma"), "queue sent to gamma"); err != nil {
		return err
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		r.write("worker %s is cut off for %v and runs on", d.fleet.Silence(cutFor), cutFor)
		d.killOwner()
	}
	for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if d.fleet.Checker.Done(id + ".0.1.0") {
			break
		}
	}
	time.Sleep(2 * time.Second)
	r.write("GET job: %v", d.state(reroutedQueue, id))
	for _, v := range d.fleet.Checker.Violations() {
		r.write("seen at the workers: %s", v)
	}
	for _, v := range d.fleet.Checker.Violations() {
		if strings.Contains(v, "started on") {
			return fmt.Errorf("%w: TWICE: %s", errBroken, v)
		}
	}
	return nil
}

func (d *deployment) configure(c any, what string) error {
	if err := d.fleet.Store.Put("op/config", c); err != nil {
		return err
	}
	d.record.write("configuration acknowledged: %s", what)
	return nil
}

// waitRunning waits until a worker runs the task.
func (d *deployment) waitRunning(task string, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.fleet.Checker.IsRunning(task) {
			job, _, _ := strings.Cut(task, ".")
			for _, v := range d.fleet.Checker.RunsOfJob(job) {
				d.record.write("run %d of %s began on worker %s of %s", v.Number, v.Task, v.Worker, d.poolOf(v.Worker))
			}
			return nil
		}
	}
	return fmt.Errorf("%s does not run", task)
}

// poolOf returns the service of the worker by its record.
func (d *deployment) poolOf(worker string) string {
	b, _ := d.fleet.Store.Value("servers/" + worker)
	for _, p := range []string{"alpha", "beta", "gamma"} {
		if strings.Contains(string(b), `"`+p+`"`) {
			return p
		}
	}
	return "no service"
}

// killOwner kills the process of the owner, which the platform starts again.
func (d *deployment) killOwner() {
	n := d.ownerName()
	for _, h := range d.hosts {
		if h.name == n {
			h.kill("SIGKILL")
			d.record.write("SIGKILL to the owner %s", n)
		}
	}
}
