package job

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"sync"
	"time"

	"amberway/common"
	"amberway/platform"
)

// Times of ownership.
const (
	// ownerTTL is the time to live of the owner's lease: the next owner takes
	// over that long after the last has died. The store takes one second at
	// least, and answers within a quarter of a second while it is slow.
	ownerTTL = 1500 * time.Millisecond
	// abstainFor is how long a host that could not reach the workers leaves
	// ownership to others. Cuts last about six seconds.
	abstainFor = 5 * time.Second
	// revokeTimeout is how long the end of a lease is tried: the store is away for
	// five seconds at a time.
	revokeTimeout = 6 * time.Second
	// claimRetry is the pause after a claim that failed.
	claimRetry = 200 * time.Millisecond
	// smallHostDelay is how long a host with hardly any processor, link or memory leaves a
	// claim to larger ones. A claim takes some ten milliseconds, and a third of the time
	// to live of the owner's lease more is borne where no larger host lives.
	smallHostDelay = 600 * time.Millisecond
	// ownerCores is what an owner takes at its busiest: 0.4 of a core with 350
	// workers and 300 starts a second. Hosts that have it claim at once.
	ownerCores = 0.4
	// ownerLinkMbps is the link that an owner fills at its busiest, in megabits a second:
	// 1,000 starts a second, of 1.5 kB with the looks that bring their ends.
	ownerLinkMbps = 12
	// ownerMemoryMB is what an owner takes at its most, in megabytes: 126 with 372
	// workers, and room for the lists of a takeover.
	ownerMemoryMB = 150
)

// Size is what a host has.
type Size struct {
	// Cores is how much of a core the host has.
	Cores float64
	// LinkMbps is what its link carries, in megabits a second, and Memory what a process
	// may take, in megabytes; zero is not known.
	LinkMbps, MemoryMB float64
	// OrdersPerSecond is how many orders to machines the platform takes from all hosts
	// together; zero is not known.
	OrdersPerSecond float64
}

// fitness is how far the host is up to owning, from 0 to 1.
func (s Size) fitness() float64 {
	f := min(1, s.Cores/ownerCores)
	if s.LinkMbps > 0 {
		f = min(f, s.LinkMbps/ownerLinkMbps)
	}
	if s.MemoryMB > 0 {
		f = min(f, s.MemoryMB/ownerMemoryMB)
	}
	return max(0, f)
}

// Owner tells who owns.
type Owner struct {
	Name string         `json:"name"`
	Peer netip.AddrPort `json:"peer"`
	// Fence is the revision at which it took ownership.
	Fence platform.Fence `json:"-"`
}

// election keeps to who owns, and claims ownership when nobody does.
type election struct {
	kv   *platform.KV
	self Owner
	size Size
	log  *Logger
	now  func() time.Time
	// suspended tells for how long the host has been suspended so far.
	suspended func() time.Duration
	mu        sync.Mutex
	// current is the zero Owner while nobody owns.
	current Owner
	// admission is what an owner last said of its queues, heard at fullAt.
	admission   AdmissionPolicy
	admissionAt time.Time
	vacant      chan struct{}
	// abstainUntil is when the host may claim again; retired says never.
	abstainUntil time.Time
	withdrawn    bool
}

func newElection(kv *platform.KV, self Owner, s Size, log *Logger, now func() time.Time, suspended func() time.Duration) *election {
	return &election{kv: kv, self: self, size: s, log: log, now: now, suspended: suspended, vacant: make(chan struct{}, 1)}
}

// claimAt returns when the host may claim what has become vacant now: the
// smaller it is, the longer it leaves that to others.
func (e *election) claimAt(now time.Time) time.Time {
	return now.Add(time.Duration((1 - e.size.fitness()) * float64(smallHostDelay)))
}

// owner returns who owns as far as is known; its name is "" if nobody does.
func (e *election) owner() Owner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

func (e *election) setOwner(o Owner) {
	e.mu.Lock()
	changed := e.current != o
	e.current = o
	e.mu.Unlock()
	if changed {
		e.log.Write(LogLine{What: "owner", Why: o.Name, Fields: []any{"fence", int64(o.Fence)}})
	}
	if o.Name == "" {
		select {
		case e.vacant <- struct{}{}:
		default:
		}
	}
}

// follow keeps current until the context ends.
func (e *election) follow(ctx context.Context) {
	f := &follower{kv: e.kv, prefix: ownerKey, watchTimes: ownerWatch, log: e.log}
	f.onList = func(l []platform.Entry) {
		vacant := true
		for _, v := range l {
			vacant = vacant && v.Key != ownerKey
			e.apply(v)
		}
		if vacant {
			e.setOwner(Owner{})
		}
	}
	f.onChange = func(l []platform.Event) {
		for _, v := range l {
			switch {
			case !v.Deleted:
				e.apply(v.Entry)
			case v.Key == ownerKey:
				e.setOwner(Owner{})
			}
		}
	}
	f.run(ctx)
}

// apply takes in what a key under the owner's says.
func (e *election) apply(v platform.Entry) {
	switch v.Key {
	case ownerKey:
		e.applyOwner(v)
	case admissionKey:
		e.applyAdmissionPolicy(v)
	}
}

// applyOwner notes who owns.
func (e *election) applyOwner(v platform.Entry) {
	var o Owner
	if err := json.Unmarshal(v.Value, &o); err != nil {
		e.log.Write(LogLine{What: "entry not understood", Why: err.Error()})
		return
	}
	o.Fence = platform.Fence(v.Revision)
	e.setOwner(o)
}

// abstain leaves ownership to others for a while.
func (e *election) abstain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abstainUntil = e.now().Add(abstainFor)
}

// withdraw leaves ownership to others for good.
func (e *election) withdraw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withdrawn = true
}

func (e *election) isWithdrawn() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.withdrawn
}

func (e *election) abstainLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.abstainUntil.Sub(e.now())
}

// campaign returns a tenure once this host owns, or false when the context ends.
func (e *election) campaign(ctx context.Context) (tenure, bool) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return tenure{}, false
		case <-e.vacant:
		}
		if d := e.abstainLeft(); d > 0 {
			common.Sleep(ctx, d)
		}
		now := e.now()
		if d := e.claimAt(now).Sub(now); d > 0 {
			common.Sleep(ctx, d)
		}
		for e.owner().Name == "" && ctx.Err() == nil && !e.isWithdrawn() {
			t, err := e.claim(ctx)
			if err == nil && e.isWithdrawn() {
				go e.revokeLease(ctx, t.lease)
				return tenure{}, false
			}
			if err == nil {
				return t, true
			}
			if errors.Is(err, platform.ErrConflict) {
				break
			}
			common.Sleep(ctx, claimRetry)
		}
	}
	return tenure{}, false
}

// claim creates the owner's key under a new lease.
func (e *election) claim(ctx context.Context) (tenure, error) {
	since, suspended := e.now(), e.suspended()
	lease, err := e.kv.Grant(ctx, ownerTTL)
	if err != nil {
		return tenure{}, err
	}
	b, err := json.Marshal(e.self)
	if err != nil {
		return tenure{}, err
	}
	at, _, err := e.kv.Commit(ctx, platform.Txn{
		Guards: []platform.Guard{{Key: ownerKey}},
		Puts:   []platform.Put{{Key: ownerKey, Value: b, Lease: lease}},
	})
	if err != nil {
		e.log.Write(LogLine{What: "claim failed", Why: err.Error()})
		go e.revokeLease(ctx, lease)
		return tenure{}, err
	}
	self := e.self
	self.Fence = platform.Fence(at)
	e.setOwner(self)
	return tenure{fence: platform.Fence(at), lease: lease, since: since, suspended: suspended}, nil
}

// revokeLease gives up a lease, with the owner's key if it has one. It tries for
// as long as the lease may last: leases wait while the store is away.
func (e *election) revokeLease(ctx context.Context, l platform.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	for {
		err := e.kv.Revoke(ctx, l)
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			return
		}
		e.log.Write(LogLine{What: "lease not ended", Why: err.Error()})
		common.Sleep(ctx, claimRetry)
		if ctx.Err() != nil {
			return
		}
	}
}
