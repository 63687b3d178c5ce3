package request

import (
	"time"

	"amberway/common"
)

// Assignment is an item that now runs on its target.
type Assignment struct {
	Item *Item
}

// Next starts one waiting request of the pool and returns its assignment, or false if
// none can start now.
func (s *Scheduler) Next(now time.Time, poolName string) (Assignment, bool) {
	p := s.pool(poolName)
	v, c, ok := s.nextQueue(now, p)
	if !ok {
		return Assignment{}, false
	}
	t, probe := s.pickTarget(now, p, v)
	i, _ := v.queues[c].heap.Pop()
	v.queues[c].work -= i.estimate
	i.queue = nil
	// The service may have moved to this pool after the item was offered.
	i.pool.waiting[c]--
	i.pool = p
	i.Target = t.Name
	i.target = t
	i.startedAt = now
	i.probe = probe
	s.inFlight[t.Name]++
	v.virtualTime += i.estimate.Seconds() / float64(max(v.Weight, 1))
	p.virtualTime[c] += i.estimate.Seconds() / s.classShare(c)
	p.takeSlot(t, c)
	return Assignment{Item: i}, true
}

// nextQueue returns the service and class whose request starts next, or false if none
// can.
func (s *Scheduler) nextQueue(now time.Time, p *pool) (*service, common.Class, bool) {
	quick := s.fairestService(now, p, common.Quick)
	patient := s.fairestService(now, p, common.Patient)
	if patient != nil && !s.canStartPatient(p) {
		patient = nil
	}
	patientBehind := p.virtualTime[common.Patient] < p.virtualTime[common.Quick]
	switch {
	case quick == nil && patient == nil:
		return nil, 0, false
	case quick == nil || (patient != nil && patientBehind):
		return patient, common.Patient, true
	}
	return quick, common.Quick, true
}

func (s *Scheduler) classShare(c common.Class) float64 {
	if c == common.Patient {
		return s.policy.PatientShare
	}
	return 1 - s.policy.PatientShare
}

// fairestService returns the service with the least virtual time among those that have a
// request of the class waiting and a free target.
func (s *Scheduler) fairestService(now time.Time, p *pool, c common.Class) *service {
	var best *service
	for _, v := range p.services {
		if v.queues[c].heap.Len() == 0 {
			continue
		}
		if (best == nil || v.virtualTime < best.virtualTime) && s.hasFreeTarget(now, p, v) {
			best = v
		}
	}
	return best
}

// canStartPatient reports whether the slots reserved for quick requests stay free if one
// more patient request starts. A pool with one slot reserves none.
func (s *Scheduler) canStartPatient(p *pool) bool {
	limit := p.slots - int(float64(p.slots)*s.policy.QuickReserve+0.5)
	return p.busy[common.Patient] < max(limit, 1)
}

// hasFreeTarget reports whether pickTarget finds a target for the service.
func (s *Scheduler) hasFreeTarget(now time.Time, p *pool, v *service) bool {
	if v.Placed {
		t, _ := s.pickPlacedTarget(now, v)
		return t != nil
	}
	t, ok := p.quarantined.Peek()
	return len(p.free) > 0 || (ok && t.probeDue(now))
}

// probeDue reports whether a quarantined target may be probed.
func (t *target) probeDue(now time.Time) bool {
	return !now.Before(t.quarantinedUntil) && t.busy < t.Slots
}

// pickTarget returns a target for a service for which hasFreeTarget returns true: one
// that is due for a probe, and true, or else a free one. Of a pool's free targets, it is
// the cheaper of two random ones; for a placed service, it is the cheapest of its own.
func (s *Scheduler) pickTarget(now time.Time, p *pool, v *service) (*target, bool) {
	if v.Placed {
		t, probe := s.pickPlacedTarget(now, v)
		return t, probe && p.beginProbe(t)
	}
	if t, ok := p.quarantined.Peek(); ok && t.probeDue(now) {
		return t, p.beginProbe(t)
	}
	a := p.free[s.random.IntN(len(p.free))]
	b := p.free[s.random.IntN(len(p.free))]
	if b.cost() < a.cost() {
		return b, false
	}
	return a, false
}

// pickPlacedTarget returns the cheapest free target of those that run the service, or one
// that is due for a probe, and true. It tries them one by one: there are only as many as
// the job has replicas.
func (s *Scheduler) pickPlacedTarget(now time.Time, v *service) (*target, bool) {
	var best *target
	for _, n := range v.Targets {
		t, ok := s.targets[n]
		if !ok || t.Pool != v.Pool {
			continue
		}
		if t.heapEntry != nil && t.probeDue(now) {
			return t, true
		}
		if t.freeIndex >= 0 && (best == nil || t.cost() < best.cost()) {
			best = t
		}
	}
	return best, false
}

// beginProbe takes a quarantined target off the heap for its probe. It always returns
// true.
func (p *pool) beginProbe(t *target) bool {
	p.quarantined.Remove(t.heapEntry)
	t.heapEntry = nil
	return true
}

// cost is the estimated time that one more request would take on the target.
func (t *target) cost() float64 {
	return float64(t.run.value+time.Millisecond) * float64(t.busy+1) / float64(t.Slots)
}

func (p *pool) takeSlot(t *target, c common.Class) {
	t.busy++
	p.busy[c]++
	p.updateFree(t)
}
