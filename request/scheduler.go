package request

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"amberway/common"
)

// Policy bounds what the scheduler takes on.
type Policy struct {
	// Queue is the most requests of one service and class that wait.
	Queue int
	// Reserve is the part of a pool's slots that patient requests leave to
	// quick ones.
	Reserve float64
	// PatientShare is the part of the run time that patient requests get while
	// both classes wait, so that none starves.
	PatientShare float64
}

// DefaultPolicy returns the policy of the daemon.
func DefaultPolicy() Policy {
	return Policy{Queue: 4096, Reserve: 0.25, PatientShare: 0.125}
}

// TargetSpec is one target that may get work.
type TargetSpec struct {
	Name string
	Pool string
	// Slots is how many requests this process may run there at once.
	Slots int
}

// ServiceSpec is one service, or one job of it that has targets of its own.
type ServiceSpec struct {
	Name   string
	Pool   string
	Weight int
	// Placed says that only Targets hold it; else all targets of the pool do.
	Placed  bool
	Targets []string
}

// Start says that an item runs on its target from now on.
type Start struct {
	Item *Item
}

// Scheduler decides which request runs where and when. It has no clock and no
// I/O. All methods but Offer and the setters take time that grows at most with
// the logarithm of what is queued, and none of them with the number of targets.
type Scheduler struct {
	policy   Policy
	random   *rand.Rand
	pools    map[string]*pool
	targets  map[string]*target
	services map[string]*service
	jobs     map[jobKey]*jobHealth
	// inFlight counts what runs on each host, also on those that get no new
	// work.
	inFlight map[string]int
}

// pool is the targets of one pool and the services that use them.
type pool struct {
	name     string
	targets  []*target
	free     []*target
	aside    *common.Heap[*target]
	services []*service
	slots    int
	// busy and waiting count requests by class.
	busy    [common.Classes]int
	waiting [common.Classes]int
	// virtual is the run time started of each class over its share.
	virtual [common.Classes]float64
}

// target is one target as this process sees it.
type target struct {
	TargetSpec
	health
	busy int
	run  mean
	// place is the index in the pool's free list, or -1.
	place int
	// aside is the slot in the pool's heap, or nil.
	asideSlot *common.Slot[*target]
	// gone says that it gets no new work.
	gone bool
}

// service is the queues of one service.
type service struct {
	ServiceSpec
	queues [common.Classes]*queue
	// virtual is the run time started so far over the service's weight.
	virtual float64
}

// queue holds the waiting requests of one service and class by deadline.
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

// SetServices replaces the services. Requests of a service that is gone keep
// their place in its queue until they are cancelled.
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

// SetTargets replaces the targets. One that is not named any more gets no new
// work; what runs on it goes on.
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
		t = &target{place: -1, health: health{ok: newShare()}, busy: s.inFlight[v.Name]}
		s.targets[v.Name] = t
		p := s.pool(v.Pool)
		p.targets = append(p.targets, t)
	}
	p := s.pool(v.Pool)
	p.slots += v.Slots - t.Slots
	t.TargetSpec = v
	p.place(t)
}

// remove takes a target out of its pool. Done finds it no more and forgets it.
func (s *Scheduler) remove(t *target) {
	p := s.pool(t.Pool)
	t.gone = true
	p.slots -= t.Slots
	p.place(t)
	if t.asideSlot != nil {
		p.aside.Remove(t.asideSlot)
		t.asideSlot = nil
	}
	p.targets = slices.DeleteFunc(p.targets, func(v *target) bool { return v == t })
	delete(s.targets, t.Name)
}

func (s *Scheduler) pool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = &pool{name: name, aside: common.NewHeap(func(a, b *target) bool { return a.asideUntil.Before(b.asideUntil) })}
		s.pools[name] = p
	}
	return p
}

// place puts the target into the free list or takes it out, as its slots say.
func (p *pool) place(t *target) {
	want := !t.gone && t.busy < t.Slots && !t.aside()
	if want && t.place < 0 {
		t.place = len(p.free)
		p.free = append(p.free, t)
	}
	if !want && t.place >= 0 {
		n := len(p.free) - 1
		p.free[t.place] = p.free[n]
		p.free[t.place].place = t.place
		p.free = p.free[:n]
		t.place = -1
	}
}

// Declare sets the first guess of a job's run time.
func (s *Scheduler) Declare(service, job string, d time.Duration) {
	j := s.job(jobKey{service: service, job: job})
	if !j.run.known {
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

// Offer takes the item into its queue, or refuses it at once where it could
// not be in time.
func (s *Scheduler) Offer(now time.Time, i *Item) *Refusal {
	v, ok := s.services[i.Service]
	if !ok {
		return &Refusal{Reason: ReasonUnknown}
	}
	p := s.pool(v.Pool)
	if s.slots(p, v) == 0 {
		return &Refusal{Reason: ReasonNoTarget, RetryAt: now.Add(noTargetRetry)}
	}
	run := &s.job(i.key()).run
	i.estimate = max(run.value, leastRun)
	q := v.queues[i.Class]
	wait := s.wait(p, v, i.Class)
	if now.Add(wait + run.most()).After(i.Deadline) {
		return &Refusal{Reason: ReasonLate, RetryAt: now.Add(wait)}
	}
	if q.heap.Len() >= s.policy.Queue {
		return &Refusal{Reason: ReasonFull, RetryAt: now.Add(wait)}
	}
	if v.idle() {
		v.virtual = max(v.virtual, p.leastVirtual(v))
	}
	p.enter(i.Class)
	i.queue = q
	i.pool = p
	i.slot = q.heap.Push(i)
	q.work += i.estimate
	return nil
}

// enter counts one more waiting request. A class of which none waited has no
// claim on the past.
func (p *pool) enter(c common.Class) {
	o := 1 - c
	if p.waiting[c] == 0 && p.waiting[o] > 0 {
		p.virtual[c] = max(p.virtual[c], p.virtual[o])
	}
	p.waiting[c]++
}

// leastRun is what a run counts as at the least, so that jobs whose time is not
// known yet count at all.
const leastRun = time.Millisecond

// noTargetRetry is when to come back to a pool without any target.
const noTargetRetry = 2 * time.Second

// wait estimates how long a new request of the service and class waits: the
// work queued before it, over the slots that it may count on.
func (s *Scheduler) wait(p *pool, v *service, c common.Class) time.Duration {
	work := v.queues[c].work
	slots := min(s.slotsFor(p, c), float64(s.slots(p, v)))
	weight := 0
	for _, o := range p.services {
		if o == v || !o.idle() {
			weight += o.Weight
		}
	}
	slots *= float64(v.Weight) / float64(max(weight, 1))
	return time.Duration(float64(work) / max(slots, 1))
}

// slots returns the slots of the targets that hold the service.
func (s *Scheduler) slots(p *pool, v *service) int {
	if !v.Placed {
		return p.slots
	}
	n := 0
	for _, name := range v.Targets {
		if t, ok := s.targets[name]; ok && t.Pool == p.name {
			n += t.Slots
		}
	}
	return n
}

// slotsFor returns the slots of the pool that a class may count on: quick
// requests have all but the share of patient ones that wait, and patient ones
// what quick requests leave, but no less than their share.
func (s *Scheduler) slotsFor(p *pool, c common.Class) float64 {
	all := float64(p.slots)
	if c == common.Patient {
		return max(all-float64(p.busy[common.Quick]), all*s.policy.PatientShare)
	}
	if p.waiting[common.Patient] > 0 {
		return all * (1 - s.policy.PatientShare)
	}
	return all
}

func (v *service) idle() bool {
	return v.queues[common.Quick].heap.Len()+v.queues[common.Patient].heap.Len() == 0
}

// leastVirtual returns the least virtual time of the other services that have
// work waiting, so that one that was idle has no claim on the past.
func (p *pool) leastVirtual(but *service) float64 {
	least := -1.0
	for _, v := range p.services {
		if v == but || v.idle() {
			continue
		}
		if least < 0 || v.virtual < least {
			least = v.virtual
		}
	}
	return max(least, 0)
}

// Next starts one waiting request of the pool that the service uses, or
// returns false where none can start now.
func (s *Scheduler) Next(now time.Time, poolName string) (Start, bool) {
	p := s.pool(poolName)
	v, c, ok := s.choose(now, p)
	if !ok {
		return Start{}, false
	}
	t, probe := s.pick(now, p, v)
	i, _ := v.queues[c].heap.Pop()
	v.queues[c].work -= i.estimate
	i.queue = nil
	p.waiting[c]--
	i.Target = t.Name
	i.target = t
	i.started = now
	i.probe = probe
	s.inFlight[t.Name]++
	v.virtual += i.estimate.Seconds() / float64(max(v.Weight, 1))
	p.virtual[c] += i.estimate.Seconds() / s.shareOf(c)
	p.begin(t, c)
	return Start{Item: i}, true
}

// choose returns the service and class that start next.
func (s *Scheduler) choose(now time.Time, p *pool) (*service, common.Class, bool) {
	quick := s.fairest(now, p, common.Quick)
	patient := s.fairest(now, p, common.Patient)
	if patient != nil && !s.patientMay(p) {
		patient = nil
	}
	turn := p.virtual[common.Patient] < p.virtual[common.Quick]
	switch {
	case quick == nil && patient == nil:
		return nil, 0, false
	case quick == nil || (patient != nil && turn):
		return patient, common.Patient, true
	}
	return quick, common.Quick, true
}

func (s *Scheduler) shareOf(c common.Class) float64 {
	if c == common.Patient {
		return s.policy.PatientShare
	}
	return 1 - s.policy.PatientShare
}

// fairest returns the service with waiting requests of the class that had the
// least of the pool so far, of those that have a target free.
func (s *Scheduler) fairest(now time.Time, p *pool, c common.Class) *service {
	var best *service
	for _, v := range p.services {
		if v.queues[c].heap.Len() == 0 {
			continue
		}
		if (best == nil || v.virtual < best.virtual) && s.hasFree(now, p, v) {
			best = v
		}
	}
	return best
}

// patientMay reports whether one more patient request leaves the reserve to
// quick ones. A pool with one slot has no reserve.
func (s *Scheduler) patientMay(p *pool) bool {
	most := p.slots - int(float64(p.slots)*s.policy.Reserve+0.5)
	return p.busy[common.Patient] < max(most, 1)
}

// hasFree reports whether pick has a target for the service.
func (s *Scheduler) hasFree(now time.Time, p *pool, v *service) bool {
	if v.Placed {
		t, _ := s.pickPlaced(now, v)
		return t != nil
	}
	t, ok := p.aside.Peek()
	return len(p.free) > 0 || (ok && t.due(now))
}

// due reports whether a target that is set aside can be probed.
func (t *target) due(now time.Time) bool {
	return !now.Before(t.asideUntil) && t.busy < t.Slots
}

// pick returns a free target for a service that has one: one that is due to be
// probed, and true, else the better of two at random.
func (s *Scheduler) pick(now time.Time, p *pool, v *service) (*target, bool) {
	if v.Placed {
		t, probe := s.pickPlaced(now, v)
		return t, probe && p.unaside(t)
	}
	if t, ok := p.aside.Peek(); ok && t.due(now) {
		return t, p.unaside(t)
	}
	a := p.free[s.random.IntN(len(p.free))]
	b := p.free[s.random.IntN(len(p.free))]
	if b.cost() < a.cost() {
		return b, false
	}
	return a, false
}

// pickPlaced returns the cheapest free target of those that hold the service,
// or one that is due to be probed, and true. Their number is that of the job's
// replicas.
func (s *Scheduler) pickPlaced(now time.Time, v *service) (*target, bool) {
	var best *target
	for _, n := range v.Targets {
		t, ok := s.targets[n]
		if !ok || t.Pool != v.Pool {
			continue
		}
		if t.asideSlot != nil && t.due(now) {
			return t, true
		}
		if t.place >= 0 && (best == nil || t.cost() < best.cost()) {
			best = t
		}
	}
	return best, false
}

// unaside takes a target off the heap for its probe. It returns true.
func (p *pool) unaside(t *target) bool {
	p.aside.Remove(t.asideSlot)
	t.asideSlot = nil
	return true
}

// cost is the time that one more request would take there.
func (t *target) cost() float64 {
	return float64(t.run.value+time.Millisecond) * float64(t.busy+1) / float64(t.Slots)
}

func (p *pool) begin(t *target, c common.Class) {
	t.busy++
	p.busy[c]++
	p.place(t)
}

// Outcome is what became of one attempt.
type Outcome struct {
	// OK says that the target gave a whole answer that is no failure of its own.
	OK bool
	// Cancelled says that the attempt ended for a reason that says nothing
	// about the target.
	Cancelled bool
}

// Done ends the item's attempt on its target and frees the slot.
func (s *Scheduler) Done(now time.Time, i *Item, o Outcome) {
	t := i.target
	if t == nil {
		return
	}
	p := i.pool
	i.target = nil
	i.pool = nil
	p.busy[i.Class]--
	s.leave(t.Name)
	if !t.gone {
		s.learn(now, p, t, i, o)
	}
	// The target may have left and come back since.
	if cur, ok := s.targets[t.Name]; ok {
		cur.busy = s.inFlight[t.Name]
		s.pool(cur.Pool).place(cur)
	}
}

// leave counts one run less on the host.
func (s *Scheduler) leave(host string) {
	s.inFlight[host]--
	if s.inFlight[host] == 0 {
		delete(s.inFlight, host)
	}
}

// learn takes the outcome into what is known of the target and of the job.
func (s *Scheduler) learn(now time.Time, p *pool, t *target, i *Item, o Outcome) {
	j := s.job(i.key())
	speaks := !o.Cancelled
	if speaks {
		j.note(t.Name, o.OK)
		speaks = o.OK || !j.hopeless()
	}
	if o.OK {
		j.run.add(now.Sub(i.started))
		t.run.add(now.Sub(i.started))
	}
	switch {
	case i.probe && (!speaks || t.probed(now, o.OK)):
		// Without a result the next request probes again.
		t.asideSlot = p.aside.Push(t)
	case i.probe || t.aside() || !speaks:
		// An attempt that began before the target was set aside tells no more.
	case !t.note(now, o.OK):
	case p.mayLose():
		t.asideSlot = p.aside.Push(t)
	default:
		t.asideUntil = time.Time{}
	}
	i.probe = false
}

// mayLose reports whether one more target may be set aside.
func (p *pool) mayLose() bool {
	return float64(p.aside.Len()+1) <= asideShare*float64(len(p.targets))
}

// Cancel takes a waiting item out of its queue. It reports whether it was
// there: an item that runs already is ended by Done.
func (s *Scheduler) Cancel(i *Item) bool {
	if i.queue == nil || !i.queue.heap.Remove(i.slot) {
		return false
	}
	i.queue.work -= i.estimate
	i.queue = nil
	i.pool.waiting[i.Class]--
	return true
}

// GiveUpAt returns when a waiting item cannot be in time any more.
func (s *Scheduler) GiveUpAt(i *Item) time.Time {
	return i.Deadline.Add(-s.job(i.key()).run.most())
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
