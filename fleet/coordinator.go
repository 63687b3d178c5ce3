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

// planInterval is the time between two checks for a new plan.
const planInterval = 500 * time.Millisecond

// Members provides the known entry hosts.
type Members interface {
	// LiveNames returns the names of the live members of a data centre.
	LiveNames(dc string) []string
	// Members returns all members, in every state.
	Members() []peers.Member
}

// Coordinator plans for one data centre while this process ranks first among its live
// members. Two processes with different views of the members may both rank first: one
// of them then loses the compare-and-swap of the record, which does no harm.
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
	// lastBasis identifies the input of the last plan.
	lastBasis planBasis
	// sentTerms holds, by host, the term of the last order that the platform
	// accepted.
	sentTerms map[string]int64
}

// CoordinatorOptions configures a Coordinator.
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

// NewCoordinator returns a coordinator. Call Run to start it.
func NewCoordinator(d common.Deps, p CoordinatorOptions) *Coordinator {
	return &Coordinator{
		dc: p.DataCentre, self: p.Self, store: p.Store, hosts: p.Hosts, view: p.View, members: p.Members,
		dialer: p.Dialer, idleChecker: p.IdleChecker, config: p.Config, log: d.Log("fleet"), now: d.Now, sentTerms: map[string]int64{},
	}
}

// Run makes plans, while this process ranks first, until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if common.RankFirst(RecordKey(c.dc), c.members.LiveNames(c.dc)) == c.self {
			c.planOnce(ctx)
		}
		common.Sleep(ctx, planInterval)
	}
}

// replanInterval is how often a plan is made even if nothing has changed, as plans
// also depend on the time.
const replanInterval = 5 * time.Second

// planBasis identifies the input of a plan, to detect changes. The first element of
// the host list stands for the whole list, since an unchanged list is the same
// slice.
type planBasis struct {
	revision   platform.Revision
	generation int64
	hosts      *platform.Host
	at         time.Time
}

// needsPlan reports whether a new plan is due: the input changed, a host is
// draining, or replanInterval has passed since the last plan.
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

// planOnce makes one plan if one is due, writes its record to the store, and only
// then sends its orders.
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

// writePlan writes the record and reports whether it is known to be stored. After
// any other outcome it reads the record again.
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

// sendOrders sends each order that the platform has not accepted yet.
func (c *Coordinator) sendOrders(ctx context.Context, l []platform.RebootOrder) {
	for _, o := range l {
		if c.sentTerms[o.Host] >= o.Term || !c.now().Before(o.Deadline) {
			continue
		}
		if err := c.hosts.Reboot(ctx, o); err != nil {
			c.log.Warnf("reboot order not accepted: %v", err)
			continue
		}
		c.sentTerms[o.Host] = o.Term
		c.log.Infof("reboot of host %s ordered", o.Host)
	}
}

// idleHosts asks every entry host of the data centre which draining hosts are idle;
// entry hosts of other data centres send no requests to these hosts. A host counts
// as idle only if all of them say so for its current term. An entry host that does
// not answer blocks the drain even if it is considered dead, since it may be paused
// with requests in flight. It blocks until Members forgets it. One that stopped as
// planned is in state peers.Left and is not asked.
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

// askMember returns the hosts that are idle on the member, or nil if it does not
// answer.
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

// idleEverywhere returns the terms of the hosts that are idle in every answer.
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
