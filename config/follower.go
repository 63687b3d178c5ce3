package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"amberway/common"
	"amberway/platform"
)

// Source provides a head and its sections.
type Source interface {
	// Head returns the head that is in force at the source.
	Head(ctx context.Context) (*Head, error)
	// Sections returns those of the sections that the source has.
	Sections(ctx context.Context, l []Hash) (map[Hash][]byte, error)
}

// listThreshold is the number of missing sections above which all sections are listed
// at once instead of read one by one.
const listThreshold = 8

// rereadInterval is how often the head is read despite the watch, to recover from a
// watch that has failed silently.
const rereadInterval = 20 * time.Second

// Follower keeps the configuration in force up to date from the platform and
// from peers.
type Follower struct {
	store   platform.Store
	log     common.Log
	now     func() time.Time
	mu      sync.Mutex
	adopter *Adopter
	current atomic.Pointer[Snapshot]
	// headRevision is the revision of the newest head read and put in force.
	headRevision platform.Revision
	onAdopt      []func(*Snapshot)
}

// NewFollower returns a follower of the store's head. It calls each onAdopt function
// with every snapshot that it puts in force.
func NewFollower(d common.Deps, s platform.Store, onAdopt ...func(*Snapshot)) *Follower {
	f := &Follower{store: s, log: d.Log("config"), now: d.Now, adopter: NewAdopter(), onAdopt: onAdopt}
	f.current.Store(f.adopter.Current())
	return f
}

// Current returns the snapshot in force.
func (f *Follower) Current() *Snapshot {
	return f.current.Load()
}

// ConfirmedAt returns when the platform itself last confirmed its head, or the zero time.
func (f *Follower) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.adopter.ConfirmedAt
}

// Run follows the platform's head until the context ends.
func (f *Follower) Run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 200 * time.Millisecond
	b.MaxInterval = 3 * time.Second
	for ctx.Err() == nil {
		start := f.now()
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if f.now().Sub(start) > rereadInterval/2 {
			b.Reset()
		}
		f.log.Warnf("cannot follow the configuration: %v", err)
		common.Sleep(ctx, b.NextBackOff())
	}
}

// follow reads and watches the head until an error occurs. The watch is interrupted
// about every rereadInterval by a new read.
func (f *Follower) follow(ctx context.Context) error {
	for {
		rev, err := f.readHead(ctx)
		if err != nil {
			return err
		}
		if err := f.watchHead(ctx, rev); err != nil {
			return err
		}
	}
}

func (f *Follower) readHead(ctx context.Context) (platform.Revision, error) {
	e, ok, err := f.store.GetAfter(ctx, HeadKey, f.headRevision)
	if err != nil {
		return 0, err
	}
	f.markConfirmed()
	if !ok {
		return f.headRevision, nil
	}
	h, err := DecodeHead(e.Value)
	if err != nil {
		return 0, err
	}
	if err := f.adopt(ctx, h, platformSource{f.store}); err != nil {
		return 0, err
	}
	f.headRevision = e.Revision
	return f.headRevision, nil
}

// watchHead watches the head. It returns nil when the next read is due.
func (f *Follower) watchHead(ctx context.Context, rev platform.Revision) error {
	d := rereadInterval + rand.N(rereadInterval/4)
	wctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	err := f.store.Watch(wctx, HeadKey, rev, func(l []platform.Event) { f.applyEvents(wctx, l) })
	if wctx.Err() != nil && ctx.Err() == nil {
		return nil
	}
	return err
}

func (f *Follower) applyEvents(ctx context.Context, l []platform.Event) {
	f.markConfirmed()
	for _, e := range l {
		if e.Key != HeadKey || e.Deleted {
			continue
		}
		h, err := DecodeHead(e.Value)
		if err != nil {
			f.log.Errorf("head not decoded: %v", err)
			continue
		}
		if err := f.adopt(ctx, h, platformSource{f.store}); err != nil {
			f.log.Warnf("generation %d not fetched: %v", h.Generation, err)
		}
	}
}

// markConfirmed records that the platform has just confirmed its head.
func (f *Follower) markConfirmed() {
	f.mu.Lock()
	f.adopter.ConfirmedAt = f.now()
	f.mu.Unlock()
}

// FetchFrom adopts the source's head if it is newer.
func (f *Follower) FetchFrom(ctx context.Context, s Source) error {
	h, err := s.Head(ctx)
	if err != nil {
		return err
	}
	return f.adopt(ctx, h, s)
}

// adopt offers the head to the adopter, fetches from s the sections that the pending head
// still lacks, and puts that head in force once it is complete.
func (f *Follower) adopt(ctx context.Context, h *Head, s Source) error {
	f.mu.Lock()
	f.adopter.Offer(h)
	missing := f.adopter.Missing()
	f.mu.Unlock()
	var blobs map[Hash][]byte
	if len(missing) > 0 {
		var err error
		blobs, err = s.Sections(ctx, missing)
		if err != nil {
			return err
		}
	}
	return f.supply(blobs)
}

func (f *Follower) supply(blobs map[Hash][]byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, err := f.adopter.Supply(f.now(), blobs)
	if err != nil || n == nil {
		return err
	}
	f.log.Infof("generation %d in force", n.Head.Generation)
	f.current.Store(n)
	for _, o := range f.onAdopt {
		o(n)
	}
	return nil
}

// platformSource is the Source that reads from the platform.
type platformSource struct {
	store platform.Store
}

// Head returns the platform's head.
func (p platformSource) Head(ctx context.Context) (*Head, error) {
	h, _, err := ReadHead(ctx, p.store)
	return h, err
}

// Sections reads the sections one by one, or lists all of them if there are more than
// listThreshold.
func (p platformSource) Sections(ctx context.Context, l []Hash) (map[Hash][]byte, error) {
	m := map[Hash][]byte{}
	if len(l) > listThreshold {
		all, _, err := p.store.List(ctx, SectionPrefix)
		if err != nil {
			return nil, err
		}
		for _, e := range all {
			m[Hash(e.Key[len(SectionPrefix):])] = e.Value
		}
		return m, nil
	}
	for _, h := range l {
		e, err := p.store.Get(ctx, SectionPrefix+string(h))
		if err != nil {
			return nil, err
		}
		m[h] = e.Value
	}
	return m, nil
}
