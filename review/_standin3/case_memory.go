package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Limits of a machine of the site: a process that takes more memory is killed, and starts again after a
// short delay.
const (
	memoryBytes  = 284 << 20
	restartAfter = time.Second
)

// The burst has as many jobs a second as the busiest kind of request of the site reaches in a burst, which
// is 9.02 a second, five times that in its turn, and 2.6 times that in the burst.
const (
	wideJobs    = 64
	wideTasks   = 20000
	wideSpacing = 9 * time.Millisecond
)

// memoryCase hands in jobs of very many tasks at once on one queue, and small jobs on another one, which has
// a service of its own. The small jobs have to begin: all of their service is free. Without the
// disruption, one such job comes.
func memoryCase(d *deployment) error {
	const prefix, pool, otherPrefix, otherPool = "/tints/", "svc-a", "/labels/", "svc-b"
	size := capacity{CPU: 16000, MemMB: 32768}
	if err := d.addMachines(pool, 4, size); err != nil {
		return err
	}
	if err := d.addMachines(otherPool, 4, size); err != nil {
		return err
	}
	routes := []route{{name: "tints", prefix: prefix, service: pool, retries: 3}, {name: "labels", prefix: otherPrefix, service: otherPool, retries: 3}}
	if err := d.configure(3, []string{pool, otherPool}, routes); err != nil {
		return err
	}
	if err := d.startEntries(4); err != nil {
		return err
	}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	for _, e := range d.entries {
		watch.Go(func() { d.boundMemory(e, stop) })
	}
	defer watch.Wait()
	defer close(stop)
	if err := d.expectBegin(otherPrefix, otherPool, smallJob(0)); err != nil {
		return err
	}
	n := 1
	if d.trouble {
		n = wideJobs
		d.logf("TROUBLE %d jobs of %d tasks, one each %s", n, wideTasks, wideSpacing)
	}
	d.submitWide(prefix, n)
	time.Sleep(4 * time.Second)
	for i := 1; i <= 5; i++ {
		if err := d.expectBegin(otherPrefix, otherPool, smallJob(i)); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	return nil
}

// submitWide hands in jobs of many tasks at all entry hosts in turn, and waits for the answers.
func (d *deployment) submitWide(prefix string, n int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range n {
		j := &jobSpec{id: fmt.Sprintf("%016x", 0xd0000+i), Spec: "wide", Steps: []stepSpec{{
			Count: wideTasks, CPU: 2000, MemMB: 64, EstimateMs: 1000, work: time.Second,
		}}}
		d.jobs.add(j)
		e := d.entries[i%len(d.entries)]
		wg.Go(func() {
			status, _ := e.call("POST", prefix+j.id, j, 3*time.Second)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
		time.Sleep(wideSpacing)
	}
	wg.Wait()
	d.logf("answers to the jobs of %d tasks, by status: %v", wideTasks, statuses)
}

// boundMemory kills the process of an entry host when it takes too much memory, and starts it again.
func (d *deployment) boundMemory(e *entry, stop chan struct{}) {
	most := int64(0)
	for {
		select {
		case <-stop:
			d.logf("%s has taken up to %d MB since it was last started", e.name, most>>20)
			return
		case <-time.After(20 * time.Millisecond):
		}
		b := residentBytes(e.cmd.Process.Pid)
		most = max(most, b)
		if b <= memoryBytes {
			continue
		}
		d.logf("%s takes %d MB and is killed; it owned the jobs: %t", e.name, b>>20, d.owner(d.entries) == e)
		e.signal(syscall.SIGKILL)
		<-e.done
		most = 0
		time.Sleep(restartAfter)
		_ = e.start()
	}
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	f := bytes.Fields(b)
	if err != nil || len(f) < 2 {
		return 0
	}
	n, err := strconv.ParseInt(string(f[1]), 10, 64)
	if err != nil {
		return 0
	}
	return n * int64(os.Getpagesize())
}
