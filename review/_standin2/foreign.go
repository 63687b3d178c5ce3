package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"amberway/internal/loopback"
	"amberway/internal/standin/fleet"
)

// Figures of the case of entries of another writer.
const (
	// foreignWorkers is the number of workers, as in a service of the small deployments.
	foreignWorkers = 8
	// foreignEntries is how many entries the other writer puts.
	foreignEntries = 10
	// foreignJobsEvery is the time between two jobs, which come for foreignJobsFor.
	foreignJobsEvery = 250 * time.Millisecond
	foreignJobsFor   = 24 * time.Second
	// foreignWait is how long a job may have nothing running.
	foreignWait = 5 * time.Second
)

func init() { cases["foreign"] = runForeign }

// foreignEntry is an entry under servers/ in which `labels`, `machine` and `cold_left_ms` are missing. At
// its address nobody listens.
func foreignEntry() (map[string]any, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(loopback.RandomAddr().String(), "0"))
	if err != nil {
		return nil, err
	}
	defer l.Close()
	return map[string]any{
		"service": "alpha", "addr": l.Addr().String(), "zone": "dc-0", "version": "v1", "slots": 8, "state": "ready", "seq": 1,
		"capacity": map[string]int{"cpu": 64000, "mem_mb": 256000},
	}, nil
}

// runForeign has another writer put entries while jobs come.
func runForeign(r *record, trouble bool) error {
	d, err := startDeployment(r, options{
		hosts: 4, workers: map[string]int{"alpha": foreignWorkers}, spare: 2,
		size: fleet.Capacity{CPU: 64000, MemMB: 256000}, config: config(3, "alpha"),
	})
	if err != nil {
		return err
	}
	for i := 0; trouble && i < foreignEntries; i++ {
		e, err := foreignEntry()
		if err != nil {
			return err
		}
		k := fmt.Sprintf("servers/i-other%02d", i)
		if err := d.fleet.Store.Put(k, e); err != nil {
			return err
		}
		r.write("another writer puts %s, without labels, machine and cold_left_ms: %v", k, e)
	}
	j := foreignJobs{d: d, late: map[string]bool{}}
	j.send(foreignJobsFor)
	j.wg.Wait()
	time.Sleep(foreignWait)
	idle := j.notStarted()
	r.write("%v after the last job, %d of %d accepted jobs have not started; owner %s", foreignWait, len(idle), len(j.accepted), d.ownerName())
	for _, id := range idle {
		r.write("%s: GET: %v", id, d.state("alpha", id))
	}
	r.write("%d accepted jobs had nothing running for %v", len(j.late), foreignWait)
	switch {
	case len(j.accepted) == 0:
		return fmt.Errorf("no job was accepted")
	case len(j.late) > 0:
		return fmt.Errorf("%w: LOST: %d accepted jobs had nothing running for %v, with eight workers up and idle, and %d of them never ran", errBroken, len(j.late), foreignWait, len(idle))
	}
	return nil
}

// foreignJobs hands in small jobs.
type foreignJobs struct {
	d        *deployment
	wg       sync.WaitGroup
	mu       sync.Mutex
	sent     int
	accepted []string
	// late are those that had not started foreignWait after they were accepted.
	late map[string]bool
}

// send hands in jobs for a time, at each host in turn.
func (j *foreignJobs) send(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(foreignJobsEvery) {
		id, h := fmt.Sprintf("%016x", 0xf000+j.sent), j.d.hosts[j.sent%len(j.d.hosts)]
		j.sent++
		j.wg.Go(func() {
			a := h.call(http.MethodPost, "alpha", id, smallJob(), 3*time.Second)
			j.d.record.write("POST %s at %s: %v", id, h.name, a)
			if a.err != nil || a.status != http.StatusOK {
				return
			}
			j.mu.Lock()
			j.accepted = append(j.accepted, id)
			j.mu.Unlock()
			time.Sleep(foreignWait)
			if !j.d.fleet.Checker.Started(id) {
				j.mu.Lock()
				j.late[id] = true
				j.mu.Unlock()
			}
		})
	}
}

// notStarted returns the accepted jobs of which no task has started.
func (j *foreignJobs) notStarted() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var l []string
	for _, id := range j.accepted {
		if !j.d.fleet.Checker.Started(id) {
			l = append(l, id)
		}
	}
	return l
}
