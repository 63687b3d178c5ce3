package fleet

import (
	"slices"

	"amberway/platform"
)

// admit gives a row to each host that a pool selects and that has none.
func (p *planner) admit() {
	for _, h := range p.sorted() {
		if _, ok := p.out.Record.Hosts[h.Name]; ok {
			continue
		}
		n := p.pools.PoolOf(h.Labels)
		if n == "" || !h.Live || h.Leaving {
			continue
		}
		if !p.within(n, h) {
			p.out.Blocked[h.Name] = "the quota of the team of pool " + n + " is used up"
			continue
		}
		p.charge(n, h)
		w := Row{Pool: n, State: InService, Term: 1}
		p.set(h.Name, w)
		p.tallies[n].gain(h.Rack)
	}
}

// within reports whether the team of the pool may have one more host.
func (p *planner) within(pool string, h platform.Host) bool {
	o, _ := p.Document.Pool(pool)
	q := p.teams[o.Team]
	if q == nil {
		q = &quota{}
	}
	for _, t := range p.Document.Teams {
		if t.Name != o.Team {
			continue
		}
		if t.Hosts > 0 && q.hosts+1 > t.Hosts {
			return false
		}
		return t.Accelerators == 0 || q.accelerators+h.Accelerators <= t.Accelerators
	}
	return true
}

// charge counts a host towards the quota of the pool's team.
func (p *planner) charge(pool string, h platform.Host) {
	o, _ := p.Document.Pool(pool)
	q, ok := p.teams[o.Team]
	if !ok {
		q = &quota{}
		p.teams[o.Team] = q
	}
	q.hosts++
	q.accelerators += h.Accelerators
}

type quota struct {
	hosts        int
	accelerators int
}

func (p *planner) sorted() []platform.Host {
	l := slices.Clone(p.List.Hosts)
	slices.SortFunc(l, func(a, b platform.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return l
}

// move drains each host that its pool does not select any more.
func (p *planner) move() {
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
				p.set(n, w)
			}
		case Rebooting, Away:
			// It moves once it is back in service.
		}
	}
}

// settle puts a drained host into the pool that selects it now, or lets it go.
func (p *planner) settle(name string, w Row) {
	h, ok := p.listed[name]
	if p.stale || !ok {
		return
	}
	to := p.pools.PoolOf(h.Labels)
	if to == "" {
		p.drop(name)
		return
	}
	if to != w.Pool && !p.within(to, h) {
		p.out.Blocked[name] = "the quota of the team of pool " + to + " is used up"
		return
	}
	w.Pool = to
	w.Moving = false
	p.back(name, w)
}
