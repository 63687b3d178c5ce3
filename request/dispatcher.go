package request

import (
	"context"
	"sync"
	"time"

	"amberway/common"
)

// Dispatcher makes a Scheduler safe for concurrent requests.
type Dispatcher struct {
	mu        sync.Mutex
	scheduler *Scheduler
	waiting   map[*Item]chan struct{}
	now       func() time.Time
}

// NewDispatcher returns a dispatcher for the scheduler, which nothing else may use from
// then on.
func NewDispatcher(s *Scheduler, now func() time.Time) *Dispatcher {
	return &Dispatcher{scheduler: s, waiting: map[*Item]chan struct{}{}, now: now}
}

// Update changes targets and services under the lock and starts the requests that can now
// start.
func (d *Dispatcher) Update(f func(s *Scheduler)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.scheduler)
	d.startReady()
}

// StartReady starts the requests that can start because time has passed: a quarantined
// target may have become due for a probe.
func (d *Dispatcher) StartReady() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startReady()
}

func (d *Dispatcher) startReady() {
	for _, p := range d.scheduler.poolNames() {
		d.startReadyIn(p)
	}
}

// Offer queues the item. The channel is closed when it starts.
func (d *Dispatcher) Offer(i *Item) (<-chan struct{}, *Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.scheduler.Offer(d.now(), i); r != nil {
		return nil, r
	}
	c := make(chan struct{})
	d.waiting[i] = c
	d.startReadyIn(d.scheduler.PoolOf(i.Service))
	return c, nil
}

// startReadyIn starts all requests that can start in the pool. The caller holds mu.
func (d *Dispatcher) startReadyIn(pool string) {
	now := d.now()
	for {
		s, ok := d.scheduler.Next(now, pool)
		if !ok {
			return
		}
		close(d.waiting[s.Item])
		delete(d.waiting, s.Item)
	}
}

// Wait waits until the item starts. It returns a refusal once the item cannot be answered
// by its deadline any more, or the context's error.
func (d *Dispatcher) Wait(ctx context.Context, i *Item, started <-chan struct{}) (*Refusal, error) {
	t := time.NewTimer(d.latestStart(i).Sub(d.now()))
	defer t.Stop()
	select {
	case <-started:
		return nil, nil
	case <-t.C:
		if d.Cancel(i) {
			return &Refusal{Reason: ReasonLate, RetryAt: d.now().Add(time.Second)}, nil
		}
	case <-ctx.Done():
		if d.Cancel(i) {
			return nil, ctx.Err()
		}
	}
	<-started
	return nil, nil
}

func (d *Dispatcher) latestStart(i *Item) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.LatestStart(i)
}

// Cancel removes a waiting item. It returns false for one that has started.
func (d *Dispatcher) Cancel(i *Item) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.scheduler.Cancel(i) {
		return false
	}
	delete(d.waiting, i)
	return true
}

// Done ends the item's attempt and starts the requests that can take its place.
func (d *Dispatcher) Done(i *Item, o Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Done(d.now(), i, o)
	d.startReadyIn(d.scheduler.PoolOf(i.Service))
}

// RecordOutcome records the outcome of an attempt that may still run on its target. The
// slot stays occupied until Release.
func (d *Dispatcher) RecordOutcome(i *Item, o Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.RecordOutcome(d.now(), i, o)
}

// Release frees the slot of an item whose outcome was recorded, and starts the requests
// that can take its place.
func (d *Dispatcher) Release(i *Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Release(i)
	d.startReadyIn(d.scheduler.PoolOf(i.Service))
}

// Drop ends an item that will not run, whether it waits or has started.
func (d *Dispatcher) Drop(i *Item) {
	if !d.Cancel(i) {
		d.Done(i, Outcome{Cancelled: true})
	}
}

// TargetRemoved ends an item that was not sent because its target was removed, and gives
// the target no more work until SetTargets names it again: as it runs nothing, it would
// otherwise be the cheapest choice. Whether it is still removed is checked once more
// under the lock: an update that brings it back may have been applied meanwhile, and the
// next one may come much later.
func (d *Dispatcher) TargetRemoved(i *Item, removed func() bool) {
	d.Update(func(s *Scheduler) {
		if removed() {
			s.RemoveTarget(i.Target)
		}
		s.Done(d.now(), i, Outcome{Cancelled: true})
	})
}

// Idle reports whether nothing runs on the host and nothing new can be sent to it.
func (d *Dispatcher) Idle(host string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Idle(host)
}

// Dump returns the scheduler's state.
func (d *Dispatcher) Dump() SchedulerDump {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Dump()
}

// effectiveClass returns the class of a request: the job's, unless the caller asks for a
// more patient one.
func effectiveClass(job, requested common.Class) common.Class {
	return max(job, requested)
}
