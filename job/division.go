package job

import (
	"cmp"
	"slices"
	"time"
)

// While the pools together want more hosts than there are, the hosts are divided among them. The
// division follows from the pools' wants alone, so that a new owner comes to the same one.

// Parameters of the division of hosts.
const (
	// secondClassDivisor gives the part of all hosts that is reserved for second-class work,
	// which is accepted and has to end: one host in ten.
	secondClassDivisor = 10
	// A division is kept for divisionInterval unless a pool's allotment would change by more than
	// its divisionTolerance-th part and by more than one host. Wants vary from plan to plan, and
	// each move takes a host out of service for moveDuration.
	divisionInterval  = 500 * time.Millisecond
	divisionTolerance = 10
)

// poolWant is a pool's claim to the hosts that are divided.
type poolWant struct {
	service string
	// want and first are the hosts that it wants for all of its work and for its first-class
	// work.
	want, first int
	// lasting counts its hosts that run lasting tasks. They cannot be taken from it.
	lasting int
	// have counts the hosts that it has. Of pools with equal claims, the one that has more gets
	// the next host, which saves a move.
	have int
}

// divideHosts grants the hosts to pools and returns the allotment of each. If there are enough
// hosts, it grants all wants. Otherwise it grants hosts with lasting tasks to their pool, the
// reserve to second-class work, the others to first-class work, and what that leaves over to
// second-class work, each by max-min fairness.
func divideHosts(hosts int, l []poolWant) []int {
	grants := make([]int, len(l))
	wanted := 0
	for i, w := range l {
		grants[i] = w.want
		wanted += w.want
	}
	if wanted <= hosts {
		return grants
	}
	first, second := make([]claim, len(l)), make([]claim, len(l))
	for i, w := range l {
		f := max(min(w.first, w.want), w.lasting)
		first[i] = claim{floor: w.lasting, most: f, have: w.have}
		second[i] = claim{most: max(0, w.want-f), have: w.have}
	}
	granted := maxMin(hosts-secondClassReserve(hosts, second), first)
	left := hosts
	for _, n := range granted {
		left -= n
	}
	for i, n := range maxMin(left, second) {
		grants[i] = granted[i] + n
	}
	return grants
}

// secondClassReserve returns how many hosts are reserved for second-class work: a tenth, but at
// least one for each pool that has any, and no more than it needs.
func secondClassReserve(hosts int, second []claim) int {
	pools, need := 0, 0
	for _, s := range second {
		need += s.most
		if s.most > 0 {
			pools++
		}
	}
	return min(need, max(pools, hosts/secondClassDivisor), hosts)
}

// claim is a claim to between floor and most hosts by a pool that has some.
type claim struct {
	floor, most, have int
}

// at returns what the claim is granted at the level.
func (l claim) at(level int) int {
	return max(l.floor, min(level, l.most))
}

// maxMin grants the hosts by max-min fairness: the smallest claims in full and the others equal
// parts, but to each at least its floor.
func maxMin(hosts int, l []claim) []int {
	sum := func(level int) int {
		n := 0
		for _, v := range l {
			n += v.at(level)
		}
		return n
	}
	low, high := 0, 0
	for _, v := range l {
		high = max(high, v.most)
	}
	for low < high {
		if level := (low + high + 1) / 2; sum(level) <= hosts {
			low = level
		} else {
			high = level - 1
		}
	}
	grants := make([]int, len(l))
	var next []int
	for i, v := range l {
		grants[i] = v.at(low)
		if v.at(low+1) > grants[i] {
			next = append(next, i)
		}
	}
	// Fewer hosts are left than there are claims to one more.
	slices.SortStableFunc(next, func(a, b int) int { return cmp.Compare(l[b].have, l[a].have) })
	for i := range min(len(next), max(0, hosts-sum(low))) {
		grants[next[i]]++
	}
	return grants
}

// division is the division of hosts that is in force, or the zero value while nothing is short.
type division struct {
	number    int64
	decidedAt time.Time
	// allotted holds the hosts that each pool is granted, by service.
	allotted map[string]int
}

// next returns the division that is in force from now on, given the hosts and wants. It returns d
// itself, and false, if that is kept.
func (d division) next(hosts int, l []poolWant, now time.Time) (division, bool) {
	n := division{number: d.number + 1, decidedAt: now, allotted: make(map[string]int, len(l))}
	for i, granted := range divideHosts(hosts, l) {
		n.allotted[l[i].service] = granted
	}
	if d.allotted != nil && now.Sub(d.decidedAt) < divisionInterval && !d.differs(n) {
		return d, false
	}
	return n, true
}

// differs reports whether a pool's allotment in the other division differs by more than the
// tolerance.
func (d division) differs(o division) bool {
	if len(d.allotted) != len(o.allotted) {
		return true
	}
	for s, n := range o.allotted {
		before, ok := d.allotted[s]
		if change := max(n-before, before-n); !ok || change > max(1, before/divisionTolerance) {
			return true
		}
	}
	return false
}
