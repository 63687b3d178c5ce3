package fleet

import (
	"cmp"
	"fmt"
	"slices"
)

// Resources are the capacity of a worker or the needs of one replica of a job.
type Resources struct {
	Processors   int
	MemoryBytes  int64
	Accelerators int
}

// fits reports whether the need is within r.
func (r Resources) fits(need Resources) bool {
	return need.Processors <= r.Processors && need.MemoryBytes <= r.MemoryBytes && need.Accelerators <= r.Accelerators
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.MemoryBytes - o.MemoryBytes, r.Accelerators - o.Accelerators}
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.MemoryBytes + o.MemoryBytes, r.Accelerators + o.Accelerators}
}

// JobSpec is one job whose replicas have to be placed, each on a different worker.
type JobSpec struct {
	// Name has the form service/job.
	Name     string
	Replicas int
	Need     Resources
}

// Worker is a host on which jobs may be placed.
type Worker struct {
	Name     string
	Rack     string
	Capacity Resources
}

// Placement gives the hosts of each job by job name, sorted.
type Placement map[string][]string

// PlaceInput is the input of Place.
type PlaceInput struct {
	Jobs    []JobSpec
	Workers []Worker
	Current Placement
	// MoveWeight is the cost of moving one replica. BufferWeight is the cost of
	// one worker without replicas.
	MoveWeight   float64
	BufferWeight float64
}

// PlaceOutput is the result of Place.
type PlaceOutput struct {
	Placement Placement
	// Moves counts the replicas that change their worker.
	Moves int
	// UsedWorkers counts the workers that hold a replica.
	UsedWorkers int
	// Unplaced gives the reason for each job that lacks replicas.
	Unplaced map[string]string
}

// workerState is a worker while the placement is computed.
type workerState struct {
	Worker
	free Resources
	jobs map[string]bool
}

// placer computes one placement.
type placer struct {
	PlaceInput
	states map[string]*workerState
	names  []string
	needs  map[string]Resources
	// racks counts the replicas of each job, by job name and rack.
	racks map[string]map[string]int
	out   PlaceOutput
}

// Place computes a new placement. It keeps the current replicas that still fit, adds
// the missing ones with each job spread over racks, and empties workers where an idle
// worker is worth more than the moves.
func Place(in PlaceInput) PlaceOutput {
	p := &placer{
		PlaceInput: in, states: map[string]*workerState{}, needs: map[string]Resources{},
		racks: map[string]map[string]int{}, out: PlaceOutput{Unplaced: map[string]string{}},
	}
	for _, w := range in.Workers {
		p.states[w.Name] = &workerState{Worker: w, free: w.Capacity, jobs: map[string]bool{}}
		p.names = append(p.names, w.Name)
	}
	slices.Sort(p.names)
	jobs := p.largestFirst()
	for _, j := range jobs {
		p.keepCurrent(j)
	}
	for _, j := range jobs {
		p.addMissing(j)
	}
	p.pack()
	p.buildOutput()
	return p.out
}

// largestFirst returns the jobs in descending order of size, as large jobs are the
// hardest to place. It also initialises needs and racks.
func (p *placer) largestFirst() []JobSpec {
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

// keepCurrent keeps the replicas of the job on workers that still have room.
func (p *placer) keepCurrent(j JobSpec) {
	n := 0
	for _, h := range p.Current[j.Name] {
		w, ok := p.states[h]
		if ok && n < j.Replicas && w.free.fits(j.Need) && !w.jobs[j.Name] {
			p.assign(w, j.Name)
			n++
		}
	}
}

func (p *placer) assign(w *workerState, job string) {
	w.jobs[job] = true
	w.free = w.free.minus(p.needs[job])
	p.racks[job][w.Rack]++
}

func (p *placer) unassign(w *workerState, job string) {
	delete(w.jobs, job)
	w.free = w.free.plus(p.needs[job])
	p.racks[job][w.Rack]--
}

// addMissing adds the missing replicas of the job.
func (p *placer) addMissing(j JobSpec) {
	n := 0
	for _, c := range p.racks[j.Name] {
		n += c
	}
	for ; n < j.Replicas; n++ {
		w := p.bestWorker(j.Name, func(*workerState) bool { return true })
		if w == nil {
			p.out.Unplaced[j.Name] = p.reason(j, n)
			return
		}
		p.assign(w, j.Name)
	}
}

// bestWorker returns the worker for one more replica of the job, or nil. It prefers
// the racks with the fewest replicas of the job, and in them the worker with the
// fewest free processors if packing is preferred, otherwise the one with the most.
// It considers only workers for which allowed returns true.
func (p *placer) bestWorker(job string, allowed func(*workerState) bool) *workerState {
	var best *workerState
	for _, n := range p.names {
		w := p.states[n]
		if w.jobs[job] || !w.free.fits(p.needs[job]) || !allowed(w) {
			continue
		}
		if best == nil || p.better(job, w, best) {
			best = w
		}
	}
	return best
}

func (p *placer) better(job string, a, b *workerState) bool {
	if c := cmp.Compare(p.racks[job][a.Rack], p.racks[job][b.Rack]); c != 0 {
		return c < 0
	}
	c := cmp.Compare(a.free.Processors, b.free.Processors)
	if p.prefersPacking() {
		return c < 0
	}
	return c > 0
}

// prefersPacking reports whether an idle worker costs more than a move.
func (p *placer) prefersPacking() bool {
	return p.BufferWeight > p.MoveWeight
}

// reason returns why no further replica of the job can be placed.
func (p *placer) reason(j JobSpec, placed int) string {
	able := 0
	for _, n := range p.names {
		if p.states[n].Capacity.fits(j.Need) {
			able++
		}
	}
	if able == 0 {
		return fmt.Sprintf("no worker has %d processors, %d bytes of memory and %d accelerators",
			j.Need.Processors, j.Need.MemoryBytes, j.Need.Accelerators)
	}
	return fmt.Sprintf("%d of %d replicas placed: %d workers are large enough, and none of them has room", placed, j.Replicas, able)
}

// buildOutput collects the placement and counts workers and moves.
func (p *placer) buildOutput() {
	p.out.Placement = Placement{}
	for _, n := range p.names {
		w := p.states[n]
		if len(w.jobs) > 0 {
			p.out.UsedWorkers++
		}
		for j := range w.jobs {
			p.out.Placement[j] = append(p.out.Placement[j], n)
		}
	}
	for j, old := range p.Current {
		removed, added := 0, 0
		for _, h := range old {
			if !slices.Contains(p.out.Placement[j], h) {
				removed++
			}
		}
		for _, h := range p.out.Placement[j] {
			if !slices.Contains(old, h) {
				added++
			}
		}
		p.out.Moves += min(removed, added)
	}
}
