package request

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/common"
)

// placedOn are the targets that run the placed service.
var placedOn = []string{"t0", "t2"}

// schedulerModel drives a Scheduler with two services on one pool, and a third on some of
// its targets, and keeps simple lists of the waiting and running items.
type schedulerModel struct {
	t       *rapid.T
	now     time.Time
	s       *Scheduler
	slots   map[string]int
	waiting []*Item
	running []*Item
	ended   map[*Item]bool
	// pool is the pool of service b.
	pool string
}

func newSchedulerModel(t *rapid.T) *schedulerModel {
	m := &schedulerModel{
		t: t, now: time.Unix(1e9, 0), slots: map[string]int{}, ended: map[*Item]bool{},
		s: NewScheduler(DefaultPolicy(), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))),
	}
	m.repool(t)
	m.targets(t)
	return m
}

// repool moves service b to the pool of the target "other", or back.
func (m *schedulerModel) repool(t *rapid.T) {
	m.t = t
	m.pool = rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")
	m.s.SetServices([]ServiceSpec{
		{Name: "a", Pool: "p", Weight: 1},
		{Name: "b", Pool: m.pool, Weight: 3},
		{Name: "placed", Pool: "p", Weight: 1, Placed: true, Targets: placedOn},
	})
	m.startReady()
}

// mayRun reports whether the item may run on the target.
func (m *schedulerModel) mayRun(i *Item, target string) bool {
	pool := "p"
	if i.Service == "b" {
		pool = m.pool
	}
	if i.Service == "placed" && !slices.Contains(placedOn, target) {
		return false
	}
	return (target == "other") == (pool == "q")
}

// targets replaces the targets, some with a different number of slots.
func (m *schedulerModel) targets(t *rapid.T) {
	m.t = t
	m.slots = map[string]int{"other": 1}
	l := []TargetSpec{{Name: "other", Pool: "q", Slots: 1}}
	for n := range rapid.IntRange(1, 5).Draw(t, "targets") {
		if n > 0 && rapid.IntRange(0, 3).Draw(t, "leaves") == 0 {
			continue
		}
		v := TargetSpec{Name: fmt.Sprint("t", n), Pool: "p", Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
		m.slots[v.Name] = v.Slots
		l = append(l, v)
	}
	m.s.SetTargets(l)
	m.startReady()
}

func (m *schedulerModel) offer(t *rapid.T) {
	m.t = t
	i := &Item{
		Service:  rapid.SampledFrom([]string{"a", "b", "placed"}).Draw(t, "service"),
		Job:      rapid.SampledFrom([]string{"x", "y"}).Draw(t, "job"),
		Class:    common.Class(rapid.IntRange(0, 1).Draw(t, "class")),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "within")) * time.Second),
	}
	if r := m.s.Offer(m.now, i); r != nil {
		if r.RetryAt.Before(m.now) {
			t.Fatalf("refused with a retry time in the past")
		}
		return
	}
	m.waiting = append(m.waiting, i)
	m.startReady()
}

func (m *schedulerModel) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("nothing waits")
	}
	i := rapid.SampledFrom(m.waiting).Draw(t, "item")
	if !m.s.Cancel(i) {
		t.Fatalf("a waiting item could not be cancelled")
	}
	if m.s.Cancel(i) {
		t.Fatalf("an item was cancelled twice")
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(v *Item) bool { return v == i })
	m.ended[i] = true
	m.startReady()
}

func (m *schedulerModel) done(t *rapid.T) {
	m.t = t
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.SampledFrom(m.running).Draw(t, "item")
	o := Outcome{
		OK:        rapid.Bool().Draw(t, "ok"),
		Cancelled: rapid.IntRange(0, 4).Draw(t, "cancelled") == 0,
	}
	if rapid.IntRange(0, 2).Draw(t, "runs on") == 0 {
		m.s.RecordOutcome(m.now, i, o)
		m.startReady()
		return
	}
	m.running = slices.DeleteFunc(m.running, func(v *Item) bool { return v == i })
	m.ended[i] = true
	m.s.Done(m.now, i, o)
	m.startReady()
}

func (m *schedulerModel) advance(t *rapid.T) {
	m.t = t
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
	m.startReady()
}

// startReady starts all items that can start and checks each start.
func (m *schedulerModel) startReady() {
	for _, p := range []string{"p", "q"} {
		for s, ok := m.s.Next(m.now, p); ok; s, ok = m.s.Next(m.now, p) {
			m.started(s.Item)
		}
	}
	m.checkIdleSlots()
}

func (m *schedulerModel) started(i *Item) {
	if m.ended[i] || !slices.Contains(m.waiting, i) {
		m.t.Fatalf("an item started that was not waiting")
	}
	for _, o := range m.waiting {
		if o.Service == i.Service && o.Class == i.Class && o.Deadline.Before(i.Deadline) {
			m.t.Fatalf("an item started before one with an earlier deadline")
		}
	}
	if !m.mayRun(i, i.Target) {
		m.t.Fatalf("an item of %s started on %s", i.Service, i.Target)
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(v *Item) bool { return v == i })
	m.running = append(m.running, i)
	if n := m.busy(i.Target); n > m.slots[i.Target] {
		m.t.Fatalf("%s runs %d with %d slots", i.Target, n, m.slots[i.Target])
	}
}

func (m *schedulerModel) busy(target string) int {
	n := 0
	for _, i := range m.running {
		if i.Target == target {
			n++
		}
	}
	return n
}

// checkIdleSlots fails if a quick request waits although a target that is not quarantined
// has a free slot.
func (m *schedulerModel) checkIdleSlots() {
	for _, d := range m.s.Dump().Targets {
		if d.Busy > d.Slots && !m.shrunk(d.Name) {
			m.t.Fatalf("%s has more runs than slots", d.Name)
		}
		quick := slices.ContainsFunc(m.waiting, func(i *Item) bool {
			return i.Class == common.Quick && m.mayRun(i, d.Name)
		})
		due := d.QuarantinedUntil.IsZero() || !m.now.Before(d.QuarantinedUntil)
		if quick && due && d.Busy < d.Slots && !m.probed(d.Name) {
			m.t.Fatalf("a quick request waits although %s has a free slot", d.Name)
		}
	}
}

// shrunk reports whether the target still runs items from before its slots were reduced.
func (m *schedulerModel) shrunk(target string) bool {
	return m.busy(target) > m.slots[target]
}

// probed reports whether a request that probes the target is running there.
func (m *schedulerModel) probed(target string) bool {
	return slices.ContainsFunc(m.running, func(i *Item) bool { return i.Target == target && i.probe })
}

// check compares the scheduler's counts with the lists.
func (m *schedulerModel) check(t *rapid.T) {
	for c := range common.NumClasses {
		n := 0
		for _, p := range m.s.pools {
			n += p.waiting[c]
			if p.waiting[c] < 0 || p.busy[c] < 0 {
				t.Fatalf("pool %s counts %d waiting and %d busy", p.name, p.waiting[c], p.busy[c])
			}
		}
		want := 0
		for _, i := range m.waiting {
			if i.Class == common.Class(c) {
				want++
			}
		}
		if n != want {
			t.Fatalf("%d items wait, the pools count %d", want, n)
		}
	}
	for n := range 5 {
		name := fmt.Sprint("t", n)
		_, usable := m.slots[name]
		if got, want := m.s.Idle(name), !usable && m.busy(name) == 0; got != want {
			t.Fatalf("%s is idle: got %t, want %t", name, got, want)
		}
	}
}

// TestSchedulerKeepsItsBounds checks that no target gets more requests than its slots,
// that nothing starts twice, after its cancellation or out of order, that runs on a
// removed target are still counted, and that no slot stays idle while a quick request
// waits.
func TestSchedulerKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSchedulerModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"offer":   m.offer,
			"offer2":  m.offer,
			"cancel":  m.cancel,
			"done":    m.done,
			"pass":    m.advance,
			"targets": m.targets,
			"repool":  m.repool,
		})
	})
}

// onePool returns a scheduler with one service on targets of one slot each.
func onePool(targets int) *Scheduler {
	s := NewScheduler(DefaultPolicy(), rand.New(rand.NewPCG(1, 2)))
	s.SetServices([]ServiceSpec{{Name: "s", Pool: "p", Weight: 1}})
	var l []TargetSpec
	for n := range targets {
		l = append(l, TargetSpec{Name: fmt.Sprint("t", n), Pool: "p", Slots: 1})
	}
	s.SetTargets(l)
	return s
}

func offered(t *testing.T, s *Scheduler, now time.Time, job string, c common.Class) {
	t.Helper()
	i := &Item{Service: "s", Job: job, Class: c, Deadline: now.Add(time.Hour)}
	require.Nil(t, s.Offer(now, i))
}

// TestPatientRequestsDoNotStarve checks that a patient request starts while quick ones
// keep coming.
func TestPatientRequestsDoNotStarve(t *testing.T) {
	s := onePool(1)
	now := time.Unix(1e9, 0)
	offered(t, s, now, "patient", common.Patient)
	for n := range 16 {
		offered(t, s, now, "quick", common.Quick)
		v, ok := s.Next(now, "p")
		require.True(t, ok)
		if v.Item.Class == common.Patient {
			require.Less(t, n, 8)
			return
		}
		s.Done(now, v.Item, Outcome{OK: true})
	}
	t.Fatal("the patient request never started")
}

// TestPatientRequestsLeaveTheReserve checks that patient requests do not take the last
// slots.
func TestPatientRequestsLeaveTheReserve(t *testing.T) {
	s := onePool(8)
	now := time.Unix(1e9, 0)
	started := 0
	for range 8 {
		offered(t, s, now, "patient", common.Patient)
		if _, ok := s.Next(now, "p"); ok {
			started++
		}
	}
	require.Equal(t, 6, started)
	offered(t, s, now, "quick", common.Quick)
	v, ok := s.Next(now, "p")
	require.True(t, ok)
	require.Equal(t, common.Quick, v.Item.Class)
}

// TestFailingTargetIsQuarantined checks that a target that fails every request gets only
// a small part of them, and is used again once it works.
func TestFailingTargetIsQuarantined(t *testing.T) {
	s := onePool(8)
	now := time.Unix(1e9, 0)
	failures := 0
	for n := range 2000 {
		now = now.Add(10 * time.Millisecond)
		offered(t, s, now, "job", common.Quick)
		v, ok := s.Next(now, "p")
		require.True(t, ok)
		bad := v.Item.Target == "t3" && n < 1000
		if bad {
			failures++
		}
		s.Done(now.Add(5*time.Millisecond), v.Item, Outcome{OK: !bad})
	}
	require.Less(t, failures, 20)
	for _, d := range s.Dump().Targets {
		require.Zero(t, d.QuarantinedUntil, d.Name)
	}
}

// TestJobThatFailsEverywhereQuarantinesNoTarget checks that a job that fails everywhere
// quarantines no target, and is reported.
func TestJobThatFailsEverywhereQuarantinesNoTarget(t *testing.T) {
	s := onePool(8)
	now := time.Unix(1e9, 0)
	for n := range 400 {
		now = now.Add(time.Millisecond)
		job := []string{"good", "bad"}[n%2]
		offered(t, s, now, job, common.Quick)
		v, _ := s.Next(now, "p")
		s.Done(now, v.Item, Outcome{OK: v.Item.Job == "good"})
	}
	for _, d := range s.Dump().Targets {
		require.Zero(t, d.QuarantinedUntil, d.Name)
	}
	for _, j := range s.Dump().Jobs {
		require.Equal(t, j.Job == "bad", j.FailsEverywhere, j.Job)
	}
}

// TestBurstLeavesOthersTheirShare checks that a burst of one service does not keep
// another's requests waiting.
func TestBurstLeavesOthersTheirShare(t *testing.T) {
	s := onePool(1)
	s.SetServices([]ServiceSpec{{Name: "s", Pool: "p", Weight: 1}, {Name: "o", Pool: "p", Weight: 1}})
	s.DeclareRunTime("s", "job", time.Millisecond)
	s.DeclareRunTime("o", "job", time.Millisecond)
	now := time.Unix(1e9, 0)
	for range 1000 {
		offered(t, s, now, "job", common.Quick)
	}
	i := &Item{Service: "o", Job: "job", Deadline: now.Add(time.Second)}
	require.Nil(t, s.Offer(now, i))
	for n := range 3 {
		v, ok := s.Next(now, "p")
		require.True(t, ok)
		if v.Item == i {
			return
		}
		require.Less(t, n, 2)
		s.Done(now, v.Item, Outcome{OK: true})
	}
	t.Fatal("the other service's request waits behind the burst")
}

// TestSharesNeverExceedSlots checks that entry hosts which learn at different times, but
// within SlotShareDelay, that others come and go never use more slots together than there
// are.
func TestSharesNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &sharesModel{now: time.Unix(1e9, 0), live: []string{"a"}, all: map[string]*SlotShares{}}
		m.all["a"] = NewSlotShares(m.now.Add(-SlotShareDelay), "a")
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			m.change(t)
			m.learn(t, 400*time.Millisecond)
			m.now = m.now.Add(SlotShareDelay)
			m.learn(t, 0)
		}
	})
}

// TestSharesWaitForLateMembershipUpdates checks that entry hosts stay within the slots
// even if the others take longer than SlotShareDelay to learn of a process that starts:
// it uses slots only after all have answered it, and so know of it.
func TestSharesWaitForLateMembershipUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &sharesModel{now: time.Unix(1e9, 0), live: []string{"a"}, all: map[string]*SlotShares{}}
		m.all["a"] = NewSlotShares(m.now.Add(-memberAnswerTimeout-SlotShareDelay), "a")
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			m.change(t)
			m.awaitingAnswers = true
			m.learn(t, memberAnswerTimeout/5)
			m.awaitingAnswers = false
			m.now = m.now.Add(SlotShareDelay)
			m.learn(t, 0)
		}
	})
}

// TestStartDoesNotWaitForeverForSilentMember bounds the wait of a process that starts
// while another does not answer.
func TestStartDoesNotWaitForeverForSilentMember(t *testing.T) {
	now := time.Unix(1e9, 0)
	s := NewSlotShares(now, "a")
	for range 100 {
		s.ObserveAnswers(now, false)
		s.SetMembers(now, []string{"a", "b"})
		now = now.Add(500 * time.Millisecond)
		if s.Usable() {
			break
		}
	}
	require.True(t, s.Usable())
	require.LessOrEqual(t, now.Sub(time.Unix(1e9, 0)), memberAnswerTimeout+SlotShareDelay+time.Second)
}

// TestMoreMembersGiveNoLargerShare checks that an entry host which still counts others
// that have gone uses no more than it could without them. Hosts which count different
// members therefore stay within the slots as long as each counts all that use some.
func TestMoreMembersGiveNoLargerShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		few := []string{"a"}
		many := []string{"a"}
		for _, n := range []string{"b", "c", "d", "e", "f", "g"} {
			switch rapid.IntRange(0, 2).Draw(t, n) {
			case 1:
				many = append(many, n)
			case 2:
				few = append(few, n)
				many = append(many, n)
			}
		}
		target := rapid.StringMatching("[a-z]{1,4}").Draw(t, "target")
		slots := rapid.IntRange(0, 20).Draw(t, "slots")
		require.LessOrEqual(t, SlotShare(target, slots, many, "a"), SlotShare(target, slots, few, "a"))
	})
}

// sharesModel is entry hosts that come and go.
type sharesModel struct {
	now  time.Time
	live []string
	all  map[string]*SlotShares
	// awaitingAnswers says that not all members have answered those that start.
	awaitingAnswers bool
}

// change starts or stops one entry host.
func (m *sharesModel) change(t *rapid.T) {
	m.live = toggle(m.live, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"))
	maps.DeleteFunc(m.all, func(n string, _ *SlotShares) bool { return !slices.Contains(m.live, n) })
	for _, n := range m.live {
		if m.all[n] == nil {
			m.all[n] = NewSlotShares(m.now, n)
		}
	}
}

// learn lets each entry host learn who is alive, one after the other.
func (m *sharesModel) learn(t *rapid.T, apart time.Duration) {
	for _, n := range rapid.Permutation(m.live).Draw(t, "order") {
		m.now = m.now.Add(time.Duration(rapid.Int64Range(0, int64(apart)).Draw(t, "apart")))
		m.all[n].ObserveAnswers(m.now, !m.awaitingAnswers)
		m.all[n].SetMembers(m.now, m.live)
		requireShares(t, m.all)
	}
}

// toggle adds or removes a name, and keeps at least one.
func toggle(live []string, n string) []string {
	if !slices.Contains(live, n) {
		return append(slices.Clone(live), n)
	}
	if len(live) == 1 {
		return live
	}
	return slices.DeleteFunc(slices.Clone(live), func(v string) bool { return v == n })
}

func requireShares(t *rapid.T, all map[string]*SlotShares) {
	sum := 0
	for _, s := range all {
		sum += s.Of("target", 8)
	}
	if sum > 8 {
		t.Fatalf("%d entry hosts use %d slots of 8", len(all), sum)
	}
}

// TestSharesSumUpToSlots checks that the shares of entry hosts that see the same members
// add up to exactly a target's slots.
func TestSharesSumUpToSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 64).Draw(t, "slots")
		var members []string
		for n := range rapid.IntRange(1, 12).Draw(t, "members") {
			members = append(members, fmt.Sprint("entry-", n))
		}
		sum := 0
		for _, m := range members {
			sum += SlotShare("target", slots, members, m)
		}
		if sum != slots {
			t.Fatalf("%d members have %d slots of %d", len(members), sum, slots)
		}
	})
}
