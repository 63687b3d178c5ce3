package job

import (
	"maps"

	"amberway/platform"
)

// poolShare is a pool's share of the hosts, as of the last plan of the pools.
type poolShare struct {
	// have counts the hosts that are in service or on their way to the pool, want those that it
	// needs for all of its work, and firstWant those for its first-class work: lasting tasks,
	// and tasks of jobs that can be in time and are within their team's share.
	have, want, firstWant int
	// allotted is the number of hosts that the pool is granted.
	allotted int
	// hostCores is the capacity of one host in thousandths of a core.
	hostCores int64
	// short reports whether the pool wants more hosts than it is allotted.
	short bool
}

// poolHosts counts the hosts of a pool for operators.
type poolHosts struct {
	// Wanted are the hosts that it wants for all of its work, FirstClass those for its first-class
	// work.
	Wanted     int `json:"hosts_wanted"`
	FirstClass int `json:"hosts_first_class"`
	// Allotted are the hosts that it is granted, Held those that are in service or on their way.
	Allotted int `json:"hosts_allotted"`
	Held     int `json:"hosts_held"`
}

func (s poolShare) hosts() poolHosts {
	return poolHosts{Wanted: s.want, FirstClass: s.firstWant, Allotted: s.allotted, Held: s.have}
}

// poolHosts returns the hosts of all pools by service if this host is the owner.
func (n *Node) poolHosts() map[string]poolHosts {
	o := n.localOwner()
	if o == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make(map[string]poolHosts, len(o.core.balance.shares))
	for service, s := range o.core.balance.shares {
		all[service] = s.hosts()
	}
	return all
}

// shareOf returns the pool's share of the hosts, or false before the first plan of the pools.
func (c *Core) shareOf(service string) (poolShare, bool) {
	s, ok := c.balance.shares[service]
	return s, ok
}

// recordShares records the share of each pool for shareOf.
func (c *Core) recordShares(plan []demand) {
	clear(c.balance.shares)
	for _, d := range plan {
		c.balance.shares[d.service] = poolShare{
			have:      d.have,
			want:      d.want,
			firstWant: d.firstWant,
			allotted:  d.allotted,
			hostCores: c.hostCapacity(d.service).MilliCores,
			short:     d.short(),
		}
	}
}

// divide sets what each pool is granted if the pools together want more hosts than there are.
// Otherwise each is granted what it wants.
func (c *Core) divide(plan []demand, spare string) {
	hosts, wanted := c.divisibleHosts(plan, spare), 0
	wants := make([]poolWant, len(plan))
	for i, d := range plan {
		wanted += d.want
		wants[i] = poolWant{service: d.service, want: d.want, first: d.firstWant, lasting: d.lasting, have: d.have}
	}
	b := &c.balance
	if wanted <= hosts || b.undivided {
		if b.division.allotted != nil {
			b.division.allotted = nil
			c.logDivision("hosts suffice", hosts, wanted, plan)
		}
		return
	}
	before := b.division.allotted
	decided := false
	b.division, decided = b.division.next(hosts, wants, c.now)
	for i := range plan {
		plan[i].divided = true
		plan[i].allotted = b.division.allotted[plan[i].service]
	}
	sortDemands(plan)
	if decided && !maps.Equal(before, b.division.allotted) {
		c.logDivision("the pools want more hosts than there are", hosts, wanted, plan)
	}
}

// divisibleHosts counts the hosts that are in service in a pool, move to one, or are unused in the
// spare pool. Those in evacuated data centres and under maintenance are left out.
func (c *Core) divisibleHosts(plan []demand, spare string) int {
	n := 0
	for _, d := range plan {
		n += d.inService
	}
	for _, m := range c.machinesByName {
		w := c.listedByHost[m.Name]
		switch {
		case c.isEvacuated(m.DataCentre):
		case m.order != nil:
			if m.order.pool != "" && (w == nil || w.Service == spare || !c.inService(w)) {
				n++
			}
		case m.transferTo != "":
			n++
		case m.Pool == spare && m.State == platform.MachineUp && m.missedLists == 0 && m.drainingSince.IsZero():
			n++
		}
	}
	return n
}

func (c *Core) logDivision(why string, hosts, wanted int, plan []demand) {
	firstWant, short := 0, 0
	for i := range plan {
		firstWant += plan[i].firstWant
		if plan[i].short() {
			short++
		}
	}
	c.emit(LogLine{What: "hosts divided", Why: why, Fields: []any{
		"division", c.balance.division.number, "hosts", hosts, "want", wanted, "first_want", firstWant,
		"pools", len(plan), "pools_short", short, "list_age_ms", c.now.Sub(c.listedAt).Milliseconds(),
	}})
}
