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

// Settings of an owner.
const (
	// tickEvery is the interval of Tick events.
	tickEvery = 50 * time.Millisecond
	// renewEvery is the interval at which the owner's lease is renewed: four times in its
	// time to live.
	renewEvery = ownerTTL / 4
	// renewTimeout bounds one renewal. Half of it goes to a kept-alive connection, the rest
	// to a new one. A renewal is sent every renewEvery, whether or not the last was
	// answered, on a connection of its own, so that the lease is renewed in time even if a
	// silent connection costs one of them its first half. With a shorter half, an answer
	// that a full link delayed was mistaken for silence and cost a new connection, which
	// was delayed as much.
	renewTimeout = 4 * ownerTTL / 5
	// maxSuspended is the longest total time for which an owner's host may have been
	// suspended. The owner's clock falls behind by that time, so that it extends workers'
	// leases by as much too far; inheritedLease allows for half a second of that.
	maxSuspended = 300 * time.Millisecond
	// maxBatch is the most events that are applied before tasks are placed.
	maxBatch = 256
	// stepEvery is the minimum time between two steps. Events that arrive within it are
	// applied together: an owner of 350 workers gets 1,500 events a second, and a job can
	// spare some hundred milliseconds.
	stepEvery = 4 * time.Millisecond
)

// eventBuffer is how many events may wait for the owner.
const eventBuffer = 4096

// Clients are the clients of the platform's services that an owner calls.
type Clients struct {
	KV       *platform.KV
	Workers  *platform.Workers
	Machines *platform.Machines
	Advice   *platform.Advice
}

// connections returns the connections of those clients that are set.
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

// owner runs a Core: it passes events to it and performs its actions.
type owner struct {
	Clients
	log *Logger
	now func() time.Time
	// suspended returns for how long the host has been suspended in total.
	suspended func() time.Duration
	events    chan Event
	tenure    tenure
	// linkMbps is the bandwidth of the host's link, in megabits a second; zero means unknown.
	linkMbps float64
	// startsUntil returns the time until which tasks may start if the keys of the operator were
	// current at the given time.
	startsUntil func(time.Time) time.Time
	writer      storeWriter
	speed       *speedMonitor
	metrics     *metrics
	// mu guards core, which callers' requests read.
	mu   sync.Mutex
	core *Core
	// loaded reports whether core holds the state that the owner took over.
	loaded atomic.Bool
	// renewedAt is when the last successful renewal was sent.
	renewedAt    common.Instant
	cancel       context.CancelFunc
	resignOnce   sync.Once
	resignReason string
}

func newOwner(p Clients, log *Logger, now func() time.Time, suspended func() time.Duration, s Settings, t tenure, speed *speedMonitor, m *metrics) *owner {
	o := &owner{
		Clients:     p,
		log:         log,
		now:         now,
		suspended:   suspended,
		events:      make(chan Event, eventBuffer),
		tenure:      t,
		linkMbps:    s.LinkMbps,
		startsUntil: s.startsUntil,
		writer:      storeWriter{kv: p.KV, fence: t.fence},
		speed:       speed,
		metrics:     m,
		core:        NewCore(t.fence, s.Name, s.Size, now()),
	}
	o.renewedAt.Set(t.since)
	return o
}

// run acts as the owner until the ownership ends, and returns the reason for its end.
func (o *owner) run(ctx context.Context, config *platform.Config) string {
	ctx, o.cancel = context.WithCancel(ctx)
	defer o.cancel()
	go o.renew(ctx)
	inherited, from, err := o.loadWithRetry(ctx, config)
	if err != nil {
		return "cannot read the state to take over: " + err.Error()
	}
	o.log.Write(LogLine{What: "takes over", Fields: []any{
		"fence", int64(o.tenure.fence), "kind", string(o.tenure.kind()), "jobs", len(inherited.Jobs), "workers", len(inherited.Workers),
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

// loadDone is posted after Inherited: once it is applied, the owner answers requests about
// jobs.
type loadDone struct {
	o *owner
}

func (e loadDone) apply(*Core) {
	e.o.loaded.Store(true)
}

// resign ends the ownership. Only the first reason is kept.
func (o *owner) resign(why string) {
	o.resignOnce.Do(func() {
		o.resignReason = why
		o.cancel()
	})
}

// post passes an event to the loop, and waits while the buffer is full.
func (o *owner) post(e Event) {
	o.events <- e
}

// send passes an event to the loop unless the ownership ends.
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

// performAll performs the actions while the owner may act, and ends the ownership once it
// may not. It reports whether it still may.
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

// lostAuthority returns why the owner may not send anything any more, or "" while it may.
// The process or its host may have been paused since the last check.
func (o *owner) lostAuthority() string {
	switch {
	case o.suspendedFor() > maxSuspended:
		return whySuspended
	case o.sinceRenewal() > ownerAuthority:
		return whyStoreUnreachable
	}
	return ""
}

// step applies the event and those that wait behind it, and returns the actions to perform.
func (o *owner) step(e Event) []Action {
	b := Batch{e}
	for len(b) < maxBatch && len(o.events) > 0 {
		b = append(b, <-o.events)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.Step(o.now(), b)
}

// whySuspended is the reason of an owner whose host was suspended: the monotonic clock, by
// which it measures its own lease and those of workers, stood still meanwhile.
const whySuspended = "this host was suspended"

// whyStoreUnreachable is the reason of an owner that the store has not answered in time.
const whyStoreUnreachable = "the store has been unreachable for too long"

// renew renews the owner's lease until the ownership ends. It resigns when the host has
// become slow.
func (o *owner) renew(ctx context.Context) {
	t := time.NewTicker(renewEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			// A renewal whose answer is lost must not delay the next one.
			go o.renewOnce(ctx)
			o.speed.sample()
			if o.speed.slow() {
				o.resign(whySlow)
			}
		}
	}
}

// renewOnce renews the owner's lease, and resigns if it has expired.
func (o *owner) renewOnce(ctx context.Context) {
	sent := o.now()
	call, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := o.KV.Renew(call, o.tenure.lease)
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, platform.ErrNotFound):
		o.resign("its lease has expired")
	case err == nil:
		o.renewedAt.Advance(sent)
		o.send(ctx, LeaseRenewed{SentAt: sent})
	default:
		o.log.Write(LogLine{What: "lease not renewed", Why: err.Error(), Fields: []any{"age_ms", o.sinceRenewal().Milliseconds()}})
	}
}

// suspendedFor returns for how long the host was suspended since it claimed ownership.
func (o *owner) suspendedFor() time.Duration {
	return o.suspended() - o.tenure.suspended
}

// sinceRenewal returns an upper bound of the time since the last successful renewal was sent.
func (o *owner) sinceRenewal() time.Duration {
	return o.now().Sub(o.renewedAt.Get()) + o.suspendedFor()
}
