package job

import (
	"time"

	"amberway/platform"
)

// Core decides what runs where. It does no I/O and reads no clock: Step takes the time
// and an event, and returns the actions to perform.
type Core struct {
	now   time.Time
	fence platform.Fence
	// lastRun is the number of the last run started. Run numbers are above those of all
	// earlier owners, whose fences are lower.
	lastRun int64
	config  *platform.Config
	queues  map[string]platform.Queue
	teams   *teams
	jobs    map[ID]*job
	// finalJobs holds those that are final, roughly in the order in which they became final.
	finalJobs []*job
	// cancelled holds jobs whose cancel mark was seen before their record, with the time of that.
	cancelled map[ID]time.Time
	// active holds the jobs that are not final.
	active  map[ID]*job
	workers map[platform.WorkerID]*worker
	inOrderAdded
	incarnations
	// pools holds the listed workers of each service.
	pools map[string][]*worker
	// listedByHost holds the listed worker on each host, workersByHost all known workers
	// there, one for each incarnation.
	listedByHost  map[string]*worker
	workersByHost map[string][]*worker
	// dormantPools holds the spare pools that no queue names.
	dormantPools map[string]bool
	// unconfigured holds listed workers of services that the configuration does not name.
	unconfigured map[platform.WorkerName]platform.Worker
	// stalePools holds the services whose pools have to be rebuilt, along with
	// listedByHost. Rebuilding all pools whenever a worker came or went took 8 % of an
	// owner's CPU time at 3,000 workers.
	stalePools map[string]bool
	runTimes   map[string]*runTimeEstimate
	takeover
	writeQueue
	machines
	evacuationState
	waitlists
	serviceHistory
	flow         flowControl
	admission    admissionState
	nextForgetAt time.Time
	// cutOffSince is when most workers stopped answering.
	cutOffSince time.Time
	// maxWaiting is how many tasks of a job may wait before no further instance of it is created.
	maxWaiting int
	actions    []Action
}

// runsPerFence is the maximum number of runs that one owner starts: a run number is the
// fence times this, plus a counter.
const runsPerFence = 1 << 24

// NewCore returns the empty state of an owner with the fence, on a host of the size. The
// holder names the owner in orders to machines.
func NewCore(f platform.Fence, holder string, s Size, now time.Time) *Core {
	return &Core{
		now:            now,
		fence:          f,
		lastRun:        int64(f) * runsPerFence,
		config:         &platform.Config{},
		queues:         map[string]platform.Queue{},
		teams:          newTeams(),
		jobs:           map[ID]*job{},
		active:         map[ID]*job{},
		cancelled:      map[ID]time.Time{},
		workers:        map[platform.WorkerID]*worker{},
		incarnations:   newIncarnations(),
		pools:          map[string][]*worker{},
		stalePools:     map[string]bool{},
		unconfigured:   map[platform.WorkerName]platform.Worker{},
		listedByHost:   map[string]*worker{},
		workersByHost:  map[string][]*worker{},
		runTimes:       map[string]*runTimeEstimate{},
		takeover:       newTakeover(now),
		writeQueue:     newWriteQueue(f),
		machines:       newMachines(holder, s.OrdersPerSecond, now),
		waitlists:      newWaitlists(),
		serviceHistory: newServiceHistory(),
		flow:           newFlowControl(s, now),
		maxWaiting:     defaultMaxWaiting,
	}
}

// Step applies one event and returns the actions to perform.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.advanceTo(now)
	if c.flow.advance(c.now) {
		c.emit(LogLine{What: "send rate reduced", Why: "answers arrive late", Fields: []any{"bytes_per_s", int(c.flow.rate), "on_way", c.flow.inFlight}})
	}
	e.apply(c)
	c.rebuildPools()
	c.place()
	c.startWrite()
	out := c.actions
	c.actions = nil
	return out
}

func (c *Core) emit(a Action) {
	c.actions = append(c.actions, a)
}

// apply does what becomes due as time passes: instances of jobs, polls and leases of workers,
// orders to machines, and the evaluation of admission.
func (Tick) apply(c *Core) {
	for _, j := range c.active {
		c.addDueInstances(j)
	}
	c.reconcileWorkers()
	c.rebuildPools()
	c.checkConnectivity()
	c.checkOperatorRead()
	c.pruneServices()
	c.forgetJobs()
	c.reconcileMachines()
	c.reconcileAdmission()
	c.reorderAll()
}

// apply does nothing: Step places tasks and starts due writes after each event.
func (Woken) apply(*Core) {}

// apply applies the events in order.
func (e Batch) apply(c *Core) {
	for _, v := range e {
		v.apply(c)
	}
}

// apply puts a configuration in force, unless a newer one already is.
func (e ConfigChanged) apply(c *Core) {
	if e.Config.Version < c.config.Version {
		return
	}
	c.config = e.Config
	c.queues = make(map[string]platform.Queue, len(e.Config.Queues))
	for _, q := range e.Config.Queues {
		c.queues[q.Name] = q
	}
	c.teams.update(e.Config.Teams)
	for _, j := range c.active {
		j.queue = c.queueOf(j.Record)
	}
	c.rebuildWaitlists()
	c.cancelStaleTransfers()
	c.updateDormant()
	c.addConfigured()
}

// queueOf returns the job's queue from the configuration. If that no longer has the queue, it
// is returned as it was when the job was accepted.
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
		Advice:   r.Advice,
	}
}

// apply adds a job.
func (e Accepted) apply(c *Core) {
	if c.jobs[e.ID] != nil {
		return
	}
	j := c.addJob(e.ID, e.Record, e.Created, Progress{})
	j.overShare = j.team.spend(c.now)
	c.reorder(j.queue.Service)
	c.recordAccepted(j)
}

func (c *Core) addJob(id ID, r Record, created platform.Revision, p Progress) *job {
	j := &job{
		Record:         r,
		id:             id,
		created:        created,
		queue:          c.queueOf(r),
		team:           c.teams.find(r.Team),
		knownAt:        c.now,
		state:          platform.StateQueued,
		storedState:    p.State,
		instances:      map[int]*instance{},
		oldestInstance: p.OldestInstance,
		nextInstance:   p.OldestInstance,
	}
	if p.State != "" {
		j.state = p.State
		j.started = p.State == platform.StateRunning
	}
	c.jobs[id] = j
	c.active[id] = j
	c.enqueue(j)
	c.restoreInstances(j, p)
	c.addDueInstances(j)
	c.reorder(j.queue.Service)
	if _, ok := c.cancelled[id]; ok {
		delete(c.cancelled, id)
		CancelRequested{ID: id}.apply(c)
	}
	return j
}

// finalise sets the final state of a job and stops its runs.
func (c *Core) finalise(j *job, s platform.JobState, why string) {
	j.state = s
	j.finalAt = c.now
	delete(c.active, j.id)
	c.finalJobs = append(c.finalJobs, j)
	if j.team != nil && int64(j.created) <= int64(c.fence) {
		c.teams.endedUncontacted = append(c.teams.endedUncontacted, j)
	}
	c.dequeue(j)
	c.markDirty(j)
	c.emit(LogLine{What: "job " + string(s), Job: j.id, Why: why})
	for n := range j.inOrder() {
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
func (e CancelRequested) apply(c *Core) {
	j := c.jobs[e.ID]
	if j == nil {
		// Lists are in the order of keys: cancel marks precede records. A caller may also have
		// cancelled a job before the store has carried out its write.
		if _, ok := c.cancelled[e.ID]; !ok {
			c.cancelled[e.ID] = c.now
		}
		return
	}
	switch {
	case !j.state.Final():
		c.finalise(j, platform.StateCancelled, "cancelled by its caller")
	case j.storedState == j.state:
		c.deleteCancelMark(e.ID)
	default:
		// The write of the final state deletes the mark as well.
	}
}
