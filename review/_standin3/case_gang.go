package main

import (
	"strings"
	"time"
)

// gangCase hands in a job whose only step is a gang that saves its work. The worker of one member
// crashes once. The job has to go on, and no member may end alone once the crash is over.
func gangCase(d *deployment) error {
	const prefix, id, pool = "/tints/", "5c0e7a21d94b36f8", "svc-a"
	const downtime, heartbeats = 4500 * time.Millisecond, 4500 * time.Millisecond
	if err := d.addMachines(pool, 5, capacity{CPU: 16000, MemMB: 32768}); err != nil {
		return err
	}
	if err := d.configure(3, []string{pool}, []route{{name: "tints", prefix: prefix, service: pool, retries: 3}}); err != nil {
		return err
	}
	if err := d.startEntries(3); err != nil {
		return err
	}
	j := &jobSpec{id: id, Spec: "mix", Steps: []stepSpec{{
		Count: 3, CPU: 9000, MemMB: 1024, EstimateMs: 5000, Gang: true, Checkpoint: true, work: 5 * time.Second,
	}}}
	if err := d.submit(prefix, j); err != nil {
		return err
	}
	if err := d.await(10*time.Second, "the gang to work", func() bool { return len(d.busy(id)) == 3 }); err != nil {
		return err
	}
	time.Sleep(2800 * time.Millisecond)
	if d.trouble {
		d.crash(d.busy(id)[0], downtime, heartbeats)
	}
	end := time.Now().Add(40 * time.Second)
	for time.Now().Before(end) {
		s := d.state(prefix, id)
		if strings.Contains(s, "succeeded") || strings.Contains(s, "failed") {
			d.logf("the job is shown as %s", s)
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	d.logf("GET %s: %s", id, d.state(prefix, id))
	return nil
}
