package fleet

import (
	"time"

	"amberway/config"
	"amberway/platform"
)

// ListStaleAfter is the age from which the host list counts as unknown. What is
// unknown is not available.
const ListStaleAfter = 2 * time.Minute

// Tally is what a pool has in one data centre.
type Tally struct {
	// Available is the number of hosts that are in service, listed as live and
	// not about to leave.
	Available int `json:"available"`
	// Need is the pool's allowance.
	Need int `json:"need"`
	// LargestRack is the most available hosts that stand in one rack.
	LargestRack int `json:"largest_rack"`
	// Hosts is the number of rows of the pool.
	Hosts int `json:"hosts"`
	racks map[string]int
}

// Buffer is what is held back above the allowance.
func (t Tally) Buffer() int {
	return max(0, t.Available-t.Need)
}

// Spent reports whether failures alone have used the budget up.
func (t Tally) Spent() bool {
	return t.Available < t.Need
}

// mayLose reports whether the pool keeps its allowance without one host of the
// rack, and after the loss of any one whole rack besides.
func (t Tally) mayLose(rack string) bool {
	left := t.Available - 1
	largest := 0
	for r, n := range t.racks {
		if r == rack {
			n--
		}
		largest = max(largest, n)
	}
	return left-largest >= t.Need
}

// lose takes one host of the rack out.
func (t *Tally) lose(rack string) {
	t.Available--
	t.racks[rack]--
	t.count()
}

// gain adds one host of the rack.
func (t *Tally) gain(rack string) {
	t.Available++
	t.racks[rack]++
	t.count()
}

func (t *Tally) count() {
	t.LargestRack = 0
	for _, n := range t.racks {
		t.LargestRack = max(t.LargestRack, n)
	}
}

// Tallies counts every pool of the document in the data centre.
func Tallies(now time.Time, d *config.Document, dc string, r Record, l platform.HostList) map[string]*Tally {
	m := map[string]*Tally{}
	for _, p := range d.Pools {
		m[p.Name] = &Tally{Need: p.Budget.Available[dc], racks: map[string]int{}}
	}
	for _, w := range r.Hosts {
		if t, ok := m[w.Pool]; ok {
			t.Hosts++
		}
	}
	if Stale(now, l) {
		return m
	}
	for _, h := range l.Hosts {
		t, ok := m[r.Hosts[h.Name].Pool]
		if ok && available(r.Hosts[h.Name], h) {
			t.gain(h.Rack)
		}
	}
	return m
}

// Stale reports whether the list is too old to tell what is available.
func Stale(now time.Time, l platform.HostList) bool {
	return now.Sub(l.AsOf) > ListStaleAfter
}

func available(w Row, h platform.Host) bool {
	return w.State == InService && h.Live && !h.Leaving
}
