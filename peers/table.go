package peers

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Options are the limits and times of a Table.
type Options struct {
	// Period is the time between two probes.
	Period time.Duration
	// SuspicionTimeout is how long a suspected member has to refute the suspicion.
	SuspicionTimeout time.Duration
	// ForgetAfter is how long a member that is dead or has left is remembered.
	ForgetAfter time.Duration
	// MaxNews is the most members sent as news with one probe.
	MaxNews int
	// Helpers is the number of members that are asked to probe one that did not answer.
	Helpers int
	// DeadProbePeriods is the number of periods between two probes of a dead member, by
	// which the two sides of a healed partition find each other again.
	DeadProbePeriods int
}

// DefaultOptions returns options by which a frozen process is detected in about three
// seconds.
func DefaultOptions() Options {
	return Options{
		Period:           500 * time.Millisecond,
		SuspicionTimeout: 1500 * time.Millisecond,
		ForgetAfter:      10 * time.Minute,
		MaxNews:          8,
		Helpers:          2,
		DeadProbePeriods: 10,
	}
}

// entry is one row of the table.
type entry struct {
	Member
	// suspectUntil is when a suspected member is considered dead.
	suspectUntil time.Time
	// forgetAt is when the row of a member that is dead or has left is removed.
	forgetAt time.Time
	// sendsLeft is how many more times the row is sent as news.
	sendsLeft int
	// changeNumber numbers the changes of all rows; the newest are sent first.
	changeNumber int
	// ended says that the process is known to have ended, and is not only silent.
	ended bool
}

// Table is the membership as one process sees it. It has no clock and does no I/O.
type Table struct {
	options   Options
	self      Member
	rows      map[string]*entry
	order     []string
	nextIndex int
	ticks     int
	changes   int
	random    *rand.Rand
}

// NewTable returns a table with only the process itself.
func NewTable(self Member, o Options, r *rand.Rand) *Table {
	t := &Table{options: o, self: self, rows: map[string]*entry{}, random: r}
	t.rows[self.Name] = &entry{Member: self, sendsLeft: o.MaxNews}
	return t
}

// Self returns the process's own row.
func (t *Table) Self() Member {
	return t.rows[t.self.Name].Member
}

// Members returns all rows, sorted by name.
func (t *Table) Members() []Member {
	l := make([]Member, 0, len(t.rows))
	for _, e := range t.rows {
		l = append(l, e.Member)
	}
	slices.SortFunc(l, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// Live returns the members that are alive or only suspected, including the process
// itself.
func (t *Table) Live() []Member {
	return slices.DeleteFunc(t.Members(), func(m Member) bool { return m.State > Suspect })
}

// Merge merges what another member knows, and refutes what is wrong about the process
// itself. It reports whether anything changed.
func (t *Table) Merge(now time.Time, l []Member) bool {
	changed := false
	for _, m := range l {
		if t.merge(now, m) {
			changed = true
		}
	}
	return changed
}

func (t *Table) merge(now time.Time, m Member) bool {
	e, ok := t.rows[m.Name]
	if m.Name == t.self.Name {
		return t.refute(e, m)
	}
	if ok && !m.Supersedes(e.Member) {
		return false
	}
	if !ok && m.State >= Dead {
		return false
	}
	t.set(now, m)
	return true
}

// refute raises the process's own version above that of a claim that it is not alive.
func (t *Table) refute(e *entry, m Member) bool {
	if e.State == Left || m.Incarnation != e.Incarnation || !m.Supersedes(e.Member) {
		return false
	}
	e.Version = m.Version + 1
	t.markNews(e)
	return true
}

// set replaces a row and marks it as news.
func (t *Table) set(now time.Time, m Member) {
	e, ok := t.rows[m.Name]
	if !ok {
		e = &entry{}
		t.rows[m.Name] = e
		// A random position keeps hosts that learn the same table at the same time from
		// probing it in the same order.
		t.order = slices.Insert(t.order, t.random.IntN(len(t.order)+1), m.Name)
	}
	old := e.Incarnation
	e.Member = m
	t.markNews(e)
	e.ended = e.ended && e.Incarnation == old
	e.suspectUntil = time.Time{}
	e.forgetAt = time.Time{}
	if m.State == Suspect {
		e.suspectUntil = now.Add(t.options.SuspicionTimeout)
	}
	if m.State >= Dead {
		e.forgetAt = now.Add(t.options.ForgetAfter)
	}
}

// markNews has a row sent as news.
func (t *Table) markNews(e *entry) {
	t.changes++
	e.changeNumber = t.changes
	e.sendsLeft = t.sendLimit()
}

// sendLimit returns how many times a row is sent as news: it grows with the logarithm of
// the table's size, by which the row reaches all members with high probability.
func (t *Table) sendLimit() int {
	return 3 * (bits.Len(uint(len(t.rows))) + 1)
}

// Tick ends the suspicions that are due, forgets old rows and returns the member to probe
// in this period, or false if there is none.
func (t *Table) Tick(now time.Time) (Member, bool) {
	t.ticks++
	t.expire(now)
	if t.ticks%t.options.DeadProbePeriods == 0 {
		if m, ok := t.pickRandom(func(m Member) bool { return m.State == Dead }); ok {
			return m, true
		}
	}
	return t.nextLive()
}

func (t *Table) expire(now time.Time) {
	for n, e := range t.rows {
		if e.State == Suspect && !now.Before(e.suspectUntil) {
			m := e.Member
			m.State = Dead
			t.set(now, m)
		}
		if e.State >= Dead && n != t.self.Name && !now.Before(e.forgetAt) {
			delete(t.rows, n)
			t.order = slices.DeleteFunc(t.order, func(v string) bool { return v == n })
		}
	}
}

// nextLive returns the next live member of a round through a shuffled order, so that each
// is probed once per round.
func (t *Table) nextLive() (Member, bool) {
	for range len(t.order) {
		if t.nextIndex >= len(t.order) {
			t.nextIndex = 0
			t.random.Shuffle(len(t.order), func(i, j int) {
				t.order[i], t.order[j] = t.order[j], t.order[i]
			})
		}
		e := t.rows[t.order[t.nextIndex]]
		t.nextIndex++
		if e.State <= Suspect {
			return e.Member, true
		}
	}
	return Member{}, false
}

// pickRandom returns a random member for which f holds.
func (t *Table) pickRandom(f func(Member) bool) (Member, bool) {
	var l []Member
	for _, n := range t.order {
		if m := t.rows[n].Member; f(m) {
			l = append(l, m)
		}
	}
	if len(l) == 0 {
		return Member{}, false
	}
	return l[t.random.IntN(len(l))], true
}

// Helpers returns the members that are to probe the named one, which did not answer.
func (t *Table) Helpers(name string) []Member {
	var l []Member
	for range t.options.Helpers {
		m, ok := t.pickRandom(func(m Member) bool {
			return m.State == Alive && m.Name != name && !slices.Contains(l, m)
		})
		if !ok {
			break
		}
		l = append(l, m)
	}
	return l
}

// Suspect marks the member as suspected, after neither the process nor its helpers
// reached it in the incarnation and version of m.
func (t *Table) Suspect(now time.Time, m Member) {
	e, ok := t.rows[m.Name]
	if !ok || e.State != Alive || e.Incarnation != m.Incarnation || e.Version != m.Version {
		return
	}
	s := e.Member
	s.State = Suspect
	t.set(now, s)
}

// Leave marks the process itself as stopping.
func (t *Table) Leave() {
	e := t.rows[t.self.Name]
	e.State = Left
	t.markNews(e)
}

// NewsFor returns the rows to send with the next message to the named member: those that
// were sent the fewest times, and its own row if it is not considered alive, so that it
// can refute that.
func (t *Table) NewsFor(name string) []Member {
	l := t.takeNews()
	if e, ok := t.rows[name]; ok && e.State != Alive {
		l = append(l, e.Member)
	}
	return l
}

// takeNews returns the rows to send next, and counts them as sent.
func (t *Table) takeNews() []Member {
	var l []*entry
	for _, e := range t.rows {
		if e.sendsLeft > 0 {
			l = append(l, e)
		}
	}
	slices.SortFunc(l, func(a, b *entry) int {
		if a.sendsLeft != b.sendsLeft {
			return b.sendsLeft - a.sendsLeft
		}
		return b.changeNumber - a.changeNumber
	})
	l = l[:min(len(l), t.options.MaxNews)]
	out := make([]Member, 0, len(l))
	for _, e := range l {
		e.sendsLeft--
		out = append(out, e.Member)
	}
	return out
}
