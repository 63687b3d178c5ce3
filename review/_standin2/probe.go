package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"amberway/internal/standin/fleet"
)

// startWithin is how long after its acceptance a small job may have nothing running. The rule
// allows 3 s; the rest is for the answer and the start.
const startWithin = 5 * time.Second

// probes hands in small jobs to a queue whose pool has room for all of them, and notes which of
// those that were accepted did not start in time.
type probes struct {
	d        *deployment
	queue    string
	wg       sync.WaitGroup
	mu       sync.Mutex
	sent     int
	accepted int
	late     []string
}

// smallJob is a job of two short tasks.
func smallJob() fleet.Job {
	return fleet.Job{Spec: "200ms", Steps: []fleet.Step{{Count: 2, CPU: 500, MemMB: 100, EstimateMs: 200}}}
}

// run hands in one job a second.
func (p *probes) run(n int) {
	for range n {
		next := time.Now().Add(time.Second)
		p.send(p.sent)
		p.sent++
		time.Sleep(time.Until(next))
	}
}

func (p *probes) send(i int) {
	id := fmt.Sprintf("%016x", 0xb000+i)
	h := p.d.hosts[i%len(p.d.hosts)]
	a := h.call(http.MethodPost, p.queue, id, smallJob(), 3*time.Second)
	p.d.record.write("POST %s to %s at %s: %v; owner %s%s", id, p.queue, h.name, a, p.d.ownerName(), p.d.memory())
	if a.err != nil || a.status != http.StatusOK {
		return
	}
	p.mu.Lock()
	p.accepted++
	p.mu.Unlock()
	p.wg.Go(func() {
		time.Sleep(startWithin)
		if p.d.fleet.Checker.Started(id) {
			return
		}
		p.d.record.write("%s has not started %v after it was accepted; GET: %v", id, startWithin, p.d.state(p.queue, id))
		p.mu.Lock()
		p.late = append(p.late, id)
		p.mu.Unlock()
	})
}

// verdict returns errBroken if an accepted job did not start in time.
func (p *probes) verdict() error {
	p.wg.Wait()
	p.d.record.write("%d small jobs accepted, %d of them had nothing running for %v", p.accepted, len(p.late), startWithin)
	switch {
	case p.accepted == 0:
		return fmt.Errorf("no small job was accepted")
	case len(p.late) > 0:
		return fmt.Errorf("%w: LOST: %d accepted jobs had nothing running for %v, with all workers of their service idle", errBroken, len(p.late), startWithin)
	}
	return nil
}

// memory lists what each process has in memory and how often it ended.
func (d *deployment) memory() string {
	s := ""
	for _, h := range d.hosts {
		s += fmt.Sprintf("; %s %d MB, ended %d times", h.name, h.memoryMB(), h.endCount())
	}
	return s
}
