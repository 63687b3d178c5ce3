package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"amberway/common"
	"amberway/config"
	"amberway/peers"
	"amberway/platform"
)

// planInterval is the time between two plans of a data centre.
const planInterval = 500 * time.Millisecond

// Members tells who is alive.
type Members interface {
	// LiveNames returns the names of the live members of a data centre.
	LiveNames(dc string) []string
	// Members returns every row of the table.
	Members() []peers.Member
}

// Coordinator plans for one data centre while this process is the first of its
// members. That two may take themselves to be first costs a lost swap, no more.
type Coordinator struct {
	dc          string
	self        string
	store       platform.Store
	hosts       platform.Hosts
	view        *View
	members     Members
	dialer      *peers.Dialer
	idleChecker IdleChecker
	config      func() *config.Snapshot
	log         common.Log
	now         func() time.Time
	// lastBasis is what the last plan was made from.
	lastBasis planBasis
	// sentTerms holds the term of the last order that the platform took.
	sentTerms map[string]int64
}

// CoordinatorOptions are what a Coordinator is made of.
type CoordinatorOptions struct {
	DataCentre  string
	Self        string
	Store       platform.Store
	Hosts       platform.Hosts
	View        *View
	Members     Members
	Dialer      *peers.Dialer
	IdleChecker IdleChecker
	Config      func() *config.Snapshot
}

// NewCoordinator returns a coordinator that is not running yet.
func NewCoordinator(d common.Deps, p CoordinatorOptions) *Coordinator {
	return &Coordinator{
		dc: p.DataCentre, self: p.Self, store: p.Store, hosts: p.Hosts, view: p.View, members: p.Members,
		dialer: p.Dialer, idleChecker: p.IdleChecker, config: p.Config, log: d.Log("fleet"), now: d.Now, sentTerms: map[string]int64{},
	}
}

// Run plans until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if common.RankFirst(RecordKey(c.dc), c.members.LiveNames(c.dc)) == c.self {
			c.planOnce(ctx)
		}
		common.Sleep(ctx, planInterval)
	}
}

// replanInterval is how often a plan is made although nothing has changed: what a
// plan comes to also depends on time.
const replanInterval = 5 * time.Second

// planBasis is what a plan is made from, to tell whether anything has changed.
type planBasis struct {
	revision   platform.Revision
	generation int64
	hosts      *platform.Host
	at         time.Time
}

// needsPlan reports whether a plan could come to anything new: something changed, a
// host is draining, or it is time.
func (c *Coordinator) needsPlan(s *Snapshot, g *config.Snapshot, now time.Time) bool {
	b := planBasis{revision: s.Revision, generation: g.Head.Generation, at: now}
	if len(s.List.Hosts) > 0 {
		b.hosts = &s.List.Hosts[0]
	}
	old := c.lastBasis
	old.at = now
	if old == b && !s.Record.hasDraining() && now.Before(c.lastBasis.at.Add(replanInterval)) {
		return false
	}
	c.lastBasis = b
	return true
}

// planOnce makes one plan, swaps it in, and sends its orders only after that.
func (c *Coordinator) planOnce(ctx context.Context) {
	s := c.view.Current()
	g := c.config()
	if g.Head.Generation == 0 || s.List.AsOf.IsZero() || !c.needsPlan(s, g, c.now()) {
		return
	}
	o := Plan(Input{
		Now:        c.now(),
		Document:   g.Document,
		Generation: g.Head.Generation,
		DataCentre: c.dc,
		Record:     s.Record,
		List:       s.List,
		IdleTerms:  c.idleHosts(ctx, s.Record),
	})
	if o.Changed && !c.writePlan(ctx, s, o.Record, g.Head.Generation) {
		return
	}
	c.sendOrders(ctx, o.Orders)
}

// writePlan writes the record. Only a swap that is known to have taken effect
// counts; after any other the record is read anew.
func (c *Coordinator) writePlan(ctx context.Context, s *Snapshot, r Record, gen int64) bool {
	r.Version = s.Record.Version + 1
	r.WriteID = uuid.NewString()
	r.Generation = gen
	b, err := json.Marshal(r)
	if err != nil {
		c.log.Errorf("record not written: %v", err)
		return false
	}
	rev, err := c.store.Swap(ctx, RecordKey(c.dc), b, s.Revision)
	if err == nil {
		c.view.OfferRecord(r, rev)
		return true
	}
	if !errors.Is(err, platform.ErrConflict) {
		c.log.Warnf("record not written: %v", err)
	}
	_, _ = c.view.Refresh(ctx)
	return false
}

// sendOrders sends each order that the platform has not taken yet.
func (c *Coordinator) sendOrders(ctx context.Context, l []platform.RebootOrder) {
	for _, o := range l {
		if c.sentTerms[o.Host] >= o.Term || !c.now().Before(o.Deadline) {
			continue
		}
		if err := c.hosts.Reboot(ctx, o); err != nil {
			c.log.Warnf("order not taken: %v", err)
			continue
		}
		c.sentTerms[o.Host] = o.Term
		c.log.Infof("host %s reboots", o.Host)
	}
}

// idleHosts asks every entry host of the data centre, as no other sends to its hosts,
// which draining hosts are idle there. A host
// counts as idle only if all of them said so in the same term. One that does
// not answer holds it back, also when it is taken for dead: it may be paused
// with requests in flight. Members forgets it after a time, and leaves out one
// that stopped as planned.
func (c *Coordinator) idleHosts(ctx context.Context, r Record) map[string]int64 {
	terms := map[string]int64{}
	for n, w := range r.Hosts {
		if w.State == Draining {
			terms[n] = w.Term
		}
	}
	if len(terms) == 0 {
		return nil
	}
	asked := slices.DeleteFunc(c.members.Members(), func(m peers.Member) bool {
		return m.State == peers.Left || m.DataCentre != c.dc
	})
	answers := make([]map[string]bool, len(asked))
	var g sync.WaitGroup
	for n, m := range asked {
		g.Go(func() { answers[n] = c.askMember(ctx, m, terms) })
	}
	g.Wait()
	return idleEverywhere(terms, answers)
}

func (c *Coordinator) askMember(ctx context.Context, m peers.Member, terms map[string]int64) map[string]bool {
	if m.Name == c.self {
		idle := map[string]bool{}
		for h := range terms {
			idle[h] = c.idleChecker.Idle(h)
		}
		return idle
	}
	a, err := askIdle(ctx, c.dialer, m, c.dc, terms)
	if err != nil {
		return nil
	}
	return a
}

// idleEverywhere returns the terms of the hosts that every answer has as idle.
func idleEverywhere(terms map[string]int64, answers []map[string]bool) map[string]int64 {
	all := maps.Clone(terms)
	for _, a := range answers {
		for h := range all {
			if !a[h] {
				delete(all, h)
			}
		}
	}
	return all
}
