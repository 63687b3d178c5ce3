package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/config"
	"amberway/internal/standin"
	"amberway/platform"
)

const testDC = "north"

// modelCoordinator is one coordinator with its own, possibly outdated, view.
type modelCoordinator struct {
	record   Record
	revision platform.Revision
	list     platform.HostList
	doc      *config.Document
	gen      int64
	// idle is the last answer of the entry hosts.
	idle map[string]int64
	// orders are still to be sent; the coordinator may be paused before that.
	orders []platform.RebootOrder
}

// modelEntryHost is one entry host that sends requests by its own, possibly outdated,
// view.
type modelEntryHost struct {
	record  Record
	running map[string]int
}

// isIdle follows the same rule as PeerServer.
func (e *modelEntryHost) isIdle(host string, term int64) bool {
	w := e.record.Hosts[host]
	return w.Term >= term && w.State != InService && e.running[host] == 0
}

// fleetModel is a data centre with hosts and racks that fail, two coordinators, two
// entry hosts, a lagging host list and operators.
type fleetModel struct {
	t     *rapid.T
	now   time.Time
	store *standin.FaultyStore
	hosts map[string]platform.Host
	lists []platform.HostList
	// acceptedTerms has, by host, the term of the last order that the platform accepted.
	acceptedTerms map[string]int64
	reboots       map[string]int
	doc           *config.Document
	gen           int64
	coordinators  []*modelCoordinator
	entryHosts    []*modelEntryHost
	// lastGeneration is the generation of the last record checked.
	lastGeneration int64
}

func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{
		t: t, now: time.Unix(1e9, 0), store: standin.NewFaultyStore(), hosts: map[string]platform.Host{},
		acceptedTerms: map[string]int64{}, reboots: map[string]int{}, gen: 1,
	}
	m.store.Decide = m.drawOutcome
	for n := range rapid.IntRange(3, 9).Draw(t, "hosts") {
		h := platform.Host{
			Name: fmt.Sprint("h", n), DataCentre: testDC, Rack: fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "rack")),
			Labels: map[string]string{"pool": rapid.SampledFrom([]string{"a", "a", "b", "none"}).Draw(t, "label")},
			Live:   true, Boot: 1,
		}
		m.hosts[h.Name] = h
	}
	m.doc = m.document()
	m.recordList()
	for range 2 {
		m.coordinators = append(m.coordinators, &modelCoordinator{doc: m.doc, gen: m.gen, list: m.lists[0]})
		m.entryHosts = append(m.entryHosts, &modelEntryHost{running: map[string]int{}})
	}
	return m
}

func (m *fleetModel) drawOutcome(write bool) standin.Outcome {
	if !write {
		return standin.Succeeds
	}
	l := []standin.Outcome{standin.Succeeds, standin.Succeeds, standin.Succeeds, standin.Succeeds, standin.AnswerLost, standin.RequestLost, standin.Delayed, standin.NotSent}
	return rapid.SampledFrom(l).Draw(m.t, "fate")
}

func (m *fleetModel) document() *config.Document {
	d := &config.Document{DataCentres: []string{testDC}, Teams: []config.Team{{Name: "t"}}}
	for _, n := range []string{"a", "b"} {
		d.Pools = append(d.Pools, config.Pool{
			Name: n, Team: "t", Select: config.Selector{"pool": {n}},
			Budget: config.Budget{MinAvailable: map[string]int{testDC: rapid.IntRange(0, 3).Draw(m.t, "need")}},
		})
	}
	states := []config.WaveState{config.WaveRunning, config.WaveRunning, config.WavePaused, config.WaveAborted}
	d.Waves = []config.Wave{{
		Name: "w", Pools: []string{"a", "b"}, MaxInMaintenance: rapid.IntRange(1, 3).Draw(m.t, "limit"), FailureLimit: 1,
		State: rapid.SampledFrom(states).Draw(m.t, "state"),
	}}
	return d
}

// recordList appends the current host list.
func (m *fleetModel) recordList() {
	l := platform.HostList{AsOf: m.now}
	for _, h := range m.hosts {
		l.Hosts = append(l.Hosts, h)
	}
	m.lists = append(m.lists, l)
}

func (m *fleetModel) advance(t *rapid.T) {
	m.t = t
	steps := []time.Duration{time.Second, 10 * time.Second, time.Minute, 3 * time.Minute, RebootTimeout}
	m.now = m.now.Add(rapid.SampledFrom(steps).Draw(t, "pass"))
	m.recordList()
}

func (m *fleetModel) someHost() platform.Host {
	names := make([]string, 0, len(m.hosts))
	for n := range m.hosts {
		names = append(names, n)
	}
	slices.Sort(names)
	return m.hosts[rapid.SampledFrom(names).Draw(m.t, "name")]
}

// fail takes a host or its whole rack down, or brings it up again.
func (m *fleetModel) fail(t *rapid.T) {
	m.t = t
	h := m.someHost()
	whole := rapid.Bool().Draw(t, "rack")
	up := !h.Live && rapid.Bool().Draw(t, "up")
	for n, o := range m.hosts {
		if n != h.Name && (!whole || o.Rack != h.Rack) {
			continue
		}
		if up && !o.Live {
			o.Boot++
		}
		o.Live = up
		m.hosts[n] = o
	}
	m.recordList()
}

func (m *fleetModel) relabel(t *rapid.T) {
	m.t = t
	h := m.someHost()
	h.Labels = map[string]string{"pool": rapid.SampledFrom([]string{"a", "b", "none"}).Draw(t, "label")}
	m.hosts[h.Name] = h
	m.recordList()
}

func (m *fleetModel) changeConfig(t *rapid.T) {
	m.t = t
	m.doc = m.document()
	m.gen++
}

// refresh lets one coordinator read a possibly old host list, and also the record and
// the configuration, or only one of them, or neither.
func (m *fleetModel) refresh(t *rapid.T) {
	m.t = t
	c := rapid.SampledFrom(m.coordinators).Draw(t, "actor")
	if rapid.Bool().Draw(t, "record") {
		c.record, c.revision = m.stored()
	}
	back := rapid.IntRange(0, min(3, len(m.lists)-1)).Draw(t, "lag")
	if l := m.lists[len(m.lists)-1-back]; l.AsOf.After(c.list.AsOf) {
		c.list = l
	}
	if rapid.Bool().Draw(t, "config") {
		c.doc = m.doc
		c.gen = m.gen
	}
}

func (m *fleetModel) stored() (Record, platform.Revision) {
	l, _ := m.store.Store.Range(RecordKey(testDC), "")
	if len(l) == 0 {
		return Record{}, 0
	}
	r, err := DecodeRecord(l[0].Value)
	if err != nil {
		m.t.Fatal(err)
	}
	return r, platform.Revision(l[0].ModRevision)
}

// plan lets one coordinator make a plan and write its record.
func (m *fleetModel) plan(t *rapid.T) {
	m.t = t
	c := rapid.SampledFrom(m.coordinators).Draw(t, "actor")
	in := Input{
		Now: m.now, Document: c.doc, Generation: c.gen, DataCentre: testDC,
		Record: c.record, List: c.list, IdleTerms: c.idle,
	}
	o := Plan(in)
	if !o.Changed {
		c.orders = o.Orders
		return
	}
	next := o.Record
	next.Version = c.record.Version + 1
	next.Generation = c.gen
	b, err := json.Marshal(next)
	if err != nil {
		t.Fatal(err)
	}
	rev, err := m.store.Swap(context.Background(), RecordKey(testDC), b, c.revision)
	m.checkSwap(in, next, mayBeInForce(err))
	if err != nil {
		c.record, c.revision = m.stored()
		return
	}
	c.record = next
	c.revision = rev
	c.orders = o.Orders
}

// ask lets one coordinator ask the entry hosts which hosts are idle.
func (m *fleetModel) ask(t *rapid.T) {
	m.t = t
	c := rapid.SampledFrom(m.coordinators).Draw(t, "actor")
	c.idle = m.idleHosts(c.record)
}

func (m *fleetModel) idleHosts(r Record) map[string]int64 {
	idle := map[string]int64{}
	for n, w := range r.Hosts {
		all := !slices.ContainsFunc(m.entryHosts, func(e *modelEntryHost) bool { return !e.isIdle(n, w.Term) })
		if w.State == Draining && all {
			idle[n] = w.Term
		}
	}
	return idle
}

// mayBeInForce reports whether a write that returned err may have taken effect.
func mayBeInForce(err error) bool {
	return !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotSent)
}

// checkSwap recounts one planned change and checks it against the rules. The requests
// that run on a host count only for a change that may be in force: the store refuses a
// plan that a coordinator made from an old record, and by then the host may serve in its
// new pool.
func (m *fleetModel) checkSwap(in Input, next Record, mayBeIn bool) {
	drained := map[string]bool{}
	for n, w := range next.Hosts {
		old, ok := in.Record.Hosts[n]
		h := listedHost(in.List, n)
		if !ok && config.NewMatcher(in.Document).PoolOf(h.Labels) != w.Pool {
			m.t.Fatalf("%s was added to pool %s, which does not select it", n, w.Pool)
		}
		if ok && old.Pool != w.Pool && old.State != Drained && w.Pool != "" && (old.State != Draining || (mayBeIn && m.anyRuns(n))) {
			m.t.Fatalf("%s changed its pool in state %s", n, old.State)
		}
		if ok && old.State == InService && w.State == Draining && h.Live && !h.Leaving {
			drained[w.Pool] = true
		}
	}
	for pool := range drained {
		m.checkBudget(in, next, pool)
	}
	m.checkWave(in, next)
}

func listedHost(l platform.HostList, name string) platform.Host {
	for _, h := range l.Hosts {
		if h.Name == name {
			return h
		}
	}
	return platform.Host{}
}

// checkBudget requires that the pool, after the drains, keeps its required minimum
// through the loss of any one rack.
func (m *fleetModel) checkBudget(in Input, next Record, pool string) {
	if m.now.Sub(in.List.AsOf) > MaxListAge {
		m.t.Fatalf("a drain was granted by a host list as of %s", in.List.AsOf)
	}
	p, _ := in.Document.Pool(pool)
	racks := map[string]int{}
	total := 0
	for n, w := range next.Hosts {
		h := listedHost(in.List, n)
		if w.Pool == pool && w.State == InService && h.Live && !h.Leaving {
			racks[h.Rack]++
			total++
		}
	}
	for r, n := range racks {
		if total-n < p.Budget.MinAvailable[testDC] {
			m.t.Fatalf("pool %s has %d available, needs %d, and rack %s has %d of them", pool, total, p.Budget.MinAvailable[testDC], r, n)
		}
	}
	if total < p.Budget.MinAvailable[testDC] {
		m.t.Fatalf("pool %s has %d available, needs %d", pool, total, p.Budget.MinAvailable[testDC])
	}
}

func (m *fleetModel) checkWave(in Input, next Record) {
	v := in.Document.Waves[0]
	before, after := 0, 0
	for n, w := range next.Hosts {
		if w.Wave != "" {
			after++
		}
		if in.Record.Hosts[n].Wave != "" {
			before++
		}
	}
	if after > before && after > v.MaxInMaintenance {
		m.t.Fatalf("%d hosts are in a wave that is limited to %d", after, v.MaxInMaintenance)
	}
	if after > before && v.State != config.WaveRunning {
		m.t.Fatalf("a wave that is %s continued", v.State)
	}
}

func (m *fleetModel) anyRuns(host string) bool {
	return slices.ContainsFunc(m.entryHosts, func(e *modelEntryHost) bool { return e.running[host] > 0 })
}

// sendOrders lets one coordinator send its orders, possibly late.
func (m *fleetModel) sendOrders(t *rapid.T) {
	m.t = t
	c := rapid.SampledFrom(m.coordinators).Draw(t, "actor")
	for _, o := range c.orders {
		if !m.now.Before(o.Deadline) || o.Term <= m.acceptedTerms[o.Host] {
			continue
		}
		m.acceptedTerms[o.Host] = o.Term
		m.reboot(o.Host)
	}
}

// reboot carries out an order that the platform accepted.
func (m *fleetModel) reboot(name string) {
	if m.anyRuns(name) {
		m.t.Fatalf("%s was rebooted with requests in flight", name)
	}
	m.reboots[name]++
	if m.reboots[name] > 1 {
		m.t.Fatalf("%s was rebooted twice for one wave", name)
	}
	h := m.hosts[name]
	h.Live = false
	m.hosts[name] = h
	m.recordList()
}

// refreshEntryHost lets one entry host read the stored record.
func (m *fleetModel) refreshEntryHost(t *rapid.T) {
	m.t = t
	e := rapid.SampledFrom(m.entryHosts).Draw(t, "sender")
	if r, _ := m.stored(); r.Version > e.record.Version {
		e.record = r
	}
}

// run ends a request on a host, or starts one if the entry host's view has the host in
// service.
func (m *fleetModel) run(t *rapid.T) {
	m.t = t
	e := rapid.SampledFrom(m.entryHosts).Draw(t, "sender")
	h := m.someHost()
	if e.running[h.Name] > 0 && rapid.Bool().Draw(t, "end") {
		e.running[h.Name]--
		return
	}
	if e.record.Hosts[h.Name].State == InService && h.Live {
		e.running[h.Name]++
	}
}

// check checks the invariants of the stored record.
func (m *fleetModel) check(t *rapid.T) {
	r, _ := m.stored()
	if r.Generation < m.lastGeneration {
		t.Fatalf("a record of generation %d followed one of %d", r.Generation, m.lastGeneration)
	}
	m.lastGeneration = r.Generation
	for n, w := range r.Hosts {
		if w.State == Rebooting && m.anyRuns(n) {
			t.Fatalf("%s is rebooting with requests in flight", n)
		}
		if w.State == Drained && m.anyRuns(n) {
			t.Fatalf("%s is drained with requests in flight", n)
		}
	}
}

// TestFleetInvariantsHold checks that hosts are added only to pools that select them
// and change pools only when drained, that a drain leaves the pool enough hosts for the
// loss of any one rack, that drained and rebooting hosts have no requests in flight,
// that no host reboots twice for one wave, and that waves keep their limits. It does so
// with two coordinators with outdated views, lost and late writes, lagging host lists,
// failures of hosts and racks, and changes of labels and configuration.
func TestFleetInvariantsHold(t *testing.T) {
	rapid.Check(t, checkFleetInvariants)
}

// TestFleetInvariantsHoldForSeedsThatFailed repeats seeds that have failed before.
func TestFleetInvariantsHoldForSeedsThatFailed(t *testing.T) {
	before := flag.Lookup("rapid.seed").Value.String()
	defer func() { require.NoError(t, flag.Set("rapid.seed", before)) }()
	for seed, cause := range map[string]string{
		"9476117129545897665": "requests on a host were checked against a plan that the store had refused",
	} {
		t.Run(cause, func(t *testing.T) {
			require.NoError(t, flag.Set("rapid.seed", seed))
			rapid.Check(t, checkFleetInvariants)
		})
	}
}

func checkFleetInvariants(t *rapid.T) {
	m := newFleetModel(t)
	t.Repeat(map[string]func(*rapid.T){
		"":        m.check,
		"pass":    m.advance,
		"fail":    m.fail,
		"label":   m.relabel,
		"apply":   m.changeConfig,
		"learn":   m.refresh,
		"learn2":  m.refresh,
		"step":    m.plan,
		"step2":   m.plan,
		"step3":   m.plan,
		"ask":     m.ask,
		"ask2":    m.ask,
		"send":    m.sendOrders,
		"view":    m.refreshEntryHost,
		"view2":   m.refreshEntryHost,
		"run":     m.run,
		"deliver": func(*rapid.T) { m.store.DeliverDelayed() },
	})
}

// smallFleet returns the configuration and the host list of a data centre without
// failures.
func smallFleet(hosts, racks int) (*config.Document, platform.HostList) {
	d := &config.Document{
		DataCentres: []string{testDC},
		Teams:       []config.Team{{Name: "t"}},
		Pools: []config.Pool{{
			Name: "a", Team: "t", Select: config.Selector{"pool": {"a"}},
			Budget: config.Budget{MinAvailable: map[string]int{testDC: hosts / 2}},
		}},
		Waves: []config.Wave{{Name: "w", Pools: []string{"a"}, MaxInMaintenance: 2, FailureLimit: 1, State: config.WaveRunning}},
	}
	var l platform.HostList
	for n := range hosts {
		l.Hosts = append(l.Hosts, platform.Host{
			Name: fmt.Sprintf("h%05d", n), DataCentre: testDC, Rack: fmt.Sprint("r", n%racks),
			Labels: map[string]string{"pool": "a"}, Live: true, Boot: 1,
		})
	}
	return d, l
}

// allIdle reports every draining host as idle.
func allIdle(r Record) map[string]int64 {
	idle := map[string]int64{}
	for n, w := range r.Hosts {
		if w.State == Draining {
			idle[n] = w.Term
		}
	}
	return idle
}

// TestWaveMaintainsEveryHost checks that a wave completes, with each host rebooted
// exactly once.
func TestWaveMaintainsEveryHost(t *testing.T) {
	d, l := smallFleet(12, 4)
	now := time.Unix(1e9, 0)
	r := Record{}
	reboots := map[string]int{}
	for range 200 {
		now = now.Add(time.Second)
		l.AsOf = now
		o := Plan(Input{Now: now, Document: d, Generation: 1, DataCentre: testDC, Record: r, List: l, IdleTerms: allIdle(r)})
		r = o.Record
		r.Generation = 1
		for _, v := range o.Orders {
			reboots[v.Host]++
			for i := range l.Hosts {
				if l.Hosts[i].Name == v.Host {
					l.Hosts[i].Boot++
				}
			}
		}
	}
	require.Len(t, reboots, 12)
	for n, w := range r.Hosts {
		require.Equal(t, InService, w.State, n)
		require.Equal(t, []string{"w"}, w.Done, n)
		require.Equal(t, 1, reboots[n], n)
	}
}

// TestOverdueHostStopsWave checks that a wave stops once hosts have not returned from
// their reboots, and that operators get a message.
func TestOverdueHostStopsWave(t *testing.T) {
	d, l := smallFleet(12, 4)
	now := time.Unix(1e9, 0)
	r := Record{}
	var last Output
	for range 100 {
		now = now.Add(time.Minute)
		l.AsOf = now
		last = Plan(Input{Now: now, Document: d, Generation: 1, DataCentre: testDC, Record: r, List: l, IdleTerms: allIdle(r)})
		r = last.Record
		r.Generation = 1
	}
	overdue := 0
	for _, w := range r.Hosts {
		require.NotEqual(t, Draining, w.State)
		if w.State == Overdue {
			overdue++
		}
	}
	require.Equal(t, 2, overdue)
	require.Contains(t, last.Notes, "wave w is stopped: hosts have not come back")
}

// TestIdleOfEarlierTermIsIgnored checks that an idle report for one drain of a host
// does not count for the next.
func TestIdleOfEarlierTermIsIgnored(t *testing.T) {
	d, l := smallFleet(12, 4)
	now := time.Unix(1e9, 0)
	l.AsOf = now
	r := Record{Hosts: map[string]HostStatus{"h00000": {Pool: "a", State: Draining, Term: 5, Wave: "w"}}}
	in := Input{Now: now, Document: d, Generation: 1, DataCentre: testDC, Record: r, List: l}
	for term, want := range map[int64]State{4: Draining, 5: Rebooting, 6: Draining} {
		in.IdleTerms = map[string]int64{"h00000": term}
		require.Equal(t, want, Plan(in).Record.Hosts["h00000"].State, term)
	}
}

// A host that restarts by itself before its order is sent must not return to service
// while the order may still be sent: the reboot would interrupt the requests on it.
func TestHostIsNotReturnedBeforeItsOrderExpires(t *testing.T) {
	now := time.Unix(1e9, 0)
	at := func(boot int64, d time.Duration, r Record) Output {
		return Plan(Input{
			Now: now.Add(d), Generation: 1, DataCentre: testDC, Record: r,
			Document: &config.Document{
				DataCentres: []string{testDC}, Teams: []config.Team{{Name: "t"}},
				Pools: []config.Pool{{Name: "a", Team: "t", Select: config.Selector{"pool": {"a"}}, Budget: config.Budget{MinAvailable: map[string]int{testDC: 0}}}},
				Waves: []config.Wave{{Name: "w", Pools: []string{"a"}, MaxInMaintenance: 1, FailureLimit: 1, State: config.WaveRunning}},
			},
			List: platform.HostList{AsOf: now.Add(d), Hosts: []platform.Host{
				{Name: "h", DataCentre: testDC, Rack: "r", Labels: map[string]string{"pool": "a"}, Live: true, Boot: boot},
			}},
		})
	}
	r := Record{Version: 1, Generation: 1, Hosts: map[string]HostStatus{"h": {Pool: "a", State: Drained, Term: 2, Wave: "w"}}}
	o := at(1, 0, r)
	require.Len(t, o.Orders, 1)
	require.Equal(t, Rebooting, o.Record.Hosts["h"].State)

	early := at(2, time.Second, o.Record)
	require.Equal(t, Rebooting, early.Record.Hosts["h"].State)
	late := at(2, OrderTTL, o.Record)
	require.Equal(t, InService, late.Record.Hosts["h"].State)

	again := at(1, OrderTTL, o.Record)
	require.Len(t, again.Orders, 1, "the first coordinator may have died before it sent the order")
	require.Equal(t, o.Orders[0].Term, again.Orders[0].Term)
	require.True(t, again.Orders[0].Deadline.After(o.Orders[0].Deadline))
}
