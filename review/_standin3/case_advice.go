package main

import "time"

// adviceCase hands in a job of two steps to a queue with advice. While its first step works, a
// configuration takes the queue away. The workers go on asking for a ticket, and the second step has to
// start: half of the capacity is free all the while.
func adviceCase(d *deployment) error {
	const prefix, other, id, pool = "/tints/", "/labels/", "5c0e7a21d94b36f8", "svc-a"
	const idleFor = 3 * time.Second
	if err := d.addMachines(pool, 6, capacity{CPU: 16000, MemMB: 32768}); err != nil {
		return err
	}
	advice := d.adviser.times
	both := []route{{name: "tints", prefix: prefix, service: pool, retries: 3, advice: &advice}, {name: "labels", prefix: other, service: pool, retries: 3}}
	if err := d.configure(3, []string{pool}, both); err != nil {
		return err
	}
	if err := d.startEntries(3); err != nil {
		return err
	}
	j := &jobSpec{id: id, Spec: "mix", needsTicket: true, Steps: []stepSpec{
		{Count: 2, CPU: 1000, MemMB: 512, EstimateMs: 3000, work: 3 * time.Second},
		{Count: 2, CPU: 1000, MemMB: 512, EstimateMs: 1000, After: []int{0}, work: time.Second},
	}}
	if err := d.submit(prefix, j); err != nil {
		return err
	}
	if err := d.await(10*time.Second, "the first step to work", func() bool { n, _ := d.checks.progressOf(id); return n == 2 }); err != nil {
		return err
	}
	if d.trouble {
		d.logf("TROUBLE a configuration without the queue of the job")
		if err := d.configure(8, []string{pool}, both[1:]); err != nil {
			return err
		}
	}
	if err := d.await(10*time.Second, "the first step to end", func() bool { _, n := d.checks.progressOf(id); return n == 2 }); err != nil {
		return err
	}
	idleSince := time.Now()
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		running, done := d.checks.progressOf(id)
		if done == 4 {
			break
		}
		if running > 0 {
			idleSince = time.Now()
		}
		if now := time.Now(); now.Sub(idleSince) > idleFor {
			d.checks.broke("LOST", "job %s has had nothing running for %.1f s although the turn of its second step has come; %d starts were rejected for lack of a ticket", id, now.Sub(idleSince).Seconds(), d.checks.rejects["ticket"])
			idleSince = now
		}
	}
	running, done := d.checks.progressOf(id)
	d.logf("at the end %d tasks are running, %d of 4 are done; GET %s: %s", running, done, id, d.state(prefix, id))
	return nil
}
