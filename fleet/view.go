package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"amberway/common"
	"amberway/platform"
)

// Times of a view.
const (
	// listInterval is how often the host list is read. A leaving host gets no new
	// work within three seconds of the list's word.
	listInterval = time.Second
	// rereadInterval bounds how long a watch that died unnoticed goes unnoticed.
	rereadInterval = 10 * time.Second
)

// Snapshot is what is known of one data centre. It is never changed.
type Snapshot struct {
	Record   Record
	Revision platform.Revision
	List     platform.HostList
	// Usable gives the address of each host that may get work.
	Usable map[string]netip.AddrPort
	// ListedAt is when the list was last read.
	ListedAt time.Time
}

// newSnapshot works out which hosts may get work: those in service that the
// last list known has as live and staying. A list that cannot be refreshed is
// used on, so that an outage of the platform stops no request.
func newSnapshot(r Record, rev platform.Revision, l platform.HostList, at time.Time) *Snapshot {
	s := &Snapshot{Record: r, Revision: rev, List: l, Usable: map[string]netip.AddrPort{}, ListedAt: at}
	for _, h := range l.Hosts {
		if available(r.Hosts[h.Name], h) {
			s.Usable[h.Name] = h.Address
		}
	}
	return s
}

// View follows the record and the host list of one data centre.
type View struct {
	dc       string
	store    platform.Store
	hosts    platform.Hosts
	log      common.Log
	now      func() time.Time
	mu       sync.Mutex
	current  atomic.Pointer[Snapshot]
	onChange func(*Snapshot)
}

// NewView returns a view of the data centre that calls onChange with each new
// snapshot.
func NewView(d common.Deps, dc string, s platform.Store, h platform.Hosts, onChange func(*Snapshot)) *View {
	v := &View{dc: dc, store: s, hosts: h, log: d.Log("fleet"), now: d.Now, onChange: onChange}
	v.current.Store(newSnapshot(Record{}, 0, platform.HostList{}, time.Time{}))
	return v
}

// Current returns what is known now.
func (v *View) Current() *Snapshot {
	return v.current.Load()
}

// Address returns the address of a host that may get work, or false.
func (v *View) Address(name string) (netip.AddrPort, bool) {
	a, ok := v.Current().Usable[name]
	return a, ok
}

// Run follows the platform until the context ends.
func (v *View) Run(ctx context.Context) {
	go v.followList(ctx)
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 200 * time.Millisecond
	b.MaxInterval = 3 * time.Second
	for ctx.Err() == nil {
		if err := v.followRecord(ctx); err == nil {
			b.Reset()
			continue
		}
		common.Sleep(ctx, b.NextBackOff())
	}
}

// followRecord reads the record and watches it until it is due to be read
// again.
func (v *View) followRecord(ctx context.Context) error {
	rev, err := v.Refresh(ctx)
	if err != nil {
		return err
	}
	wctx, cancel := context.WithTimeout(ctx, rereadInterval+rand.N(rereadInterval/4))
	defer cancel()
	err = v.store.Watch(wctx, RecordKey(v.dc), rev, v.applyEvents)
	if wctx.Err() != nil {
		return nil
	}
	return err
}

// Refresh reads the record. It returns a revision to watch from.
func (v *View) Refresh(ctx context.Context) (platform.Revision, error) {
	known := v.Current().Revision
	e, ok, err := v.store.GetAfter(ctx, RecordKey(v.dc), known)
	if err != nil || !ok {
		return known, err
	}
	return e.Revision, v.offerEntry(e)
}

// Reload reads the record and the list, after a pause in which both may have
// changed.
func (v *View) Reload(ctx context.Context) error {
	if _, err := v.Refresh(ctx); err != nil {
		return err
	}
	l, err := v.hosts.List(ctx, v.dc)
	if err != nil {
		return err
	}
	v.OfferList(l)
	return nil
}

func (v *View) applyEvents(l []platform.Event) {
	for _, e := range l {
		if e.Key != RecordKey(v.dc) || e.Deleted {
			continue
		}
		if err := v.offerEntry(e.Entry); err != nil {
			v.log.Errorf("record not understood: %v", err)
		}
	}
}

func (v *View) offerEntry(e platform.Entry) error {
	r, err := DecodeRecord(e.Value)
	if err != nil {
		return err
	}
	v.OfferRecord(r, e.Revision)
	return nil
}

// OfferRecord takes in a record unless a newer one is known.
func (v *View) OfferRecord(r Record, rev platform.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.Current()
	if r.Version < c.Record.Version || (r.Version == c.Record.Version && rev <= c.Revision) {
		return
	}
	v.publish(newSnapshot(r, rev, c.List, c.ListedAt))
}

// OfferList takes in a host list unless a newer one is known.
func (v *View) OfferList(l platform.HostList) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.Current()
	if !l.AsOf.After(c.List.AsOf) {
		return
	}
	if sameHosts(l.Hosts, c.List.Hosts) {
		n := *c
		n.List.AsOf = l.AsOf
		n.ListedAt = v.now()
		v.current.Store(&n)
		return
	}
	v.publish(newSnapshot(c.Record, c.Revision, l, v.now()))
}

// sameHosts reports whether both are the very same slice, which the host list
// returns as long as nothing has changed.
func sameHosts(a, b []platform.Host) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

func (v *View) publish(s *Snapshot) {
	v.current.Store(s)
	v.onChange(s)
}

func (v *View) followList(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		l, err := v.hosts.List(ctx, v.dc)
		if err == nil {
			v.OfferList(l)
		}
		if err != nil && !failed && ctx.Err() == nil {
			v.log.Warnf("host list not read: %v", err)
		}
		failed = err != nil
		common.Sleep(ctx, listInterval-listInterval/8+rand.N(listInterval/4))
	}
}

// encode returns the record, if newer than the version, and the list as JSON.
func (s *Snapshot) encode(than int64) (record, hosts []byte, err error) {
	if s.Record.Version > than {
		record, err = json.Marshal(s.Record)
		if err != nil {
			return nil, nil, err
		}
	}
	if !s.List.AsOf.IsZero() {
		hosts, err = json.Marshal(s.List)
	}
	return record, hosts, err
}
