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

// Intervals of a View.
const (
	// listInterval is how often the host list is read. A leaving host must get no
	// new work from 3 s after the platform lists it as leaving.
	listInterval = time.Second
	// rereadInterval is how often the record is read despite the watch, to recover
	// from a watch that has failed silently.
	rereadInterval = 10 * time.Second
)

// Snapshot is the known state of one data centre. It is immutable.
type Snapshot struct {
	Record   Record
	Revision platform.Revision
	List     platform.HostList
	// Usable has the addresses of the hosts that may get work, by host name.
	Usable map[string]netip.AddrPort
	// ListedAt is when the list was last read.
	ListedAt time.Time
}

// newSnapshot returns a snapshot with the hosts that may get work: those in service
// that the last known list shows as live and not leaving. An old list stays in use, so
// that requests are still served during an outage of the platform.
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

// NewView returns a view of the data centre. It calls onChange with each snapshot in
// which the record or the hosts have changed.
func NewView(d common.Deps, dc string, s platform.Store, h platform.Hosts, onChange func(*Snapshot)) *View {
	v := &View{dc: dc, store: s, hosts: h, log: d.Log("fleet"), now: d.Now, onChange: onChange}
	v.current.Store(newSnapshot(Record{}, 0, platform.HostList{}, time.Time{}))
	return v
}

// Current returns the current snapshot.
func (v *View) Current() *Snapshot {
	return v.current.Load()
}

// Address returns the address of a host that may get work, or false.
func (v *View) Address(name string) (netip.AddrPort, bool) {
	a, ok := v.Current().Usable[name]
	return a, ok
}

// Run follows the record and the host list until the context ends.
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

// followRecord reads the record and watches it until the next read is due.
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

// Refresh reads the record and returns the revision to watch from.
func (v *View) Refresh(ctx context.Context) (platform.Revision, error) {
	known := v.Current().Revision
	e, ok, err := v.store.GetAfter(ctx, RecordKey(v.dc), known)
	if err != nil || !ok {
		return known, err
	}
	return e.Revision, v.offerEntry(e)
}

// Reload reads the record and the host list. It is called after a pause of the
// process, in which both may have changed.
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
			v.log.Errorf("record not decoded: %v", err)
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

// OfferRecord adopts the record unless the known one is as new or newer.
func (v *View) OfferRecord(r Record, rev platform.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.Current()
	if r.Version < c.Record.Version || (r.Version == c.Record.Version && rev <= c.Revision) {
		return
	}
	v.publish(newSnapshot(r, rev, c.List, c.ListedAt))
}

// OfferList adopts the host list unless the known one is as new or newer.
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

// sameHosts reports whether both are the same slice. platform.Hosts returns the same
// slice as long as the list has not changed.
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

// encode returns the record, if it is newer than the known version, and the host list as
// JSON.
func (s *Snapshot) encode(known int64) (record, hosts []byte, err error) {
	if s.Record.Version > known {
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
