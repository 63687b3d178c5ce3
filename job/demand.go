package job

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amberway/platform"
)

// recordArrival counts the work of a job that came at the time. Of the jobs that an
// owner takes over most came long ago, and say nothing of what comes now; work of a team
// that is beyond its cap does not run before other work of it has ended.
func (c *Core) recordArrival(j *job, came time.Time) {
	if !j.team.mayUse(j.Steps[0].Resources, 1) {
		return
	}
	work := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		if !s.Lasting && !s.BestEffort {
			work += float64(s.Count) * float64(s.MilliCores) / 1000 * float64(c.expectedRunTime(j, s).Milliseconds())
		}
	}
	a := c.balance.arrivals[j.queue.Service]
	if a == nil {
		a = newArrivals()
		c.balance.arrivals[j.queue.Service] = a
	}
	a.add(work, came, c.now)
}

// recordDemand notes what waits without room after placement. What waits for the cap of its
// team needs no hosts.
func (c *Core) recordDemand(service string, l []candidate) {
	var r platform.Resources
	c.teams.startCount()
	for _, s := range l {
		if s.idle == 0 {
			continue
		}
		t := s.of.job.team
		r = r.Plus(workerDemand(s.Step), t.limitToCap(t.usage(), s.Resources, int64(s.idle)))
	}
	c.balance.unplaced[service] = r
}

// demand is how many hosts a pool wants and has.
type demand struct {
	service string
	want    int
	// have counts the hosts that take tasks or are on their way.
	have int
	// hasUnplaced says that tasks wait without room.
	hasUnplaced bool
}

// logPools logs now and then what each pool wants and has.
func (c *Core) logPools(plan []demand) {
	if c.now.Before(c.balance.logAt) {
		return
	}
	c.balance.logAt = c.now.Add(poolLogInterval)
	for _, d := range plan {
		var used, room platform.Resources
		for _, w := range c.pools[d.service] {
			used.MilliCores += w.used.MilliCores
			used.MemoryMB += w.used.MemoryMB
			room.MilliCores += w.Capacity.MilliCores
			room.MemoryMB += w.Capacity.MemoryMB
		}
		wait := c.balance.unplaced[d.service]
		c.emit(LogLine{What: "pool", Fields: []any{
			"service", d.service, "want", d.want, "have", d.have,
			"cores_used", used.MilliCores / 1000, "cores", room.MilliCores / 1000, "cores_waiting", wait.MilliCores / 1000,
			"mb_used", used.MemoryMB, "mb", room.MemoryMB,
		}})
	}
}

// poolDemands returns what each pool wants and has, the shortest first.
func (c *Core) poolDemands(spare string) []demand {
	var l []demand
	coming := c.inboundHosts()
	for _, s := range c.config.Services {
		if s.Name == spare {
			continue
		}
		d := demand{service: s.Name, want: c.wantedHosts(s.Name), have: coming[s.Name]}
		for _, w := range c.pools[s.Name] {
			if c.inService(w) {
				d.have++
			}
		}
		d.hasUnplaced = c.balance.unplaced[s.Name].MilliCores > 0
		l = append(l, d)
	}
	slices.SortFunc(l, func(a, b demand) int {
		return cmp.Or(cmp.Compare(b.want-b.have, a.want-a.have), cmp.Compare(a.service, b.service))
	})
	return l
}

// inService reports whether the worker is one that its pool has: it takes tasks, or
// will once it has answered.
func (c *Core) inService(w *worker) bool {
	ends := w.Draining || w.leaving || w.stale || w.tainted
	return !ends && w.missedPolls < maxMissedPolls && c.listedByHost[w.Host] == w
}

// wantedHosts returns how many hosts a pool needs for what runs, waits and comes in.
func (c *Core) wantedHosts(service string) int {
	need := c.balance.unplaced[service]
	host := platform.Resources{}
	hosts := 0
	for _, w := range c.pools[service] {
		need.MilliCores += w.used.MilliCores
		need.MemoryMB += w.used.MemoryMB
		host.MilliCores = max(host.MilliCores, w.Capacity.MilliCores)
		host.MemoryMB = max(host.MemoryMB, w.Capacity.MemoryMB)
	}
	if host.MilliCores == 0 {
		host = c.anyHostCapacity()
	}
	if host.MilliCores == 0 || host.MemoryMB == 0 {
		return 0
	}
	soon := c.upcomingDemand(service, c.now.Add(moveDuration))
	need.MilliCores = max(need.MilliCores, soon.MilliCores)
	need.MemoryMB = max(need.MemoryMB, soon.MemoryMB)
	cores := float64(need.MilliCores)
	if a := c.balance.arrivals[service]; a != nil {
		cores = max(cores, a.forecast(c.now)*1000+float64(c.lastingCores(service)))
	}
	share := max(cores/float64(host.MilliCores), float64(need.MemoryMB)/float64(host.MemoryMB))
	if share > 0 {
		hosts = int(math.Ceil(share*(1+poolHeadroom) + freeHostFraction))
	}
	return max(hosts, c.hostsForSpread(service))
}

// lastingCores is what the lasting tasks of a pool take.
func (c *Core) lastingCores(service string) int64 {
	var n int64
	for _, w := range c.pools[service] {
		for _, r := range w.runs {
			if r.task.of.Lasting && !r.task.of.BestEffort {
				n += r.task.of.MilliCores
			}
		}
	}
	return n
}

// hostsForSpread returns how many hosts the bounds on tasks of one step on one worker
// ask for. Jobs that may not run yet ask for none.
func (c *Core) hostsForSpread(service string) int {
	most := 0
	for _, j := range c.active {
		if j.queue.Service != service || !c.inheritedRunsKnown(j) {
			continue
		}
		for _, n := range j.instances {
			for _, s := range n.steps {
				if s.MaxPerWorker > 0 && s.remaining > 0 && s.unblocked() {
					most = max(most, (s.remaining+s.MaxPerWorker-1)/s.MaxPerWorker)
				}
			}
		}
	}
	return most
}

// anyHostCapacity returns the capacity of some machine, for a pool that has none.
func (c *Core) anyHostCapacity() platform.Resources {
	for _, m := range c.machinesByName {
		return m.Capacity
	}
	return platform.Resources{}
}

// inboundHosts counts the hosts on their way to each pool.
func (c *Core) inboundHosts() map[string]int {
	n := map[string]int{}
	for _, m := range c.machinesByName {
		switch {
		case m.order == nil && m.transferTo != "":
			n[m.transferTo]++
		case m.order != nil && m.order.pool != "" && c.listedByHost[m.Name] == nil:
			n[m.order.pool]++
		}
	}
	return n
}
