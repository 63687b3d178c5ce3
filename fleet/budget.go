package fleet

import (
	"time"

	"amberway/config"
	"amberway/platform"
)

// MaxListAge is the age from which the host list counts as unknown. What is
// unknown is not available.
const MaxListAge = 2 * time.Minute

// PoolCapacity is what a pool has in one data centre.
type PoolCapacity struct {
	// Available is the number of hosts that are in service, listed as live and
	// not about to leave.
	Available int `json:"available"`
	// MinAvailable is the pool's allowance.
	MinAvailable int `json:"need"`
	// LargestRack is the most available hosts that stand in one rack.
	LargestRack int `json:"largest_rack"`
	// Hosts is the number of rows of the pool.
	Hosts int `json:"hosts"`
	racks map[string]int
}

// Buffer is what is held back above the allowance.
func (t PoolCapacity) Buffer() int {
	return max(0, t.Available-t.MinAvailable)
}

// BudgetExhausted reports whether failures alone have used the budget up.
func (t PoolCapacity) BudgetExhausted() bool {
	return t.Available < t.MinAvailable
}

// allowsDrain reports whether the pool keeps its allowance without one host of the
// rack, and after the loss of any one whole rack besides.
func (t PoolCapacity) allowsDrain(rack string) bool {
	left := t.Available - 1
	largest := 0
	for r, n := range t.racks {
		if r == rack {
			n--
		}
		largest = max(largest, n)
	}
	return left-largest >= t.MinAvailable
}

// remove takes one host of the rack out.
func (t *PoolCapacity) remove(rack string) {
	t.Available--
	t.racks[rack]--
	t.updateLargestRack()
}

// add adds one host of the rack.
func (t *PoolCapacity) add(rack string) {
	t.Available++
	t.racks[rack]++
	t.updateLargestRack()
}

func (t *PoolCapacity) updateLargestRack() {
	t.LargestRack = 0
	for _, n := range t.racks {
		t.LargestRack = max(t.LargestRack, n)
	}
}

// PoolCapacities counts every pool of the document in the data centre.
func PoolCapacities(now time.Time, d *config.Document, dc string, r Record, l platform.HostList) map[string]*PoolCapacity {
	m := map[string]*PoolCapacity{}
	for _, p := range d.Pools {
		m[p.Name] = &PoolCapacity{MinAvailable: p.Budget.MinAvailable[dc], racks: map[string]int{}}
	}
	for _, w := range r.Hosts {
		if t, ok := m[w.Pool]; ok {
			t.Hosts++
		}
	}
	if IsListStale(now, l) {
		return m
	}
	for _, h := range l.Hosts {
		t, ok := m[r.Hosts[h.Name].Pool]
		if ok && available(r.Hosts[h.Name], h) {
			t.add(h.Rack)
		}
	}
	return m
}

// IsListStale reports whether the list is too old to tell what is available.
func IsListStale(now time.Time, l platform.HostList) bool {
	return now.Sub(l.AsOf) > MaxListAge
}

func available(w HostStatus, h platform.Host) bool {
	return w.State == InService && h.Live && !h.Leaving
}
