package fleet

import (
	"slices"

	"amberway/platform"
)

// addHosts adds each live host that a pool selects and the record does not have yet.
func (p *planner) addHosts() {
	for _, h := range p.sortedHosts() {
		if _, ok := p.out.Record.Hosts[h.Name]; ok {
			continue
		}
		n := p.pools.PoolOf(h.Labels)
		if n == "" || !h.Live || h.Leaving {
			continue
		}
		if !p.withinQuota(n, h) {
			p.out.Blocked[h.Name] = "the quota of the team of pool " + n + " is used up"
			continue
		}
		p.addUsage(n, h)
		w := HostStatus{Pool: n, State: InService, Term: 1}
		p.setHost(h.Name, w)
		p.capacities[n].add(h.Rack)
	}
}

// withinQuota reports whether the quota of the pool's team allows the host.
func (p *planner) withinQuota(pool string, h platform.Host) bool {
	o, _ := p.Document.Pool(pool)
	q := p.quotaUsage[o.Team]
	if q == nil {
		q = &usage{}
	}
	for _, t := range p.Document.Teams {
		if t.Name != o.Team {
			continue
		}
		if t.MaxHosts > 0 && q.hosts+1 > t.MaxHosts {
			return false
		}
		return t.MaxAccelerators == 0 || q.accelerators+h.Accelerators <= t.MaxAccelerators
	}
	return true
}

// addUsage counts the host towards the quota of the pool's team.
func (p *planner) addUsage(pool string, h platform.Host) {
	o, _ := p.Document.Pool(pool)
	q, ok := p.quotaUsage[o.Team]
	if !ok {
		q = &usage{}
		p.quotaUsage[o.Team] = q
	}
	q.hosts++
	q.accelerators += h.Accelerators
}

type usage struct {
	hosts        int
	accelerators int
}

func (p *planner) sortedHosts() []platform.Host {
	l := slices.Clone(p.List.Hosts)
	slices.SortFunc(l, func(a, b platform.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return l
}

// drainForMove drains each host that its pool no longer selects.
func (p *planner) drainForMove() {
	for _, n := range p.out.Record.Names() {
		w := p.out.Record.Hosts[n]
		h, ok := p.listed[n]
		if !ok || p.pools.PoolOf(h.Labels) == w.Pool {
			continue
		}
		switch w.State {
		case InService:
			w.Moving = true
			p.drain(n, w)
		case Draining, Drained:
			if !w.Moving {
				w.Moving = true
				p.setHost(n, w)
			}
		case Rebooting, Overdue:
			// The host moves once it is back in service.
		}
	}
}

// finishMove assigns a drained host to the pool that now selects it. If no pool does,
// it removes the host from the record.
func (p *planner) finishMove(name string, w HostStatus) {
	h, ok := p.listed[name]
	if p.listStale || !ok {
		return
	}
	to := p.pools.PoolOf(h.Labels)
	if to == "" {
		p.removeHost(name)
		return
	}
	if to != w.Pool && !p.withinQuota(to, h) {
		p.out.Blocked[name] = "the quota of the team of pool " + to + " is used up"
		return
	}
	w.Pool = to
	w.Moving = false
	p.returnToService(name, w)
}
