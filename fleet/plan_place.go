package fleet

import (
	"maps"
	"slices"

	"amberway/config"
	"amberway/platform"
)

// JobName returns the name of a service's job in a Placement.
func JobName(service, job string) string {
	return service + "/" + job
}

// placeJobs places the jobs of each pool on its available hosts. The jobs of a host
// that starts to drain move in the same write of the record.
func (p *planner) placeJobs() {
	next := Placement{}
	unplaced := map[string]string{}
	moves := 0
	workers := p.workers()
	for pool, jobs := range jobsByPool(p.Document) {
		r := Place(PlaceInput{
			Jobs:         jobs,
			Workers:      workers[pool],
			Current:      placementOf(jobs, p.Record.Placement),
			MoveWeight:   p.Document.Placement.MoveWeight,
			BufferWeight: p.Document.Placement.BufferWeight,
		})
		maps.Copy(next, r.Placement)
		maps.Copy(unplaced, r.Unplaced)
		moves += r.Moves
	}
	if maps.EqualFunc(next, p.Record.Placement, slices.Equal) && maps.Equal(unplaced, p.Record.Unplaced) {
		return
	}
	p.out.Record.Placement = next
	p.out.Record.Unplaced = unplaced
	p.out.Record.Moves += int64(moves)
	p.out.Changed = true
}

// jobsByPool returns the jobs of the services of each pool. Jobs without a number of
// replicas run on every host of the pool and are not placed.
func jobsByPool(d *config.Document) map[string][]JobSpec {
	l := map[string][]JobSpec{}
	for _, s := range d.Services {
		for _, j := range s.Jobs {
			if j.Replicas == 0 {
				continue
			}
			need := Resources{Processors: j.Processors, MemoryBytes: j.MemoryBytes, Accelerators: j.Accelerators}
			l[s.Pool] = append(l[s.Pool], JobSpec{Name: JobName(s.Name, j.Name), Replicas: j.Replicas, Need: need})
		}
	}
	return l
}

// placementOf returns the entries of the jobs in a placement.
func placementOf(l []JobSpec, all Placement) Placement {
	c := Placement{}
	for _, j := range l {
		if h, ok := all[j.Name]; ok {
			c[j.Name] = h
		}
	}
	return c
}

// workers returns the hosts of each pool that are available after this plan.
func (p *planner) workers() map[string][]Worker {
	l := map[string][]Worker{}
	for n, w := range p.out.Record.Hosts {
		h, ok := p.listed[n]
		if ok && available(w, h) {
			l[w.Pool] = append(l[w.Pool], workerOf(h))
		}
	}
	return l
}

func workerOf(h platform.Host) Worker {
	return Worker{
		Name: h.Name, Rack: h.Rack,
		Capacity: Resources{Processors: h.Processors, MemoryBytes: h.MemoryBytes, Accelerators: h.Accelerators},
	}
}
