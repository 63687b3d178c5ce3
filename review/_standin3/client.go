package main

import (
	"fmt"
	"time"
)

// submit hands in a job as a client does: it tries again at the next entry host unless the job was
// accepted.
func (d *deployment) submit(prefix string, j *jobSpec) error {
	d.jobs.add(j)
	for i := range 8 {
		e := d.entries[i%len(d.entries)]
		status, body := e.call("POST", prefix+j.id, j, 3*time.Second)
		d.logf("POST %s at %s: %d %s", j.id, e.name, status, body)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", j.id)
}

// state asks for a job's state at any entry host.
func (d *deployment) state(prefix, id string) string {
	for _, e := range d.entries {
		if status, body := e.call("GET", prefix+id, nil, 2*time.Second); status == 200 || status == 410 {
			return body
		}
	}
	return ""
}

// smallJob returns a job of one short task.
func smallJob(i int) *jobSpec {
	return &jobSpec{id: fmt.Sprintf("%016x", 0xa000+i), Spec: "small", Steps: []stepSpec{{
		Count: 1, CPU: 1000, MemMB: 64, EstimateMs: 300, work: 300 * time.Millisecond,
	}}}
}

// expectBegin hands in a job of the pool's queue, and checks that it begins.
func (d *deployment) expectBegin(prefix, pool string, j *jobSpec) error {
	// idleFor is how long a job may have nothing running although a task's turn has come.
	const idleFor = 3 * time.Second
	if err := d.submit(prefix, j); err != nil {
		return err
	}
	accepted := time.Now()
	begun := func() bool { r, n := d.checks.progressOf(j.id); return r+n > 0 }
	for time.Since(accepted) < idleFor+100*time.Millisecond && !begun() {
		time.Sleep(20 * time.Millisecond)
	}
	waited := time.Since(accepted).Seconds()
	d.logf("job %s has begun: %t, %.1f s after its acceptance; it is shown as %s", j.id, begun(), waited, d.state(prefix, j.id))
	if !begun() {
		d.checks.broke("LOST", "job %s was accepted %.1f s ago and has had nothing running; of the service's capacity, %s are in use", j.id, waited, d.usage(pool))
	}
	return nil
}

// submitLasting hands in a lasting job with one task on each of some machines, and waits until all run.
func (d *deployment) submitLasting(prefix, id string, machines int) error {
	j := &jobSpec{id: id, Spec: "line", Steps: []stepSpec{{
		Count: machines, CPU: 1300, MemMB: 3400, AntiAffinity: 1, Daemon: true, MayMiss: 1, work: 700 * time.Millisecond,
	}}}
	if err := d.submit(prefix, j); err != nil {
		return err
	}
	return d.await(20*time.Second, "the lasting job", func() bool { n, _ := d.checks.progressOf(id); return n == machines })
}

// usage returns how much of the capacity of a pool's workers is in use.
func (p *platform) usage(pool string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var used, all capacity
	for _, m := range p.machines {
		if m.worker == nil || m.Pool != pool {
			continue
		}
		m.worker.mu.Lock()
		used, all = used.plus(m.worker.used()), all.plus(m.Capacity)
		m.worker.mu.Unlock()
	}
	return fmt.Sprintf("%.1f of %.0f cores", float64(used.CPU)/1000, float64(all.CPU)/1000)
}
