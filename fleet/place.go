package fleet

import (
	"cmp"
	"fmt"
	"slices"
)

// Resources are what a worker has or a job needs.
type Resources struct {
	Processors   int
	MemoryBytes  int64
	Accelerators int
}

func (r Resources) fits(need Resources) bool {
	return need.Processors <= r.Processors && need.MemoryBytes <= r.MemoryBytes && need.Accelerators <= r.Accelerators
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.MemoryBytes - o.MemoryBytes, r.Accelerators - o.Accelerators}
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.MemoryBytes + o.MemoryBytes, r.Accelerators + o.Accelerators}
}

// JobSpec is one job that has to be placed on a number of workers.
type JobSpec struct {
	// Name is the service and the job, with a slash between.
	Name     string
	Replicas int
	Need     Resources
}

// Worker is one host that may hold jobs.
type Worker struct {
	Name string
	Rack string
	Has  Resources
}

// Placement gives the hosts of each job, in order.
type Placement map[string][]string

// PlaceInput is what a placement is made from.
type PlaceInput struct {
	Jobs    []JobSpec
	Workers []Worker
	Current Placement
	// MoveWeight is the cost of one moved job and BufferWeight that of one
	// worker that holds none.
	MoveWeight   float64
	BufferWeight float64
}

// PlaceOutput is what a placement comes to.
type PlaceOutput struct {
	Placement Placement
	// Moves counts jobs that left a worker and began on another.
	Moves int
	// Used counts the workers that hold a job.
	Used int
	// Unplaced says for each job that lacks replicas why it does.
	Unplaced map[string]string
}

// bench is a worker in the making of a placement.
type bench struct {
	Worker
	free Resources
	jobs map[string]bool
}

// placer is one placement in the making.
type placer struct {
	PlaceInput
	benches map[string]*bench
	names   []string
	needs   map[string]Resources
	// racks counts the replicas of each job in each rack.
	racks map[string]map[string]int
	out   PlaceOutput
}

// Place keeps what still fits, adds what is missing with each job spread over
// racks, and moves jobs off a worker only where that is worth more than the
// moves cost.
func Place(in PlaceInput) PlaceOutput {
	p := &placer{
		PlaceInput: in, benches: map[string]*bench{}, needs: map[string]Resources{},
		racks: map[string]map[string]int{}, out: PlaceOutput{Unplaced: map[string]string{}},
	}
	for _, w := range in.Workers {
		p.benches[w.Name] = &bench{Worker: w, free: w.Has, jobs: map[string]bool{}}
		p.names = append(p.names, w.Name)
	}
	slices.Sort(p.names)
	jobs := p.ordered()
	for _, j := range jobs {
		p.keep(j)
	}
	for _, j := range jobs {
		p.fill(j)
	}
	p.pack()
	p.finish()
	return p.out
}

// ordered returns the jobs, the largest first, as they are the hardest to
// place.
func (p *placer) ordered() []JobSpec {
	l := slices.Clone(p.Jobs)
	for _, j := range l {
		p.needs[j.Name] = j.Need
		p.racks[j.Name] = map[string]int{}
	}
	slices.SortFunc(l, func(a, b JobSpec) int {
		return cmp.Or(
			cmp.Compare(b.Need.Accelerators, a.Need.Accelerators),
			cmp.Compare(b.Need.Processors, a.Need.Processors),
			cmp.Compare(b.Need.MemoryBytes, a.Need.MemoryBytes),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return l
}

// keep leaves the job on the workers that still have room for it.
func (p *placer) keep(j JobSpec) {
	n := 0
	for _, h := range p.Current[j.Name] {
		b, ok := p.benches[h]
		if ok && n < j.Replicas && b.free.fits(j.Need) && !b.jobs[j.Name] {
			p.put(b, j.Name)
			n++
		}
	}
}

func (p *placer) put(b *bench, job string) {
	b.jobs[job] = true
	b.free = b.free.minus(p.needs[job])
	p.racks[job][b.Rack]++
}

func (p *placer) take(b *bench, job string) {
	delete(b.jobs, job)
	b.free = b.free.plus(p.needs[job])
	p.racks[job][b.Rack]--
}

// fill adds the replicas that are missing.
func (p *placer) fill(j JobSpec) {
	n := 0
	for _, c := range p.racks[j.Name] {
		n += c
	}
	for ; n < j.Replicas; n++ {
		b := p.best(j.Name, func(*bench) bool { return true })
		if b == nil {
			p.out.Unplaced[j.Name] = p.reason(j, n)
			return
		}
		p.put(b, j.Name)
	}
}

// best returns the worker for one more replica: one in the rack with the fewest
// of them, and among those a full one where idle workers cost more than moves,
// else an empty one.
func (p *placer) best(job string, may func(*bench) bool) *bench {
	var best *bench
	for _, n := range p.names {
		b := p.benches[n]
		if b.jobs[job] || !b.free.fits(p.needs[job]) || !may(b) {
			continue
		}
		if best == nil || p.better(job, b, best) {
			best = b
		}
	}
	return best
}

func (p *placer) better(job string, a, b *bench) bool {
	if c := cmp.Compare(p.racks[job][a.Rack], p.racks[job][b.Rack]); c != 0 {
		return c < 0
	}
	c := cmp.Compare(a.free.Processors, b.free.Processors)
	if p.packs() {
		return c < 0
	}
	return c > 0
}

// packs reports whether idle workers cost more than moved jobs.
func (p *placer) packs() bool {
	return p.BufferWeight > p.MoveWeight
}

// reason says why a job cannot have another replica.
func (p *placer) reason(j JobSpec, placed int) string {
	able := 0
	for _, n := range p.names {
		if p.benches[n].Has.fits(j.Need) {
			able++
		}
	}
	if able == 0 {
		return fmt.Sprintf("no worker has %d processors, %d bytes of memory and %d accelerators",
			j.Need.Processors, j.Need.MemoryBytes, j.Need.Accelerators)
	}
	return fmt.Sprintf("%d of %d replicas placed: %d workers are large enough, and none of them has room", placed, j.Replicas, able)
}

// finish collects the placement and counts.
func (p *placer) finish() {
	p.out.Placement = Placement{}
	for _, n := range p.names {
		b := p.benches[n]
		if len(b.jobs) > 0 {
			p.out.Used++
		}
		for j := range b.jobs {
			p.out.Placement[j] = append(p.out.Placement[j], n)
		}
	}
	for j, old := range p.Current {
		left, began := 0, 0
		for _, h := range old {
			if !slices.Contains(p.out.Placement[j], h) {
				left++
			}
		}
		for _, h := range p.out.Placement[j] {
			if !slices.Contains(old, h) {
				began++
			}
		}
		p.out.Moves += min(left, began)
	}
}
