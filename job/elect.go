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

// Settings of ownership.
const (
	// ownerTTL is the time to live of the owner's lease: after the owner has died, the
	// next one takes over that much later. The store accepts no less than one second, and
	// answers within a quarter of a second while it is slow.
	ownerTTL = 1500 * time.Millisecond
	// abstainFor is how long a host that could not reach the workers, or has become slow,
	// does not claim ownership. Network partitions last about six seconds.
	abstainFor = 5 * time.Second
	// revokeTimeout bounds the retries of revoking a lease: outages of the store last
	// five seconds.
	revokeTimeout = 6 * time.Second
	// claimRetry is the pause after a failed claim or revocation.
	claimRetry = 200 * time.Millisecond
	// smallHostDelay is how much later the smallest host claims, so that a larger one may
	// do so first. A claim takes some ten milliseconds. Where there is no larger host, the
	// vacancy lasts longer by about a third of the lease's time to live.
	smallHostDelay = 600 * time.Millisecond
	// ownerCores is how many cores a busy owner uses: 0.4 with 350 workers and 300 starts
	// a second. A host with fewer cores delays its claim.
	ownerCores = 0.4
	// ownerLinkMbps is the bandwidth that a busy owner uses, in megabits a second: 1,000
	// starts a second of 1.5 kB each, including the polls that report their ends.
	ownerLinkMbps = 12
	// ownerMemoryMB is the most memory that an owner uses, in megabytes: 126 with 372
	// workers, and room for the lists of a takeover.
	ownerMemoryMB = 150
)

// Size describes the resources of a host.
type Size struct {
	// Cores is the number of cores, which may be a fraction.
	Cores float64
	// LinkMbps is the bandwidth of its link, in megabits a second, and MemoryMB what a
	// process may use, in megabytes; zero means unknown.
	LinkMbps, MemoryMB float64
	// OrdersPerSecond is how many orders to machines the platform accepts from all hosts
	// together; zero means unknown.
	OrdersPerSecond float64
}

// fitness returns how much of a busy owner's load the host can carry, from 0 to 1.
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

// Owner names the entry host that is the owner.
type Owner struct {
	Name string         `json:"name"`
	Peer netip.AddrPort `json:"peer"`
	// Process identifies the process on the host, as it is drawn at random at its start. Earlier
	// versions leave it out.
	Process string `json:"process,omitempty"`
	// Fence is the revision at which it claimed ownership.
	Fence platform.Fence `json:"-"`
}

// election tracks who the owner is, and claims ownership when it is vacant.
type election struct {
	kv   *platform.KV
	self Owner
	size Size
	log  *Logger
	now  func() time.Time
	// suspended returns for how long the host has been suspended in total.
	suspended func() time.Duration
	mu        sync.Mutex
	// current is the zero Owner while ownership is vacant.
	current    Owner
	succession succession
	// admission is the last admission policy of an owner.
	admission heldPolicy
	// wake wakes campaign when ownership becomes vacant or can be taken over from an earlier process.
	wake chan struct{}
	// abstainUntil is when the host may claim again. A withdrawn host never does.
	abstainUntil time.Time
	withdrawn    bool
}

func newElection(kv *platform.KV, self Owner, s Size, log *Logger, now func() time.Time, suspended func() time.Duration) *election {
	return &election{kv: kv, self: self, size: s, log: log, now: now, suspended: suspended, succession: succession{self: self}, wake: make(chan struct{}, 1)}
}

// claimAt returns when the host may claim ownership that is vacant now: the smaller the
// host, the later.
func (e *election) claimAt(now time.Time) time.Time {
	return now.Add(time.Duration((1 - e.size.fitness()) * float64(smallHostDelay)))
}

// owner returns the last known owner; its name is "" while ownership is vacant.
func (e *election) owner() Owner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

func (e *election) setOwner(o Owner) {
	e.mu.Lock()
	changed := e.current != o
	if e.admission.Fence == e.current.Fence {
		e.admission.ownerSeenAt = e.now()
	}
	e.current = o
	e.mu.Unlock()
	if changed {
		e.log.Write(LogLine{What: "owner", Why: o.Name, Fields: []any{"fence", int64(o.Fence)}})
	}
	if o.Name == "" {
		e.wakeCampaign()
	}
}

func (e *election) wakeCampaign() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// follow keeps the current owner up to date until the context ends.
func (e *election) follow(ctx context.Context) {
	f := &follower{kv: e.kv, prefix: ownerKey, watchTimes: ownerWatch, log: e.log, now: e.now, onAnswer: e.noteAnswer}
	f.onList = func(l []platform.Entry, _ platform.Revision) {
		vacant := true
		for _, v := range l {
			vacant = vacant && v.Key != ownerKey
			e.apply(v)
		}
		if vacant {
			e.setOwner(Owner{})
		}
		e.noteOwnerList(l)
	}
	f.onChange = func(l []platform.Event, _ platform.Revision) {
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

// apply applies an entry whose key begins with the owner's key.
func (e *election) apply(v platform.Entry) {
	switch v.Key {
	case ownerKey:
		e.applyOwner(v)
	case admissionKey:
		e.applyAdmissionPolicy(v)
	}
}

// applyOwner applies the entry of the owner's key.
func (e *election) applyOwner(v platform.Entry) {
	if c := e.decodeClaim(v); c.Fence != 0 {
		e.setOwner(c.Owner)
	}
}

// decodeClaim returns the claim in the entry of the owner's key, or a zero one if it is invalid.
func (e *election) decodeClaim(v platform.Entry) ownerClaim {
	var o Owner
	if err := json.Unmarshal(v.Value, &o); err != nil {
		e.log.Write(LogLine{What: "store entry invalid", Why: err.Error()})
		return ownerClaim{}
	}
	o.Fence = platform.Fence(v.Revision)
	return ownerClaim{Owner: o, lease: v.Lease}
}

// abstain keeps this host from claiming ownership for a while.
func (e *election) abstain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abstainUntil = e.now().Add(abstainFor)
}

// withdraw keeps this host from claiming ownership ever again.
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

// abstainLeft returns how long the host still abstains; zero or less means not any more.
func (e *election) abstainLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.abstainUntil.Sub(e.now())
}

// campaign claims ownership whenever it is vacant, or held by an earlier process of this host. It
// returns a tenure once this host is the owner, or false when the context ends or the host has
// withdrawn.
func (e *election) campaign(ctx context.Context) (tenure, bool) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return tenure{}, false
		case <-e.wake:
		}
		if t, ok := e.replacePredecessor(ctx); ok {
			return t, !e.revokeIfWithdrawn(ctx, t)
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
			if err == nil {
				return t, !e.revokeIfWithdrawn(ctx, t)
			}
			if errors.Is(err, platform.ErrConflict) {
				break
			}
			common.Sleep(ctx, claimRetry)
		}
	}
	return tenure{}, false
}

// revokeIfWithdrawn gives up a tenure if the host has withdrawn meanwhile, and reports whether it has.
func (e *election) revokeIfWithdrawn(ctx context.Context, t tenure) bool {
	if !e.isWithdrawn() {
		return false
	}
	go e.revokeLeases(ctx, t)
	return true
}
