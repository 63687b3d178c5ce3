package job

import "time"

// Retention of hosts that a pool does not need at the moment. It answers a load that moves from
// pool to pool by turns. Where the platform moves the whole fleet in the time that one host
// takes, a host that is given back can be had again at once, and is given back soon. Where it
// cannot, orders to machines are what runs short: a pool then keeps the hosts of its last peak.

// turnoverTime returns the time that the platform takes to move all machines once.
func turnoverTime(machines int, ordersPerSecond float64) time.Duration {
	return time.Duration(float64(machines) / ordersPerSecond * float64(time.Second))
}

// retentionTime returns for how long a pool keeps the hosts of a peak. A host that is given back
// and fetched again takes two orders, so that it is twice the time by which the turnover exceeds
// one move. Zero means that a pool gives hosts back as soon as they are idle.
func retentionTime(turnover time.Duration) time.Duration {
	return 2 * max(0, turnover-moveDuration)
}

// peak is the highest demand of a pool that has not expired.
type peak struct {
	hosts int
	until time.Time
}

// observe updates the peak by the demand at the time, and returns the number of hosts to keep.
func (p *peak) observe(want int, now time.Time, retention time.Duration) int {
	if want >= p.hosts || !now.Before(p.until) {
		p.hosts, p.until = want, now.Add(retention)
	}
	return p.hosts
}

// retainedHosts returns how many hosts the pool keeps, given how many it wants now.
func (c *Core) retainedHosts(service string, want int) int {
	r := retentionTime(turnoverTime(len(c.machinesByName), c.orderBudget.perSecond))
	p := c.balance.peaks[service]
	if p == nil {
		p = &peak{}
		c.balance.peaks[service] = p
	}
	return p.observe(want, c.now, r)
}
