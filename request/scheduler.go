package request

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"amberway/common"
)

// Policy limits the requests that the scheduler accepts and starts.
type Policy struct {
	// QueueLimit is the most waiting requests of one service and class.
	QueueLimit int
	// QuickReserve is the fraction of a pool's slots that patient requests leave free for
	// quick ones.
	QuickReserve float64
	// PatientShare is the fraction of the run time that patient requests get while both
	// classes wait, so that neither starves.
	PatientShare float64
}

// DefaultPolicy returns the policy of the daemon.
func DefaultPolicy() Policy {
	return Policy{QueueLimit: 4096, QuickReserve: 0.25, PatientShare: 0.125}
}

// TargetSpec is one target that may get work.
type TargetSpec struct {
	Name string
	Pool string
	// Slots is how many requests this process may run there at once.
	Slots int
}

// ServiceSpec is one service, or one job of it that runs on its own targets.
type ServiceSpec struct {
	Name   string
	Pool   string
	Weight int
	// Placed says that only Targets run the service; otherwise all targets of the pool
	// do.
	Placed  bool
	Targets []string
}

// Scheduler decides which request runs where and when. It has no clock and does no I/O.
// Next, Cancel and Done take time at most logarithmic in the number of queued requests
// and of quarantined targets, and linear in the number of a pool's services and of the
// targets that run a placed one. How many targets the pool has makes no difference.
type Scheduler struct {
	policy   Policy
	random   *rand.Rand
	pools    map[string]*pool
	targets  map[string]*target
	services map[string]*service
	jobs     map[jobKey]*jobHealth
	// inFlight counts the runs on each host, including hosts that get no new work.
	inFlight map[string]int
}

// pool is one pool: its targets and the services that use them.
type pool struct {
	name        string
	targets     []*target
	free        []*target
	quarantined *common.Heap[*target]
	services    []*service
	slots       int
	// busy and waiting count requests by class.
	busy    [common.NumClasses]int
	waiting [common.NumClasses]int
	// virtualTime is, for each class, the estimated run time of the requests started so
	// far, divided by the class's share, as in weighted fair queueing.
	virtualTime [common.NumClasses]float64
}

// target is one target as this process sees it.
type target struct {
	TargetSpec
	health
	busy int
	run  ewma
	// freeIndex is the index in the pool's free list, or -1.
	freeIndex int
	// heapEntry is the entry in the pool's heap of quarantined targets, or nil.
	heapEntry *common.HeapEntry[*target]
	// removed says that the target gets no new work.
	removed bool
}

// service is the queues of one service.
type service struct {
	ServiceSpec
	queues [common.NumClasses]*queue
	// virtualTime is the estimated run time of the requests started so far, divided by
	// the service's weight.
	virtualTime float64
}

// queue holds the waiting requests of one service and class, ordered by deadline, and the
// sum of their estimated run times.
type queue struct {
	heap *common.Heap[*Item]
	work time.Duration
}

// NewScheduler returns a scheduler without targets or services.
func NewScheduler(p Policy, r *rand.Rand) *Scheduler {
	return &Scheduler{
		policy:   p,
		random:   r,
		pools:    map[string]*pool{},
		targets:  map[string]*target{},
		services: map[string]*service{},
		jobs:     map[jobKey]*jobHealth{},
		inFlight: map[string]int{},
	}
}

func newQueue() *queue {
	return &queue{heap: common.NewHeap(func(a, b *Item) bool { return a.Deadline.Before(b.Deadline) })}
}

// SetServices replaces the services. Requests of a service that was removed stay in its
// queue until they are cancelled.
func (s *Scheduler) SetServices(l []ServiceSpec) {
	keep := map[string]bool{}
	for _, v := range l {
		keep[v.Name] = true
		o, ok := s.services[v.Name]
		if !ok {
			o = &service{}
			for c := range o.queues {
				o.queues[c] = newQueue()
			}
			s.services[v.Name] = o
		}
		o.ServiceSpec = v
	}
	for n := range s.services {
		if !keep[n] {
			delete(s.services, n)
		}
	}
	s.groupServices()
}

func (s *Scheduler) groupServices() {
	for _, p := range s.pools {
		p.services = p.services[:0]
	}
	for _, v := range s.services {
		p := s.pool(v.Pool)
		p.services = append(p.services, v)
	}
	for _, p := range s.pools {
		slices.SortFunc(p.services, func(a, b *service) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// SetTargets replaces the targets. A target that is no longer named gets no new work; its
// runs go on.
func (s *Scheduler) SetTargets(l []TargetSpec) {
	named := map[string]bool{}
	for _, v := range l {
		named[v.Name] = true
		s.setTarget(v)
	}
	for n, t := range s.targets {
		if !named[n] {
			s.remove(t)
		}
	}
}

func (s *Scheduler) setTarget(v TargetSpec) {
	t, ok := s.targets[v.Name]
	if ok && t.Pool != v.Pool {
		s.remove(t)
		ok = false
	}
	if !ok {
		t = &target{freeIndex: -1, health: health{success: newSuccessRate()}, busy: s.inFlight[v.Name]}
		s.targets[v.Name] = t
		p := s.pool(v.Pool)
		p.targets = append(p.targets, t)
	}
	p := s.pool(v.Pool)
	p.slots += v.Slots - t.Slots
	t.TargetSpec = v
	p.updateFree(t)
}

// RemoveTarget removes the named target until SetTargets names it again.
func (s *Scheduler) RemoveTarget(name string) {
	if t, ok := s.targets[name]; ok {
		s.remove(t)
	}
}

// remove takes a target out of its pool. Its runs go on, but their outcomes no longer
// count.
func (s *Scheduler) remove(t *target) {
	p := s.pool(t.Pool)
	t.removed = true
	p.slots -= t.Slots
	p.updateFree(t)
	if t.heapEntry != nil {
		p.quarantined.Remove(t.heapEntry)
		t.heapEntry = nil
	}
	p.targets = slices.DeleteFunc(p.targets, func(v *target) bool { return v == t })
	delete(s.targets, t.Name)
}

func (s *Scheduler) pool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = &pool{name: name, quarantined: common.NewHeap(func(a, b *target) bool { return a.quarantinedUntil.Before(b.quarantinedUntil) })}
		s.pools[name] = p
	}
	return p
}

// updateFree adds the target to the free list if it has a free slot and is neither
// removed nor quarantined, and takes it off the list otherwise.
func (p *pool) updateFree(t *target) {
	want := !t.removed && t.busy < t.Slots && !t.quarantined()
	if want && t.freeIndex < 0 {
		t.freeIndex = len(p.free)
		p.free = append(p.free, t)
	}
	if !want && t.freeIndex >= 0 {
		n := len(p.free) - 1
		p.free[t.freeIndex] = p.free[n]
		p.free[t.freeIndex].freeIndex = t.freeIndex
		p.free = p.free[:n]
		t.freeIndex = -1
	}
}

// DeclareRunTime sets the initial estimate of a job's run time. It does nothing once a
// run of the job has been measured.
func (s *Scheduler) DeclareRunTime(service, job string, d time.Duration) {
	j := s.job(jobKey{service: service, job: job})
	if !j.run.sampled {
		j.run.value = d
	}
}

func (s *Scheduler) job(k jobKey) *jobHealth {
	j, ok := s.jobs[k]
	if !ok {
		j = &jobHealth{}
		s.jobs[k] = j
	}
	return j
}

// PoolOf returns the name of the pool that a service uses, or the empty string.
func (s *Scheduler) PoolOf(service string) string {
	v, ok := s.services[service]
	if !ok {
		return ""
	}
	return v.Pool
}

// Idle reports whether nothing runs on the host and it gets no new work.
func (s *Scheduler) Idle(host string) bool {
	_, ok := s.targets[host]
	return !ok && s.inFlight[host] == 0
}

func (s *Scheduler) poolNames() []string {
	l := make([]string, 0, len(s.pools))
	for n := range s.pools {
		l = append(l, n)
	}
	return l
}
