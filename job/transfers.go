package job

import (
	"cmp"
	"slices"
	"time"

	"amberway/platform"
)

// Parameters of transfers between pools.
const (
	// transferTimeout is how long a host may drain for a transfer to another pool.
	transferTimeout = 2 * time.Second
	// keepMoved is how long a host stays in its pool after a move, or after it could not be
	// drained in time, while that pool is short itself. A move takes a host out of service for
	// about half of that time.
	keepMoved = 3 * time.Second
	// overdueDivisor estimates how much longer a run takes that has exceeded its expected run
	// time: a quarter of that.
	overdueDivisor = 4
)

// keptInPool reports whether the host was moved to its pool too recently to be taken from it
// again while the pool is short.
func (c *Core) keptInPool(m *machine, from *demand) bool {
	return from.short() && c.now.Before(m.keepUntil)
}

// transferHosts takes hosts from pools that have more than they are granted while the demand's
// pool needs them. Idle hosts move at once, others drain first. Hosts that run lasting tasks are
// not taken.
func (c *Core) transferHosts(d *demand, plan []demand) {
	c.reconcileTransfers(d, c.balance.transfersTo[d.service])
	marked := false
	for i := len(plan) - 1; i >= 0 && d.transferPays(); i-- {
		from := &plan[i]
		if from.service == d.service || from.have <= from.allotted+d.tolerance(from) || d.divided && !c.mayDrainAnother() {
			continue
		}
		for _, m := range c.transferable(from) {
			if !d.transferPays() || from.have <= from.allotted+d.tolerance(from) || d.divided && !c.mayDrainAnother() {
				break
			}
			if m.transferTo != "" || m.order != nil {
				continue
			}
			m.transferTo = d.service
			m.drainingSince = c.now
			c.listedByHost[m.Name].cordoned = true
			c.balance.draining++
			from.have--
			d.have++
			marked = true
		}
	}
	if marked {
		c.reconcileTransfers(d, slices.Collect(c.machinesByAge.All()))
	}
}

// transferPays reports whether another host is worth the drain of one elsewhere: tasks wait for
// room and, if hosts are divided, the pool has first-class work that would be in time on it. A
// pool without any host gets one, so that all of its work ends.
func (d *demand) transferPays() bool {
	switch {
	case d.have >= d.allotted:
		return false
	case !d.divided:
		return d.hasUnplaced
	}
	return d.have < max(1, d.inTime)
}

// tolerance returns how many hosts a pool may have beyond its allotment before others are drained
// for d: allotments vary by as much. If d lacks more than its own allotment varies by, or has no
// host at all, it is none.
func (d *demand) tolerance(from *demand) int {
	if !d.divided || d.have == 0 || d.allotted-d.have > d.variation() {
		return 0
	}
	return from.variation()
}

// variation returns by how many hosts the pool's allotment varies.
func (d *demand) variation() int {
	return max(1, d.allotted/divisionTolerance)
}

// mayDrainAnother reports whether a host that is drained now could be ordered to move at once,
// beside those that drain already. Hosts that wait for their orders run nothing.
func (c *Core) mayDrainAnother() bool {
	return c.balance.draining < int(c.orderBudget.burst())
}

// machinesOf returns the machines of a pool by name.
func (c *Core) machinesOf(pool string) []*machine {
	b := &c.balance
	if b.machinesByPool == nil {
		b.machinesByPool = map[string][]*machine{}
		for _, m := range c.machinesByName {
			b.machinesByPool[m.Pool] = append(b.machinesByPool[m.Pool], m)
		}
		for _, l := range b.machinesByPool {
			slices.SortFunc(l, func(a, b *machine) int { return cmp.Compare(a.Name, b.Name) })
		}
	}
	return b.machinesByPool[pool]
}

// indexTransfers looks up the machines that drain for a transfer.
func (c *Core) indexTransfers() {
	c.balance.transfersTo = map[string][]*machine{}
	c.balance.draining = 0
	for m := range c.machinesByAge.All() {
		if m.transferTo != "" && m.order == nil {
			c.balance.transfersTo[m.transferTo] = append(c.balance.transfersTo[m.transferTo], m)
			c.balance.draining++
		}
	}
}

// transferable returns the hosts of a pool that run no lasting tasks, the least loaded first. If
// hosts are divided, those are first that will be empty first, with the least first-class work
// among equals; those that are not expected to drain in time are left out.
func (c *Core) transferable(from *demand) []*machine {
	if from.divided && from.drainsKnown {
		return from.drains
	}
	var l []*machine
	for _, m := range c.usable(from.service) {
		w := c.listedByHost[m.Name]
		if w != nil && c.runsKnown(m) && !w.Draining && !w.cordoned && !w.hasLasting() {
			l = append(l, m)
		}
	}
	if from.divided {
		from.drains, from.drainsKnown = c.drainable(l, from), true
		return from.drains
	}
	slices.SortStableFunc(l, func(a, b *machine) int {
		return cmp.Compare(c.listedByHost[a.Name].used.MilliCores, c.listedByHost[b.Name].used.MilliCores)
	})
	return l
}

// drainable returns those of the hosts that are expected to drain in time, the first to be empty
// first.
func (c *Core) drainable(l []*machine, from *demand) []*machine {
	type candidate struct {
		*machine
		drain time.Duration
		first int64
	}
	var all []candidate
	for _, m := range l {
		drain, first := c.drainTime(c.listedByHost[m.Name])
		if drain < transferTimeout && !c.keptInPool(m, from) {
			all = append(all, candidate{machine: m, drain: drain.Truncate(poolPlanInterval), first: first})
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.drain, b.drain), cmp.Compare(a.first, b.first))
	})
	l = l[:0]
	for _, v := range all {
		l = append(l, v.machine)
	}
	return l
}

// drainTime returns how long the worker's runs are expected to take, and the cores, in
// thousandths, that those of first-class work use.
func (c *Core) drainTime(w *worker) (time.Duration, int64) {
	longest, first := time.Duration(0), int64(0)
	for _, r := range w.runs {
		s := r.task.step
		n := s.instance
		expected := c.expectedRunTime(n.job, s.Step)
		longest = max(longest, expected-c.now.Sub(r.sentAt), expected/overdueDivisor)
		if !c.beyondShare(n.job) && !r.sentAt.After(c.latestStart(s)) {
			first += s.MilliCores
		}
	}
	return longest, first
}

// hasLasting reports whether the worker runs lasting tasks.
func (w *worker) hasLasting() bool {
	for _, r := range w.runs {
		if r.task.step.Lasting {
			return true
		}
	}
	return false
}

// reconcileTransfers moves hosts that are being transferred to the pool once they are
// drained. It cancels transfers that are no longer needed or take too long. The list holds all
// hosts that are being transferred to the pool.
func (c *Core) reconcileTransfers(d *demand, l []*machine) {
	for _, m := range l {
		if m.transferTo != d.service || m.order != nil {
			continue
		}
		w := c.listedByHost[m.Name]
		switch {
		case c.isEvacuated(m.DataCentre):
			c.cancelTransfer(m)
		case w == nil || len(w.runs) == 0:
			if c.mayOrder() {
				m.transferTo = ""
				c.orderMove(m, d.service, d)
			}
		case c.now.Sub(m.drainingSince) > transferTimeout:
			m.keepUntil = c.now.Add(keepMoved)
			c.cancelTransfer(m)
			d.have--
		case d.transferUnneeded():
			c.cancelTransfer(m)
			d.have--
		}
	}
}

// cancelStaleTransfers cancels transfers to pools that the configuration no longer has, and all of them
// if it has no spare pool: pools are not balanced without one.
func (c *Core) cancelStaleTransfers() {
	spare := c.sparePool()
	for m := range c.machinesByAge.All() {
		known := slices.ContainsFunc(c.config.Services, func(s platform.Service) bool { return s.Name == m.transferTo })
		if m.transferTo != "" && m.order == nil && (spare == "" || !known) {
			c.cancelTransfer(m)
		}
	}
}

// transferUnneeded reports whether the pool can do without a host that drains for it.
func (d *demand) transferUnneeded() bool {
	if d.divided {
		return d.have > d.allotted
	}
	return !d.hasUnplaced
}

// cancelTransfer lets the machine's worker get starts again, also if its record is away.
func (c *Core) cancelTransfer(m *machine) {
	m.transferTo = ""
	m.drainingSince = time.Time{}
	c.uncordon(m)
}
