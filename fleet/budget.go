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
	// Available is the number of hosts that are in service and that the host list
	// shows as live and not leaving.
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
func (c PoolCapacity) Buffer() int {
	return max(0, c.Available-c.MinAvailable)
}

// BudgetExhausted reports whether fewer hosts are available than the budget
// requires. The cause is failures, since no drain is allowed to go that far.
func (c PoolCapacity) BudgetExhausted() bool {
	return c.Available < c.MinAvailable
}

// allowsDrain reports whether a host of the rack may be drained: without it, the
// pool must still have its required minimum after the loss of any one whole rack.
func (c PoolCapacity) allowsDrain(rack string) bool {
	left := c.Available - 1
	largest := 0
	for r, n := range c.racks {
		if r == rack {
			n--
		}
		largest = max(largest, n)
	}
	return left-largest >= c.MinAvailable
}

// remove subtracts one available host of the rack.
func (c *PoolCapacity) remove(rack string) {
	c.Available--
	c.racks[rack]--
	c.updateLargestRack()
}

// add counts one more available host of the rack.
func (c *PoolCapacity) add(rack string) {
	c.Available++
	c.racks[rack]++
	c.updateLargestRack()
}

func (c *PoolCapacity) updateLargestRack() {
	c.LargestRack = 0
	for _, n := range c.racks {
		c.LargestRack = max(c.LargestRack, n)
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
		if c, ok := m[w.Pool]; ok {
			c.Hosts++
		}
	}
	if IsListStale(now, l) {
		return m
	}
	for _, h := range l.Hosts {
		c, ok := m[r.Hosts[h.Name].Pool]
		if ok && available(r.Hosts[h.Name], h) {
			c.add(h.Rack)
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
