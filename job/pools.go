package job

import (
	"slices"
	"time"

	"amberway/platform"
)

// Parameters of pools. Keeping a host in a pool for a second costs about as much as one move.
const (
	// poolIdleTimeout is how long a host beyond its pool's demand stays idle before it
	// moves to the spare pool.
	poolIdleTimeout = 800 * time.Millisecond
	// surplusIdleTimeout applies instead while the pool has a large surplus, as after a
	// shift of the load.
	surplusIdleTimeout = 300 * time.Millisecond
	// A surplus is large if it exceeds both minSurplus hosts and the pool's demand divided
	// by surplusDivisor.
	surplusDivisor = 8
	minSurplus     = 8
	// poolPlanInterval is the time between two evaluations of the pools.
	poolPlanInterval = 100 * time.Millisecond
	// poolLogInterval is the time between two log lines about each pool.
	poolLogInterval = 2 * time.Second
	// poolHeadroom is the capacity that a pool keeps beyond its load, as a fraction of the
	// load, since tasks do not fill hosts to the last core.
	poolHeadroom = 0.1
	// freeHostFraction is the part of a host that a pool keeps free in addition, so that
	// a pool of one or two hosts grows in time.
	freeHostFraction = 0.25
)

// poolBalancer is the state of the distribution of hosts to pools.
type poolBalancer struct {
	planAt, logAt time.Time
	// unplaced is the demand of tasks that found no room, by service.
	unplaced map[string]platform.Resources
	// arrivals is the recent work, by service.
	arrivals map[string]*arrivals
	// firstArrivals is the part of it that is within the teams' shares.
	firstArrivals map[string]*arrivals
	// division is the division of the hosts while they are short.
	division division
	// machinesByPool holds the machines by pool and name, or is nil after a machine list has
	// changed them. Searching all machines for each pair of a pool that is short and one with a
	// surplus took four seconds a plan with 259 pools and 10,000 machines.
	machinesByPool map[string][]*machine
	// transfersTo holds, as of the beginning of a plan, the machines that drain for a pool;
	// draining counts these and those that the plan adds.
	transfersTo map[string][]*machine
	draining    int
	// undivided turns the division off, for tests that compare plans with and without it.
	undivided bool
	// shares are the pools' shares of the hosts, by service.
	shares map[string]poolShare
}

func newPoolBalancer() poolBalancer {
	return poolBalancer{
		unplaced:      map[string]platform.Resources{},
		arrivals:      map[string]*arrivals{},
		firstArrivals: map[string]*arrivals{},
		shares:        map[string]poolShare{},
	}
}

// reconcilePools moves hosts among the pools and the spare pool to follow the load.
func (c *Core) reconcilePools() {
	spare := c.sparePool()
	if spare == "" || c.now.Before(c.ordersFrom) || c.now.Before(c.balance.planAt) {
		return
	}
	c.balance.planAt = c.now.Add(poolPlanInterval)
	c.recycleTainted(spare)
	plan := c.poolDemands(spare)
	c.divide(plan, spare)
	c.recordShares(plan)
	c.logPools(plan)
	c.indexTransfers()
	for i := range plan {
		c.addIdleHosts(&plan[i], plan)
		c.addSpareHosts(&plan[i], spare)
	}
	for i := range plan {
		c.transferHosts(&plan[i], plan)
	}
	c.releaseSurplus(plan, spare)
}

func (c *Core) sparePool() string {
	for _, s := range c.config.Services {
		if s.Spare {
			return s.Name
		}
	}
	return ""
}

// recycleTainted moves the machines of tainted workers that run nothing to the spare pool. The move
// starts a new incarnation of the worker.
func (c *Core) recycleTainted(spare string) {
	for w := range c.workersByAge.All() {
		m := c.machinesByName[w.Host]
		if w.tainted() && !w.busy() && m != nil && m.Worker == w.ID.Name() && c.mayRelease() && c.orderable(m) && c.drainMachine(m, transferTimeout) {
			c.recordOrder(m, &machineOrder{pool: spare})
		}
	}
}

// addSpareHosts moves hosts from the spare pool to a pool that is short of them.
func (c *Core) addSpareHosts(d *demand, spare string) {
	if d.have >= d.allotted || !c.mayOrder() {
		return
	}
	for _, m := range c.usable(spare) {
		if d.have >= d.allotted || !c.mayOrder() {
			return
		}
		c.orderMove(m, d.service, d)
		d.have++
	}
}

// addIdleHosts moves idle hosts from pools with a surplus to a pool that is short. That
// takes one move instead of two by way of the spare pool.
func (c *Core) addIdleHosts(d *demand, plan []demand) {
	for i := range plan {
		from := &plan[i]
		if from.service == d.service || d.have >= d.allotted || from.have <= from.allotted {
			continue
		}
		if !from.idleKnown {
			from.idleKnown = true
			from.idle = slices.DeleteFunc(c.usable(from.service), func(m *machine) bool { return !c.machineIdle(m) || c.keptInPool(m, from) })
		}
		for _, m := range from.idle {
			if d.have >= d.allotted || from.have <= from.allotted || !c.mayOrder() {
				break
			}
			if m.order != nil {
				continue
			}
			c.orderMove(m, d.service, d)
			d.have++
			from.have--
		}
	}
}

// machineIdle reports whether the machine's worker is known to run nothing.
func (c *Core) machineIdle(m *machine) bool {
	w := c.workerOf(m)
	return w != nil && !w.cordoned && !w.Draining && c.runsKnown(m) && len(w.runs) == 0
}

// movable returns the machines of a pool that may be ordered to move now, by name.
func (c *Core) movable(pool string) []*machine {
	return slices.DeleteFunc(slices.Clone(c.machinesOf(pool)), func(m *machine) bool { return !c.orderable(m) || !m.drainingSince.IsZero() })
}

// usable returns the machines of a pool that may be ordered to move now and are of use to another
// pool: those outside evacuated data centres.
func (c *Core) usable(pool string) []*machine {
	return slices.DeleteFunc(c.movable(pool), func(m *machine) bool { return c.isEvacuated(m.DataCentre) })
}

func (c *Core) orderMove(m *machine, pool string, d *demand) {
	c.emit(LogLine{What: "move", Fields: []any{"machine", m.Name, "from", m.Pool, "to", pool, "want", d.want, "have", d.have, "allotted", d.allotted, "waits", d.hasUnplaced}})
	c.recordOrder(m, &machineOrder{pool: pool})
}

// idleTimeout returns how long a host of the pool stays idle before it is released.
func (d *demand) idleTimeout() time.Duration {
	if d.have-d.allotted > max(minSurplus, d.allotted/surplusDivisor) {
		return surplusIdleTimeout
	}
	return poolIdleTimeout
}

// releaseSurplus moves hosts that have been idle for idleTimeout to the spare pool while their
// pool has more than it needs. The pools take turns: one that gave back all of its hosts before
// the next began would soon have to fetch some again. Hosts in evacuated data centres are of no
// use to their pool.
func (c *Core) releaseSurplus(plan []demand, spare string) {
	if !c.mayRelease() {
		return
	}
	idle := make([][]*machine, len(plan))
	for i := range plan {
		idle[i] = c.releasable(&plan[i])
	}
	for more := true; more; {
		more = false
		for i := range plan {
			for len(idle[i]) > 0 && !c.mayGiveBack(&plan[i], idle[i][0]) {
				idle[i] = idle[i][1:]
			}
			if len(idle[i]) == 0 {
				continue
			}
			if !c.mayRelease() {
				return
			}
			c.giveBack(&plan[i], idle[i][0], spare)
			idle[i] = idle[i][1:]
			more = true
		}
	}
}

// releasable returns the idle hosts of a pool that has more than it needs.
func (c *Core) releasable(d *demand) []*machine {
	if d.have <= d.allotted && len(c.evacuations.DataCentres) == 0 {
		return nil
	}
	return slices.DeleteFunc(c.movable(d.service), func(m *machine) bool { return !c.machineIdle(m) || c.keptInPool(m, d) })
}

// mayGiveBack reports whether the pool can do without the host, which has been idle for long
// enough.
func (c *Core) mayGiveBack(d *demand, m *machine) bool {
	if d.have <= d.allotted && !c.isEvacuated(m.DataCentre) {
		return false
	}
	return c.now.Sub(c.workerOf(m).idleSince) >= d.idleTimeout()
}

func (c *Core) giveBack(d *demand, m *machine, spare string) {
	c.orderMove(m, spare, d)
	if !c.isEvacuated(m.DataCentre) {
		d.have--
	}
}
