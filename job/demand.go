package job

import (
	"cmp"
	"math"
	"slices"

	"amberway/platform"
)

// noteArrival counts the work of a job that has come now.
func (c *Core) noteArrival(j *job) {
	c.sizeUp(j)
	if j.arrival != nil {
		c.arrivalsOf(j.arrival.Service).add(j.arrival.Work, c.now, c.now)
	}
}

// sizeUp notes the work that the job brings. Lasting tasks, and those that fill,
// bring none.
func (c *Core) sizeUp(j *job) {
	work := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		if !s.Lasting && !s.Fills {
			work += float64(s.Count) * float64(s.MilliCores) / 1000 * float64(c.expect(j, s).Milliseconds())
		}
	}
	if work > 0 {
		j.arrival = &Arrival{Service: j.queue.Service, CameAt: j.CameAt, Work: work}
	}
}

func (c *Core) arrivalsOf(service string) *arrivals {
	a := c.balance.arrivals[service]
	if a == nil {
		a = newArrivals()
		c.balance.arrivals[service] = a
	}
	return a
}

// replay takes in the work that came before this owner, in the order in which it
// came, so that the owner knows what earlier ones had learned of the load.
func (c *Core) replay(l []*Arrival) {
	slices.SortFunc(l, func(a, b *Arrival) int { return a.CameAt.Compare(b.CameAt) })
	if len(l) == 0 {
		return
	}
	at := latest(l[0].CameAt, c.now.Add(-historySteps*historyStep))
	for ; at.Before(c.now); at = at.Add(planEvery) {
		for len(l) > 0 && !l[0].CameAt.After(at) {
			c.arrivalsOf(l[0].Service).add(l[0].Work, l[0].CameAt, at)
			l = l[1:]
		}
		c.balance.rotation.observe(at, c.loads(at))
	}
	for _, a := range l {
		c.arrivalsOf(a.Service).add(a.Work, c.now, c.now)
	}
}

// noteDemand notes what waits without room after placement.
func (c *Core) noteDemand(service string, l []candidate) {
	var r platform.Resources
	for _, s := range l {
		if !s.Fills {
			r.MilliCores += int64(s.idle) * s.MilliCores
		}
		r.MemoryMB += int64(s.idle) * s.MemoryMB
	}
	c.balance.waiting[service] = r
}

// demand is how many hosts a pool wants and has.
type demand struct {
	service string
	want    int
	// ahead is how many hosts it is to have since its peak is about to come, and
	// goal how many it is brought now: want first, and only then ahead.
	ahead, goal int
	// have counts the hosts that take tasks or are on their way.
	have int
	// waits says that tasks wait without room.
	waits bool
}

// keep is how many hosts the pool holds on to.
func (d *demand) keep() int {
	return max(d.want, d.ahead)
}

// borrows reports whether the pool takes hosts that have to run empty first.
func (d *demand) borrows() bool {
	return d.waits || d.ahead > d.want
}

// notePools logs now and then what each pool wants and has.
func (c *Core) notePools(plan []demand) {
	if c.now.Before(c.balance.noteAt) {
		return
	}
	c.balance.noteAt = c.now.Add(noteEvery)
	for _, d := range plan {
		var used, room platform.Resources
		for _, w := range c.pools[d.service] {
			used.MilliCores += w.used.MilliCores
			used.MemoryMB += w.used.MemoryMB
			room.MilliCores += w.Capacity.MilliCores
			room.MemoryMB += w.Capacity.MemoryMB
		}
		wait := c.balance.waiting[d.service]
		c.do(Note{What: "pool", Inputs: []any{
			"service", d.service, "want", d.want, "have", d.have,
			"cores_used", used.MilliCores / 1000, "cores", room.MilliCores / 1000, "cores_waiting", wait.MilliCores / 1000,
			"mb_used", used.MemoryMB, "mb", room.MemoryMB,
		}})
	}
}

// demands returns what each pool wants and has, the shortest first.
func (c *Core) demands(spare string) []demand {
	var l []demand
	coming := c.learnRotation()
	for _, s := range c.config.Services {
		if s.Name == spare {
			continue
		}
		d := demand{service: s.Name, want: c.wants(s.Name), have: c.coming(s.Name)}
		d.goal = d.want
		d.ahead = hostsFor(platform.Resources{MilliCores: int64(coming[s.Name] * 1000)}, c.hostOf(s.Name))
		for _, w := range c.pools[s.Name] {
			if !w.Draining && !w.leaving && !w.tainted && w.silent < silentAfter && c.byHost[w.Host] == w {
				d.have++
			}
		}
		d.waits = c.balance.waiting[s.Name].MilliCores > 0
		l = append(l, d)
	}
	slices.SortFunc(l, func(a, b demand) int {
		return cmp.Or(cmp.Compare(b.want-b.have, a.want-a.have), cmp.Compare(a.service, b.service))
	})
	return l
}

// wants returns how many hosts a pool needs for what runs, waits and comes in.
func (c *Core) wants(service string) int {
	need := c.balance.waiting[service]
	for _, w := range c.pools[service] {
		need.MilliCores += w.used.MilliCores
		need.MemoryMB += w.used.MemoryMB
	}
	if a := c.balance.arrivals[service]; a != nil {
		need.MilliCores = max(need.MilliCores, int64(a.forecast(c.now)*1000)+c.lastingCores(service))
	}
	return max(hostsFor(need, c.hostOf(service)), c.spread(service))
}

// hostOf returns the capacity of the largest host of a pool, or of some machine
// where the pool has none.
func (c *Core) hostOf(service string) platform.Resources {
	host := platform.Resources{}
	for _, w := range c.pools[service] {
		host.MilliCores = max(host.MilliCores, w.Capacity.MilliCores)
		host.MemoryMB = max(host.MemoryMB, w.Capacity.MemoryMB)
	}
	if host.MilliCores == 0 {
		return c.anyHost()
	}
	return host
}

// hostsFor returns how many such hosts the need takes, with room to spare.
func hostsFor(need, host platform.Resources) int {
	if host.MilliCores == 0 || host.MemoryMB == 0 {
		return 0
	}
	share := max(float64(need.MilliCores)/float64(host.MilliCores), float64(need.MemoryMB)/float64(host.MemoryMB))
	if share <= 0 {
		return 0
	}
	return int(math.Ceil(share*(1+roomToSpare) + nearlyFull))
}

// lastingCores is what the lasting tasks of a pool take.
func (c *Core) lastingCores(service string) int64 {
	var n int64
	for _, w := range c.pools[service] {
		for _, r := range w.runs {
			if r.task.of.Lasting && !r.task.of.Fills {
				n += r.task.of.MilliCores
			}
		}
	}
	return n
}

// spread returns how many hosts the bounds on tasks of one step on one worker
// ask for.
func (c *Core) spread(service string) int {
	most := 0
	for _, j := range c.live {
		if j.queue.Service != service {
			continue
		}
		for _, n := range j.instances {
			for _, s := range n.steps {
				if s.MaxPerWorker > 0 && s.left > 0 && s.open() {
					most = max(most, (s.left+s.MaxPerWorker-1)/s.MaxPerWorker)
				}
			}
		}
	}
	return most
}

// anyHost returns the capacity of some machine, for a pool that has none.
func (c *Core) anyHost() platform.Resources {
	for _, m := range c.byName {
		return m.Capacity
	}
	return platform.Resources{}
}

// coming counts the hosts on their way to the pool.
func (c *Core) coming(service string) int {
	n := 0
	for _, m := range c.byName {
		if m.order != nil && m.order.pool == service && c.byHost[m.Name] == nil {
			n++
		} else if m.order == nil && m.lend == service {
			n++
		}
	}
	return n
}
