package job

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"amberway/common"
	"amberway/platform"
)

// Times of an owner.
const (
	// tickEvery is how often time alone is looked at.
	tickEvery = 50 * time.Millisecond
	// renewEvery is how often the owner's lease is renewed: four times in its
	// time to live.
	renewEvery = ownerTTL / 4
	// renewTimeout bounds one renewal. Half of it goes to a kept connection, the rest to
	// a new one. Renewals go out each renewEvery, whether or not the last was answered,
	// each on a connection of its own, so that the lease is renewed before it ends also
	// where a silent connection costs one of them its first half. A shorter half took
	// the answers that a full link held up for silence: each of them cost a new
	// connection, which waited behind as much.
	renewTimeout = 4 * ownerTTL / 5
	// maxSuspended is how long an owner's host may have been suspended in all: what is
	// given on workers' leases by a clock that is so far behind is within the half second
	// that inheritedLease bears.
	maxSuspended = 300 * time.Millisecond
	// maxBatch is the most events that are taken in before tasks are placed.
	maxBatch = 256
	// stepEvery is the least time between two steps. Events that come closer
	// together are taken in together: an owner of 350 workers gets 1,500 a
	// second, and a job has some hundred milliseconds to spare.
	stepEvery = 4 * time.Millisecond
)

// eventBuffer is how many events may wait for the owner.
const eventBuffer = 4096

// Clients are the interfaces of the platform that an owner calls.
type Clients struct {
	KV       *platform.KV
	Workers  *platform.Workers
	Machines *platform.Machines
	Advice   *platform.Advice
}

// connections returns those of the clients that there are.
func (p Clients) connections() []*common.Connections {
	var l []*common.Connections
	if p.KV != nil {
		l = append(l, p.KV.Connections())
	}
	if p.Workers != nil {
		l = append(l, p.Workers.Connections())
	}
	if p.Machines != nil {
		l = append(l, p.Machines.Connections())
	}
	if p.Advice != nil {
		l = append(l, p.Advice.Connections())
	}
	return l
}

// owner runs a Core: it feeds it events and does what it says.
type owner struct {
	Clients
	log *Logger
	now func() time.Time
	// suspended tells for how long the host has been suspended so far.
	suspended func() time.Duration
	events    chan Event
	tenure    tenure
	// linkMbps is what the host's link carries, in megabits a second; zero is not known.
	linkMbps float64
	writer   storeWriter
	speed    *speedMonitor
	metrics  *metrics
	// mu guards core, which callers' questions read.
	mu   sync.Mutex
	core *Core
	// loaded says that core holds what the owner took over.
	loaded atomic.Bool
	// renewedAt is when the last renewal was sent that the store has answered.
	renewedAt    common.Instant
	cancel       context.CancelFunc
	resignOnce   sync.Once
	resignReason string
}

// tenure is one ownership.
type tenure struct {
	fence platform.Fence
	lease platform.LeaseID
	since time.Time
	// suspended is for how long the host had been suspended when it claimed.
	suspended time.Duration
}

func newOwner(p Clients, log *Logger, now func() time.Time, suspended func() time.Duration, s Settings, t tenure, speed *speedMonitor, m *metrics) *owner {
	o := &owner{
		Clients:   p,
		log:       log,
		now:       now,
		suspended: suspended,
		events:    make(chan Event, eventBuffer),
		tenure:    t,
		linkMbps:  s.LinkMbps,
		writer:    storeWriter{kv: p.KV, fence: t.fence},
		speed:     speed,
		metrics:   m,
		core:      NewCore(t.fence, s.Name, s.Size, now()),
	}
	o.renewedAt.Set(t.since)
	return o
}

// run owns until the ownership ends, and returns why it did.
func (o *owner) run(ctx context.Context, config *platform.Deployed) string {
	ctx, o.cancel = context.WithCancel(ctx)
	defer o.cancel()
	go o.renew(ctx)
	inherited, from, err := o.loadWithRetry(ctx, config)
	if err != nil {
		return "cannot read what to take over: " + err.Error()
	}
	o.log.Write(LogLine{What: "takes over", Fields: []any{
		"fence", int64(o.tenure.fence), "jobs", len(inherited.Jobs), "workers", len(inherited.Workers),
		"took_ms", o.now().Sub(o.tenure.since).Milliseconds(),
	}})
	o.post(inherited)
	o.post(loadDone{o})
	go o.followJobs(ctx, from.jobs)
	go o.followWorkers(ctx, from.workers)
	o.loop(ctx)
	if o.resignReason == "" {
		return "stopping"
	}
	return o.resignReason
}

// loadDone follows what an owner takes over, and opens it to questions.
type loadDone struct {
	o *owner
}

func (e loadDone) apply(*Core) {
	e.o.loaded.Store(true)
}

// resign ends the ownership.
func (o *owner) resign(why string) {
	o.resignOnce.Do(func() {
		o.resignReason = why
		o.cancel()
	})
}

// post hands an event to the loop.
func (o *owner) post(e Event) {
	o.events <- e
}

// send hands an event to the loop unless the ownership ends.
func (o *owner) send(ctx context.Context, e Event) {
	select {
	case o.events <- e:
	case <-ctx.Done():
	}
}

func (o *owner) loop(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	var next time.Time
	for {
		var e Event
		select {
		case <-ctx.Done():
			return
		case e = <-o.events:
		case <-t.C:
			e = Tick{}
		}
		if d := next.Sub(o.now()); d > 0 {
			common.Sleep(ctx, d)
		}
		next = o.now().Add(stepEvery)
		if !o.performAll(ctx, o.step(e)) {
			return
		}
	}
}

// performAll does the actions while the owner may act, and ends the ownership once it may
// not. It reports whether it still may.
func (o *owner) performAll(ctx context.Context, l []Action) bool {
	for _, a := range l {
		if !o.mayAct() {
			return false
		}
		o.perform(ctx, a)
	}
	return o.mayAct()
}

// mayAct reports whether the owner may send anything, and ends the ownership if not.
func (o *owner) mayAct() bool {
	why := o.lostAuthority()
	if why != "" {
		o.resign(why)
	}
	return why == ""
}

// lostAuthority returns why nothing may be sent any more, also after a pause of the
// process or of its host; nothing while the owner may go on.
func (o *owner) lostAuthority() string {
	switch {
	case o.suspendedFor() > maxSuspended:
		return whySuspended
	case o.sinceRenewal() > ownerAuthority:
		return whyStoreUnreachable
	}
	return ""
}

// step takes in the event and those that wait behind it.
func (o *owner) step(e Event) []Action {
	b := Batch{e}
	for len(b) < maxBatch && len(o.events) > 0 {
		b = append(b, <-o.events)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.Step(o.now(), b)
}

// whySuspended is the reason of an owner whose host was suspended: the steady clock by
// which its own lease, and those of workers, are judged stood still.
const whySuspended = "this host was suspended"

// whyStoreUnreachable is the reason of an owner that the store has not answered in time.
const whyStoreUnreachable = "the store has been away for too long"

// renew keeps the owner's lease, and ends the ownership when it is over or when
// the store has been away for too long.
func (o *owner) renew(ctx context.Context) {
	t := time.NewTicker(renewEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			// An answer that is lost must not hold up the next renewal.
			go o.renewOnce(ctx)
			o.speed.sample()
			if o.speed.slow() {
				o.resign(whySlow)
			}
		}
	}
}

func (o *owner) renewOnce(ctx context.Context) {
	sent := o.now()
	call, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := o.KV.Renew(call, o.tenure.lease)
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, platform.ErrNotFound):
		o.resign("its lease is over")
	case err == nil:
		o.renewedAt.Advance(sent)
		o.send(ctx, LeaseRenewed{SentAt: sent})
	default:
		o.log.Write(LogLine{What: "lease not renewed", Why: err.Error(), Fields: []any{"age_ms", o.sinceRenewal().Milliseconds()}})
	}
}

// suspendedFor is for how long the host was suspended since this ownership was claimed.
func (o *owner) suspendedFor() time.Duration {
	return o.suspended() - o.tenure.suspended
}

// sinceRenewal is how long ago at most the last renewal was sent that the store has
// answered.
func (o *owner) sinceRenewal() time.Duration {
	return o.now().Sub(o.renewedAt.Get()) + o.suspendedFor()
}
