package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// network is a number of entry hosts, each with its own table, between which messages are
// lost by partitions and freezes.
type network struct {
	t           *rapid.T
	now         time.Time
	tables      []*Table
	frozen      map[int]bool
	partitioned map[int]bool
	// sent counts the probes of each table.
	sent []int
	last []Member
}

func newNetwork(t *rapid.T, n int) *network {
	w := &network{t: t, now: time.Unix(1e9, 0), frozen: map[int]bool{}, partitioned: map[int]bool{}}
	for i := range n {
		w.tables = append(w.tables, w.start(i))
	}
	w.sent = make([]int, n)
	w.last = make([]Member, n)
	for i := range n {
		w.exchangeTables(i, 0)
	}
	return w
}

func (w *network) start(i int) *Table {
	m := Member{Name: fmt.Sprint("e", i), Incarnation: uint64(w.now.UnixNano()), DataCentre: "north"}
	return NewTable(m, DefaultOptions(), rand.New(rand.NewPCG(uint64(i), 7)))
}

// reaches reports whether a message from one host gets to the other: a partition divides
// the hosts into two sides.
func (w *network) reaches(i, j int) bool {
	return !w.frozen[i] && !w.frozen[j] && w.partitioned[i] == w.partitioned[j]
}

// exchangeTables exchanges whole tables, as a process does with a seed at its start.
func (w *network) exchangeTables(i, j int) {
	if w.reaches(i, j) {
		w.tables[i].Merge(w.now, w.tables[j].Members())
		w.tables[j].Merge(w.now, w.tables[i].Members())
	}
}

func index(m Member) int {
	var i int
	_, _ = fmt.Sscanf(m.Name, "e%d", &i)
	return i
}

// period has every host that is not frozen probe once.
func (w *network) period() {
	w.now = w.now.Add(DefaultOptions().Period)
	for i, t := range w.tables {
		if w.frozen[i] {
			continue
		}
		if m, ok := t.Tick(w.now); ok {
			w.probe(i, m)
		}
	}
}

func (w *network) probe(i int, m Member) {
	t := w.tables[i]
	w.sent[i]++
	if w.exchangeNews(i, index(m)) {
		return
	}
	for _, h := range t.Helpers(m.Name) {
		w.sent[i]++
		if w.exchangeNews(i, index(h)) && w.exchangeNews(index(h), index(m)) {
			return
		}
	}
	t.Suspect(w.now, m)
}

// exchangeNews exchanges news in both directions, and reports whether that succeeded.
func (w *network) exchangeNews(i, j int) bool {
	if !w.reaches(i, j) {
		return false
	}
	a, b := w.tables[i], w.tables[j]
	b.Merge(w.now, append(a.NewsFor(b.Self().Name), a.Self()))
	a.Merge(w.now, append(b.NewsFor(a.Self().Name), b.Self()))
	return true
}

// check requires that no host considers itself dead, and that the version of its own row
// does not fall.
func (w *network) check(t *rapid.T) {
	for i, v := range w.tables {
		s := v.Self()
		if s.State != Alive {
			t.Fatalf("%s considers itself %s", s.Name, s.State)
		}
		if w.last[i].Supersedes(s) {
			t.Fatalf("%s went back from version %d to %d", s.Name, w.last[i].Version, s.Version)
		}
		w.last[i] = s
	}
}

// converged reports whether every running host considers exactly the running ones to be
// alive.
func (w *network) converged() bool {
	for i, v := range w.tables {
		if w.frozen[i] {
			continue
		}
		alive := 0
		for _, m := range v.Members() {
			if m.State == Alive && w.frozen[index(m)] {
				return false
			}
			if m.State == Alive {
				alive++
			}
		}
		if alive != len(w.tables)-len(w.frozen) {
			return false
		}
	}
	return true
}

// TestMembersAgreeOnceTheNetworkHeals checks that after any freezes, partitions and
// restarts all running hosts come to consider exactly the running ones to be alive.
func TestMembersAgreeOnceTheNetworkHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "hosts")
		w := newNetwork(t, n)
		host := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"":       w.check,
			"period": func(*rapid.T) { w.period() },
			"long":   func(*rapid.T) { w.periods(10) },
			"freeze": func(t *rapid.T) { w.frozen[host.Draw(t, "host")] = true },
			"thaw":   func(t *rapid.T) { delete(w.frozen, host.Draw(t, "host")) },
			"cut":    func(t *rapid.T) { w.partitioned[host.Draw(t, "host")] = true },
			"heal":   func(*rapid.T) { w.partitioned = map[int]bool{} },
			"restart": func(t *rapid.T) {
				i := host.Draw(t, "host")
				w.tables[i] = w.start(i)
				w.last[i] = Member{}
				w.exchangeTables(i, host.Draw(t, "seed"))
			},
		})
		w.partitioned = map[int]bool{}
		w.periods(40 * n)
		if !w.converged() {
			for _, v := range w.tables {
				t.Logf("%+v", v.Members())
			}
			t.Fatalf("the tables do not agree")
		}
	})
}

func (w *network) periods(n int) {
	for i := range n {
		w.period()
		if i%10 == 0 {
			w.discover(i / 10)
		}
	}
}

// discover does what Service.discover does: a process that knows no other asks all its
// seeds, one that knows others asks one of them.
func (w *network) discover(turn int) {
	n := len(w.tables)
	for i, v := range w.tables {
		alone := len(v.Live()) < 2
		for j := range n {
			if i != j && (alone || j == (i+1+turn%(n-1))%n) {
				w.exchangeTables(i, j)
			}
		}
	}
}

// TestFrozenMemberIsSuspectedInTime measures how long a frozen member goes unnoticed at
// several sizes, and checks that the number of probes of each process does not grow with
// them.
func TestFrozenMemberIsSuspectedInTime(t *testing.T) {
	for _, n := range []int{3, 9, 30, 90} {
		w := newNetwork(nil, n)
		for i := range n {
			w.exchangeTables(i, 0)
		}
		w.periods(20)
		start := 0
		for ; !w.converged(); start++ {
			w.period()
			require.Less(t, start, 200, "%d hosts", n)
		}
		w.sent = make([]int, n)
		w.frozen[n-1] = true
		periods := 0
		for ; !w.converged(); periods++ {
			w.period()
			require.Less(t, periods, 60, "%d hosts", n)
		}
		most := 0
		for _, s := range w.sent {
			most = max(most, s)
		}
		d := time.Duration(periods) * DefaultOptions().Period
		t.Logf("%d hosts: all known after %d periods, suspected everywhere after %s, %.1f probes a second at most", n, start, d, float64(most)/d.Seconds())
		require.LessOrEqual(t, d, 6*time.Second, "%d hosts", n)
		require.LessOrEqual(t, most, 4*periods, "%d hosts", n)
	}
}

// TestHealedPartitionMergesWithoutSeeds checks that members that consider each other dead
// recover by themselves once the partition heals.
func TestHealedPartitionMergesWithoutSeeds(t *testing.T) {
	w := newNetwork(nil, 4)
	w.partitioned = map[int]bool{0: true, 1: true}
	for range 40 {
		w.period()
	}
	require.False(t, w.converged())
	w.partitioned = map[int]bool{}
	for range 60 {
		w.period()
	}
	require.True(t, w.converged())
}
