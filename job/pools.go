package job

import (
	"cmp"
	"slices"
	"time"

	"amberway/platform"
)

// Figures of pools: a host in a pool costs each second about what one move
// costs, at both users.
const (
	// idleFor is how long a worker has no runs before its host goes to the
	// spare pool.
	idleFor = 2 * time.Second
	// shortFor is how long tasks wait without room before hosts are brought.
	shortFor = 100 * time.Millisecond
	// movePatience is how long a host waits for short tasks before its move.
	movePatience = 3 * time.Second
	// marginHosts is how many hosts' worth of free room each pool keeps.
	marginHosts = 1
)

// pooling is the state of the decisions on pools.
type pooling struct {
	// wanting is the processor time, in thousandths of a core, of tasks that
	// wait without room, by service.
	wanting   map[string]int64
	shortAt   map[string]time.Time
	forbidden map[kindPool]bool
}

// kindPool is a kind of machine and a pool that does not take it.
type kindPool struct {
	kind string
	pool string
}

func newPooling() pooling {
	return pooling{wanting: map[string]int64{}, shortAt: map[string]time.Time{}, forbidden: map[kindPool]bool{}}
}

// noteDemand notes what waits without room after placement.
func (c *Core) noteDemand(service string, l []candidate) {
	var wants int64
	for _, s := range l {
		if !s.Fills {
			wants += int64(s.idle) * s.MilliCores
		}
	}
	c.balance.wanting[service] = wants
}

// tendPools moves idle hosts to the spare pool and back where they are wanted.
func (c *Core) tendPools() {
	spare := c.sparePool()
	if spare == "" || c.now.Before(c.ordersAt) {
		return
	}
	for _, s := range c.config.Services {
		if s.Name == spare {
			continue
		}
		if !c.fetch(s.Name, spare) {
			c.giveBack(s.Name, spare)
		}
	}
}

func (c *Core) sparePool() string {
	for _, s := range c.config.Services {
		if s.Spare {
			return s.Name
		}
	}
	return ""
}

// fetch brings hosts to a pool that is short. It reports whether the pool is.
func (c *Core) fetch(service, spare string) bool {
	p := &c.balance
	wants := p.wanting[service]
	if wants <= 0 {
		delete(p.shortAt, service)
		return false
	}
	if p.shortAt[service].IsZero() {
		p.shortAt[service] = c.now
	}
	if c.now.Sub(p.shortAt[service]) < shortFor {
		return true
	}
	wants -= c.coming(service)
	for _, m := range c.spares(service, spare) {
		if wants <= 0 {
			break
		}
		wants -= m.Capacity.MilliCores
		c.move(m, service)
	}
	return true
}

// coming is the processor time of the hosts on their way to the pool.
func (c *Core) coming(service string) int64 {
	var n int64
	for _, m := range c.byName {
		if m.order != nil && m.order.pool == service {
			n += m.Capacity.MilliCores
		}
	}
	return n
}

func (c *Core) spares(service, spare string) []*machine {
	var l []*machine
	for _, m := range c.byName {
		if m.Pool == spare && m.order == nil && m.State == platform.MachineUp && !c.now.Before(m.retryAt) &&
			!c.balance.forbidden[kindPool{m.Kind(), service}] && !c.inWave(m) {
			l = append(l, m)
		}
	}
	slices.SortFunc(l, func(a, b *machine) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// inWave reports whether the machine is about to be maintained.
func (c *Core) inWave(m *machine) bool {
	return !m.emptyingSince.IsZero()
}

func (c *Core) move(m *machine, pool string) {
	m.order = &machineOrder{pool: pool, sentAt: c.now, worker: m.Worker}
	c.do(Note{What: "move", Inputs: []any{"machine", m.Name, "from", m.Pool, "to", pool, "wanting", c.balance.wanting[pool]}})
	c.send(m)
}

// giveBack sends one idle host of the pool to the spare pool, if the others
// have room to spare.
func (c *Core) giveBack(service, spare string) {
	l := c.idleMachines(service)
	if len(l) == 0 {
		return
	}
	var free int64
	for _, w := range c.pools[service] {
		if w.takes(c.now) {
			free += w.Capacity.MilliCores - w.used.MilliCores
		}
	}
	for _, m := range l {
		w := c.workerOf(m)
		free -= w.Capacity.MilliCores - w.used.MilliCores
		if free < marginHosts*w.Capacity.MilliCores {
			return
		}
		w.leaving = true
		c.move(m, spare)
	}
}

// idleMachines returns the machines of a pool that have long been without runs.
func (c *Core) idleMachines(service string) []*machine {
	var l []*machine
	for _, m := range c.byName {
		if m.Pool != service || m.order != nil || m.State != platform.MachineUp || c.now.Before(m.retryAt) || c.inWave(m) {
			continue
		}
		w := c.workerOf(m)
		if w == nil || w.leaving || w.Draining || !w.met || len(w.runs) > 0 || c.now.Sub(w.idleSince) < idleFor {
			continue
		}
		l = append(l, m)
	}
	slices.SortFunc(l, func(a, b *machine) int { return cmp.Compare(b.Name, a.Name) })
	return l
}
