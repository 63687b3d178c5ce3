package request

import (
	"time"

	"amberway/common"
)

// Start says that an item runs on its target from now on.
type Start struct {
	Item *Item
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
	// The service may have moved to this pool since the item was offered.
	i.pool.waiting[c]--
	i.pool = p
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
