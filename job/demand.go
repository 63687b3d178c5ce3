package job

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amberway/platform"
)

// recordArrival adds the work of a job to the arrivals of its service. The time of arrival
// counts, since most jobs that an owner takes over arrived long ago and say nothing about
// the present load. Work of a team at its cap is left out: it cannot run before other work
// of the team has ended.
func (c *Core) recordArrival(j *job, arrivedAt time.Time) {
	if !j.team.mayUse(j.Steps[0].Resources, 1) {
		return
	}
	work := c.expectedWork(j)
	addArrival(c.balance.arrivals, j.queue.Service, work, arrivedAt, c.now)
	if !j.overShare {
		addArrival(c.balance.firstArrivals, j.queue.Service, work, arrivedAt, c.now)
	}
}

// addArrival adds the work of a job to the arrivals of its service.
func addArrival(byService map[string]*arrivals, service string, work float64, arrivedAt, now time.Time) {
	a := byService[service]
	if a == nil {
		a = newArrivals()
		byService[service] = a
	}
	a.add(work, arrivedAt, now)
}

// recordDemand records the demand of tasks that found no room in a placement pass. Tasks
// that wait for their team's cap need no hosts and are left out.
func (c *Core) recordDemand(service string, l []candidate) {
	var r platform.Resources
	c.teams.startCount()
	for _, s := range l {
		if s.idle == 0 {
			continue
		}
		t := s.instance.job.team
		r = r.AddTimes(workerDemand(s.Step), t.limitToCap(t.usage(), s.Resources, int64(s.idle)))
	}
	c.balance.unplaced[service] = r
}

// demand compares the number of hosts that a pool needs with the number it has.
type demand struct {
	service string
	want    int
	// have counts the hosts that are in service or on their way to the pool.
	have int
	// hasUnplaced says that tasks are waiting for room on a worker.
	hasUnplaced bool
	// firstWant counts the hosts that it wants for first-class work, inTime those for first-class
	// work that would be in time on a host that is moved now.
	firstWant, inTime int
	// inService counts the hosts that are in service, lasting those that run lasting tasks.
	inService, lasting int
	// allotted is the number of hosts that the pool is granted: all that it wants, unless hosts
	// are short.
	allotted int
	// divided says that hosts are short and divided among the pools.
	divided bool
	// idle holds its idle hosts that may be moved, and drains those that may be drained, once a
	// plan has looked for them (idleKnown, drainsKnown).
	idle, drains           []*machine
	idleKnown, drainsKnown bool
}

// short reports whether the pool wants more hosts than it is granted.
func (d *demand) short() bool {
	return d.want > d.allotted
}

// logPools logs the demand and load of each pool once per poolLogInterval.
func (c *Core) logPools(plan []demand) {
	if c.now.Before(c.balance.logAt) {
		return
	}
	c.balance.logAt = c.now.Add(poolLogInterval)
	for _, d := range plan {
		var used, capacity platform.Resources
		for _, w := range c.pools[d.service] {
			used.MilliCores += w.used.MilliCores
			used.MemoryMB += w.used.MemoryMB
			capacity.MilliCores += w.Capacity.MilliCores
			capacity.MemoryMB += w.Capacity.MemoryMB
		}
		waiting := c.balance.unplaced[d.service]
		c.emit(LogLine{What: "pool", Fields: []any{
			"service", d.service, "want", d.want, "have", d.have, "first_want", d.firstWant, "allotted", d.allotted,
			"cores_used", used.MilliCores / 1000, "cores", capacity.MilliCores / 1000, "cores_waiting", waiting.MilliCores / 1000,
			"mb_used", used.MemoryMB, "mb", capacity.MemoryMB,
		}})
		c.logHeldStarts(d.service, waiting)
	}
}

// poolDemands returns the demand of every pool but the spare pool, the largest shortage
// first.
func (c *Core) poolDemands(spare string) []demand {
	var l []demand
	inbound := c.inboundHosts()
	for _, s := range c.config.Services {
		if s.Name == spare {
			continue
		}
		d := demand{service: s.Name, want: c.wantedHosts(s.Name), have: inbound[s.Name]}
		for _, w := range c.pools[s.Name] {
			if !c.inService(w) {
				continue
			}
			d.have++
			d.inService++
			if w.hasLasting() {
				d.lasting++
			}
		}
		d.allotted = d.want
		c.addFirstWant(&d)
		d.hasUnplaced = c.balance.unplaced[s.Name].MilliCores > 0
		l = append(l, d)
	}
	sortDemands(l)
	return l
}

// sortDemands sorts the pool first that lacks most of the hosts that it is granted.
func sortDemands(l []demand) {
	slices.SortFunc(l, func(a, b demand) int {
		return cmp.Or(cmp.Compare(b.allotted-b.have, a.allotted-a.have), cmp.Compare(a.service, b.service))
	})
}

// inService reports whether the worker counts as a host of its pool: it accepts starts, or
// will do so once it has answered. Hosts in evacuated data centres do not count.
func (c *Core) inService(w *worker) bool {
	unusable := w.Draining || w.cordoned || w.stale || w.tainted() || w.evacuated
	return !unusable && w.missedPolls < maxMissedPolls && c.listedByHost[w.Host] == w
}

// wantedHosts returns how many hosts a pool needs for its running, waiting and expected
// tasks.
func (c *Core) wantedHosts(service string) int {
	need := c.balance.unplaced[service]
	for _, w := range c.pools[service] {
		if !w.evacuated {
			need = need.AddTimes(w.used, 1)
		}
	}
	upcoming := c.upcomingDemand(service, c.now.Add(moveDuration))
	need.MilliCores = max(need.MilliCores, upcoming.MilliCores)
	need.MemoryMB = max(need.MemoryMB, upcoming.MemoryMB)
	return c.hostsFor(service, need, c.balance.arrivals, c.hostsForSpread(service))
}

// hostsFor returns how many hosts a pool needs for the need and the forecast of the arrivals, with
// headroom, but at least the given number if its hosts are known.
func (c *Core) hostsFor(service string, need platform.Resources, byService map[string]*arrivals, least int) int {
	host := c.hostCapacity(service)
	if host.MilliCores == 0 || host.MemoryMB == 0 {
		return 0
	}
	cores := float64(need.MilliCores)
	if a := byService[service]; a != nil {
		cores = max(cores, a.forecast(c.now)*1000+float64(c.lastingCores(service)))
	}
	hosts := 0
	fullHosts := max(cores/float64(host.MilliCores), float64(need.MemoryMB)/float64(host.MemoryMB))
	if fullHosts > 0 {
		hosts = int(math.Ceil(fullHosts*(1+poolHeadroom) + freeHostFraction))
	}
	return max(hosts, least)
}

// hostCapacity returns the largest capacities of the hosts of a pool, or the capacity of any host
// if the pool has none.
func (c *Core) hostCapacity(service string) platform.Resources {
	host := platform.Resources{}
	for _, w := range c.pools[service] {
		host.MilliCores = max(host.MilliCores, w.Capacity.MilliCores)
		host.MemoryMB = max(host.MemoryMB, w.Capacity.MemoryMB)
	}
	if host.MilliCores == 0 {
		host = c.anyHostCapacity()
	}
	return host
}

// addFirstWant adds how many hosts the pool needs for its first-class work.
func (c *Core) addFirstWant(d *demand) {
	need := c.firstClassOf(d.service, c.now.Add(moveDuration))
	now := platform.Resources{MilliCores: max(need.now.MilliCores, need.soon.MilliCores), MemoryMB: max(need.now.MemoryMB, need.soon.MemoryMB)}
	d.firstWant = min(d.want, c.hostsFor(d.service, now, c.balance.firstArrivals, need.spread))
	need.inTime.MilliCores = max(need.inTime.MilliCores, c.coresInTime(d, need))
	d.inTime = min(d.firstWant, c.hostsFor(d.service, need.inTime, c.balance.firstArrivals, need.spreadInTime))
}

// coresInTime returns the cores, in thousandths, that first-class work can use in time when a host
// that is moved now runs tasks: those for the work that arrives, and those that end within
// backlogTime what waits by then.
func (c *Core) coresInTime(d *demand, need firstClass) int64 {
	const move, backlogTime = float64(moveDuration) / float64(time.Second), 1.0
	arriving := 0.0
	if a := c.balance.firstArrivals[d.service]; a != nil {
		arriving = a.forecast(c.now)
	}
	lasting := c.lastingCores(d.service)
	capacity := float64(int64(d.have)*c.hostCapacity(d.service).MilliCores-lasting) / 1000
	backlog := min(need.waiting+(arriving-capacity)*move, need.waitingInTime+arriving*move)
	return lasting + int64(1000*(arriving+max(0, backlog)/backlogTime))
}

// lastingCores returns the cores, in thousandths, that lasting tasks use in a pool. They
// are not part of the arrivals.
func (c *Core) lastingCores(service string) int64 {
	var n int64
	for _, w := range c.pools[service] {
		for _, r := range w.runs {
			if r.task.step.Lasting && !w.evacuated && !r.task.step.BestEffort {
				n += r.task.step.MilliCores
			}
		}
	}
	return n
}

// hostsForSpread returns how many hosts a pool needs so that every unblocked step can keep
// to its MaxPerWorker. Jobs that may not run yet, and tasks that run in evacuated data centres,
// are left out.
func (c *Core) hostsForSpread(service string) int {
	most := 0
	for j := range c.listOf(service).jobs.All() {
		if !c.inheritedRunsKnown(j) {
			continue
		}
		for _, n := range j.instances {
			for _, s := range n.steps {
				if s.MaxPerWorker > 0 && s.remaining > 0 && s.unblocked() {
					most = max(most, (c.remainingOutside(s)+s.MaxPerWorker-1)/s.MaxPerWorker)
				}
			}
		}
	}
	return most
}

// anyHostCapacity returns the capacity of one of the machines, as an estimate for a pool
// without workers.
func (c *Core) anyHostCapacity() platform.Resources {
	for m := range c.machinesByAge.All() {
		return m.Capacity
	}
	return platform.Resources{}
}

// inboundHosts counts the hosts that are on their way to each pool.
func (c *Core) inboundHosts() map[string]int {
	n := map[string]int{}
	for _, m := range c.machinesByName {
		switch {
		case c.isEvacuated(m.DataCentre):
		case m.order == nil && m.transferTo != "":
			n[m.transferTo]++
		case m.order != nil && m.order.pool != "" && c.listedByHost[m.Name] == nil:
			n[m.order.pool]++
		}
	}
	return n
}
