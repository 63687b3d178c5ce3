package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"amberway/internal/standin/fleet"
)

// Figures of the cancelled jobs.
const (
	cancelledJobs = 60
	// lossShare and lossFor are how many answers the store loses, and for how long.
	lossShare = 0.35
	lossFor   = 1500 * time.Millisecond
	// callerWaits is how long the callers wait for an answer.
	callerWaits = time.Second
	// calmFor is how long nothing has been disturbed when the tasks that still run are counted: the
	// longest delay of a late write (6 s), contact_ms, cancel_ms and stop_ms (3,000, 3,000 and 200),
	// and some more.
	calmFor = 14 * time.Second
)

func init() { cases["cancelled"] = runCancelled }

// cancelledJob is what became of a job that its caller cancelled at once.
type cancelledJob struct {
	id             string
	posted, erased answer
	ackedAt        time.Time
}

// runCancelled has callers hand in jobs and cancel each as soon as its POST is over, while the store
// loses answers of writes and does them late.
func runCancelled(r *record, trouble bool) error {
	var front *storeFront
	o := options{
		hosts: 4, workers: map[string]int{"alpha": 8, "beta": 8}, spare: 2,
		size: fleet.Capacity{CPU: 64000, MemMB: 256000}, config: config(3, "alpha", "beta"),
	}
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
	if trouble {
		front.setLoss(lossShare)
		r.write("the store loses the answers of %v of the writes and does these 1 to 6 s later", lossShare)
	}
	var g sync.WaitGroup
	jobs := make([]*cancelledJob, cancelledJobs)
	for i := range jobs {
		jobs[i] = &cancelledJob{id: fmt.Sprintf("%016x", 0xc000+i)}
		g.Go(func() { d.postAndCancel(jobs[i], i) })
		time.Sleep(lossFor / cancelledJobs)
	}
	front.setLoss(0)
	lossEnded := time.Now()
	r.write("the store answers everything again; %d answers were lost", front.losses())
	g.Wait()
	time.Sleep(time.Until(lossEnded.Add(calmFor)))
	return d.judgeCancelled(jobs)
}

// postAndCancel hands in a job, and cancels it until that is acknowledged.
func (d *deployment) postAndCancel(j *cancelledJob, i int) {
	h := d.hosts[i%len(d.hosts)]
	j.posted = h.call(http.MethodPost, "alpha", j.id, fleet.Job{Spec: "lasts", Steps: []fleet.Step{{Count: 1, CPU: 1000, MemMB: 100, Daemon: true}}}, callerWaits)
	for range 20 {
		j.erased = d.hosts[(i+1)%len(d.hosts)].call(http.MethodDelete, "alpha", j.id, nil, 3*time.Second)
		if j.erased.err == nil && (j.erased.status/100 == 2 || j.erased.status == http.StatusGone) {
			j.ackedAt = time.Now()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// judgeCancelled tells which jobs still run although their cancelling was acknowledged.
func (d *deployment) judgeCancelled(jobs []*cancelledJob) error {
	broken := 0
	for _, j := range jobs {
		runs := d.fleet.Checker.RunsOfJob(j.id)
		what := ""
		if len(runs) > 0 {
			what = fmt.Sprintf("; run %d began on %s %v after that and still runs", runs[0].Number, runs[0].Worker, runs[0].StartedAt.Sub(j.ackedAt).Round(time.Millisecond))
		}
		d.record.write("%s: POST %d; DELETE %d%s", j.id, j.posted.status, j.erased.status, what)
		if len(runs) > 0 && !j.ackedAt.IsZero() {
			broken++
			d.record.write("%s: GET now: %v", j.id, d.state("alpha", j.id))
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: UNASKED: tasks of %d jobs still run long after their cancelling was acknowledged", errBroken, broken)
	}
	return nil
}
