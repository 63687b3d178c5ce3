package job

import (
	"time"

	"amberway/platform"
)

// Core decides what runs where. It is pure: time is handed in with each event,
// and what is to be done is handed out as actions.
type Core struct {
	now   time.Time
	fence platform.Fence
	// lastRun numbers the starts: above those of all earlier owners, whose
	// fences were lower.
	lastRun int64
	config  *platform.Deployed
	queues  map[string]platform.Queue
	teams   *teams
	jobs    map[ID]*job
	// cancelled are jobs whose cancelling was seen before their record.
	cancelled map[ID]bool
	// live are the jobs that are not final.
	live    map[ID]*job
	workers map[platform.WorkerID]*worker
	incarnations
	// pools are the listed workers of each service.
	pools map[string][]*worker
	// byHost is the listed worker on each machine, lives are all that are known.
	byHost map[string]*worker
	lives  map[string][]*worker
	// dormantPools are the spare pools that no queue names.
	dormantPools map[string]bool
	// leftOut are listed workers of services that the configuration does not name.
	leftOut map[platform.WorkerName]platform.Worker
	// repool are the services whose pools are to be made anew, and byHost with them.
	// Sorting all pools at each worker that came or went took 8 % of an owner's processor
	// time at 3,000 workers.
	repool map[string]bool
	learn  map[string]*estimate
	succession
	keeping
	machines
	waitlists
	flow     flow
	fullness fullness
	forgetAt time.Time
	// cutOffSince is when most workers fell silent.
	cutOffSince time.Time
	out         []Action
}

// runsPerFence is the most starts of one owner: run numbers are the fence times
// this, plus a counter.
const runsPerFence = 1 << 24

// New returns the state of an owner with the fence, on a host of the size, which knows
// nothing yet.
func New(f platform.Fence, holder string, s Size, now time.Time) *Core {
	return &Core{
		now:          now,
		fence:        f,
		lastRun:      int64(f) * runsPerFence,
		config:       &platform.Deployed{},
		queues:       map[string]platform.Queue{},
		teams:        newTeams(),
		jobs:         map[ID]*job{},
		live:         map[ID]*job{},
		cancelled:    map[ID]bool{},
		workers:      map[platform.WorkerID]*worker{},
		incarnations: newIncarnations(),
		pools:        map[string][]*worker{},
		repool:       map[string]bool{},
		leftOut:      map[platform.WorkerName]platform.Worker{},
		byHost:       map[string]*worker{},
		lives:        map[string][]*worker{},
		learn:        map[string]*estimate{},
		succession:   newSuccession(now),
		keeping:      newKeeping(),
		machines:     newMachines(holder, s.OrdersPerSecond, now),
		waitlists:    newWaitlists(),
		flow:         newFlow(s, now),
	}
}

// Step takes in one event and returns what is to be done.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.passTo(now)
	if c.flow.pass(c.now) {
		c.do(Note{What: "sends less", Why: "answers come late", Inputs: []any{"bytes_per_s", int(c.flow.rate), "on_way", c.flow.onWay}})
	}
	e.apply(c)
	c.sortPools()
	c.place()
	c.flush()
	out := c.out
	c.out = nil
	return out
}

func (c *Core) do(a Action) {
	c.out = append(c.out, a)
}

// apply lets time pass: due times of jobs, leases, looks and writes.
func (Tick) apply(c *Core) {
	for _, j := range c.live {
		c.openDue(j)
	}
	c.flow.busy = 0
	for _, w := range c.workers {
		c.tend(w)
		if len(w.runs) > 0 {
			c.flow.busy++
		}
	}
	c.sortPools()
	c.checkReach()
	c.forget()
	c.tendMachines()
	c.tendFull()
	c.reorderAll()
}

// apply does nothing: what is due is done after each event.
func (Woken) apply(*Core) {}

// apply takes in the events one after the other.
func (e Batch) apply(c *Core) {
	for _, v := range e {
		v.apply(c)
	}
}

// apply takes a configuration in force, unless a newer one is.
func (e ConfigTaken) apply(c *Core) {
	if e.Config.Version < c.config.Version {
		return
	}
	c.config = e.Config
	c.queues = make(map[string]platform.Queue, len(e.Config.Queues))
	for _, q := range e.Config.Queues {
		c.queues[q.Name] = q
	}
	c.teams.take(e.Config.Teams)
	for _, j := range c.live {
		j.queue = c.queueOf(j.Record)
	}
	c.sortJobs()
	c.sortDormant()
	c.meetLeftOut()
}

// queueOf returns the job's queue as the configuration has it, or as it was
// when the job came.
func (c *Core) queueOf(r Record) platform.Queue {
	if q, ok := c.queues[r.Queue]; ok {
		return q
	}
	return platform.Queue{
		Name:     r.Queue,
		Service:  r.Service,
		Priority: r.Priority,
		Attempts: r.Attempts,
		Stretch:  r.Stretch,
		Goal:     r.Goal,
	}
}

// apply adds a job.
func (e Accepted) apply(c *Core) {
	if c.jobs[e.ID] != nil {
		return
	}
	j := c.add(e.ID, e.Record, e.Created, Progress{})
	j.beyond = j.team.spend(c.now)
	c.reorder(j.queue.Service)
	c.noteArrival(j, c.now)
}

func (c *Core) add(id ID, r Record, created platform.Revision, p Progress) *job {
	j := &job{
		Record:    r,
		id:        id,
		created:   created,
		queue:     c.queueOf(r),
		team:      c.teams.find(r.Team),
		knownAt:   c.now,
		state:     platform.StateQueued,
		kept:      p.State,
		instances: map[int]*instance{},
		past:      p.Past,
		next:      p.Past,
	}
	if p.State != "" {
		j.state = p.State
		j.began = p.State == platform.StateRunning
	}
	c.jobs[id] = j
	c.live[id] = j
	c.enlist(j)
	c.openDue(j)
	for k, n := range j.instances {
		if q, ok := p.Instances[k]; ok {
			n.restore(q, c.now)
			j.began = true
		}
	}
	c.advance(j)
	c.reorder(j.queue.Service)
	if c.cancelled[id] {
		delete(c.cancelled, id)
		CancelAsked{ID: id}.apply(c)
	}
	return j
}

// openDue makes those times of a job that have come due.
func (c *Core) openDue(j *job) {
	if j.state.Final() {
		return
	}
	if j.Times == 0 {
		if j.next == 0 {
			j.instances[0] = newInstance(j, 0, j.CameAt)
			j.next = 1
		}
		return
	}
	for j.next < j.Times {
		due := j.First.Add(time.Duration(j.next) * j.Every)
		if c.now.Before(due) {
			return
		}
		j.instances[j.next] = newInstance(j, j.next, due)
		j.next++
		c.reorder(j.queue.Service)
	}
}

// advance drops the times that are done in whole, and ends a job that is done.
func (c *Core) advance(j *job) {
	for k := j.past; k < j.next; k++ {
		n := j.instances[k]
		if n == nil || n.left > 0 {
			break
		}
		c.noteServed(j, n)
		delete(j.instances, k)
		j.past++
	}
	if j.past >= max(1, j.Times) && !j.state.Final() {
		c.finalise(j, platform.StateSucceeded, "all tasks done")
	}
}

// finalise brings a job to its final state and ends what still runs.
func (c *Core) finalise(j *job, s platform.State, why string) {
	j.state = s
	j.finalAt = c.now
	delete(c.live, j.id)
	if j.team != nil && int64(j.created) <= int64(c.fence) {
		c.teams.ended = append(c.teams.ended, j)
	}
	c.delist(j)
	c.mark(j)
	c.do(Note{What: "job " + string(s), Job: j.id, Why: why})
	for _, n := range j.instances {
		for _, s := range n.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					c.stop(r, "job is "+string(j.state))
				}
			}
		}
	}
	c.reorder(j.queue.Service)
}

// apply cancels a job.
func (e CancelAsked) apply(c *Core) {
	j := c.jobs[e.ID]
	if j == nil {
		// A list names the marks before the jobs.
		c.cancelled[e.ID] = true
		return
	}
	switch {
	case !j.state.Final():
		c.finalise(j, platform.StateCancelled, "cancelled by its caller")
	case j.kept == j.state:
		c.forgetCancel(e.ID)
	default:
		// The write of the final state takes the mark along.
	}
}
