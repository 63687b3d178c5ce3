package fleet

import (
	"time"

	"amberway/config"
	"amberway/platform"
)

// MaxListAge is the age beyond which the host list is stale. With a stale list, no
// host counts as available.
const MaxListAge = 2 * time.Minute

// PoolCapacity counts the hosts of a pool in one data centre.
type PoolCapacity struct {
	// Available is the number of hosts that are in service, and that the host
	// list has as live and not leaving.
	Available int `json:"available"`
	// MinAvailable is the number of available hosts that the budget requires.
	MinAvailable int `json:"need"`
	// LargestRack is the largest number of available hosts in one rack.
	LargestRack int `json:"largest_rack"`
	// Hosts is the number of hosts assigned to the pool, in any state.
	Hosts int `json:"hosts"`
	// racks counts the available hosts of each rack.
	racks map[string]int
}

// Buffer returns the number of available hosts above the required minimum.
func (t PoolCapacity) Buffer() int {
	return max(0, t.Available-t.MinAvailable)
}

// BudgetExhausted reports whether fewer hosts are available than the budget
// requires. Failures have caused that, as no drain may.
func (t PoolCapacity) BudgetExhausted() bool {
	return t.Available < t.MinAvailable
}

// allowsDrain reports whether a host of the rack may be drained: without it, the
// pool must still have its required minimum after the loss of any one whole rack.
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

// remove subtracts one available host of the rack.
func (t *PoolCapacity) remove(rack string) {
	t.Available--
	t.racks[rack]--
	t.updateLargestRack()
}

// add counts one more available host of the rack.
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

// PoolCapacities returns the capacity of each pool of the document in the data
// centre, by pool name. With a stale list, no host counts as available.
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

// IsListStale reports whether the list is too old to tell which hosts are
// available.
func IsListStale(now time.Time, l platform.HostList) bool {
	return now.Sub(l.AsOf) > MaxListAge
}

func available(w HostStatus, h platform.Host) bool {
	return w.State == InService && h.Live && !h.Leaving
}
