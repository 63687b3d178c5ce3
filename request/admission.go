package request

import (
	"time"

	"amberway/common"
)

// Offer queues the item, or refuses it at once if it is not expected to be answered by
// its deadline.
func (s *Scheduler) Offer(now time.Time, i *Item) *Refusal {
	v, ok := s.services[i.Service]
	if !ok {
		return &Refusal{Reason: ReasonUnknown}
	}
	p := s.pool(v.Pool)
	if s.serviceSlots(p, v) == 0 {
		return &Refusal{Reason: ReasonNoTarget, RetryAt: now.Add(noTargetRetryDelay)}
	}
	run := &s.job(i.key()).run
	i.estimate = max(run.value, minRunEstimate)
	q := v.queues[i.Class]
	wait := s.estimateWait(p, v, i.Class)
	if now.Add(wait + run.upperBound()).After(i.Deadline) {
		return &Refusal{Reason: ReasonLate, RetryAt: now.Add(wait)}
	}
	if q.heap.Len() >= s.policy.QueueLimit {
		return &Refusal{Reason: ReasonFull, RetryAt: now.Add(wait)}
	}
	if v.idle() {
		v.virtualTime = max(v.virtualTime, p.minVirtualTime(v))
	}
	p.addWaiting(i.Class)
	i.queue = q
	i.pool = p
	i.heapEntry = q.heap.Push(i)
	q.work += i.estimate
	return nil
}

// minRunEstimate is the least run time that an item is queued with, so that jobs whose
// run time is not known yet count at all.
const minRunEstimate = time.Millisecond

// noTargetRetryDelay is the delay after which a caller is told to retry if the pool has
// no target for its service.
const noTargetRetryDelay = 2 * time.Second

// addWaiting counts one more waiting request. A class that had none waiting starts at the
// other class's virtual time at the earliest: it gets no credit for the time in which it
// was idle.
func (p *pool) addWaiting(c common.Class) {
	o := 1 - c
	if p.waiting[c] == 0 && p.waiting[o] > 0 {
		p.virtualTime[c] = max(p.virtualTime[c], p.virtualTime[o])
	}
	p.waiting[c]++
}

// estimateWait estimates how long a new request of the service and class waits: the work
// queued there, divided by the slots that the service and class can count on.
func (s *Scheduler) estimateWait(p *pool, v *service, c common.Class) time.Duration {
	work := v.queues[c].work
	slots := min(s.classSlots(p, c), float64(s.serviceSlots(p, v)))
	weight := 0
	for _, o := range p.services {
		if o == v || !o.idle() {
			weight += o.Weight
		}
	}
	slots *= float64(v.Weight) / float64(max(weight, 1))
	return time.Duration(float64(work) / max(slots, 1))
}

// serviceSlots returns the slots of the targets that run the service.
func (s *Scheduler) serviceSlots(p *pool, v *service) int {
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

// classSlots returns the slots of the pool that a class can count on. Quick requests can
// count on all, less the patient share while patient requests wait; patient ones on what
// quick ones leave, but at least on their share.
func (s *Scheduler) classSlots(p *pool, c common.Class) float64 {
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

// minVirtualTime returns the least virtual time of the other services that have requests
// waiting. A service that was idle starts from there, without credit for its idle time.
func (p *pool) minVirtualTime(except *service) float64 {
	least := -1.0
	for _, v := range p.services {
		if v == except || v.idle() {
			continue
		}
		if least < 0 || v.virtualTime < least {
			least = v.virtualTime
		}
	}
	return max(least, 0)
}

// Cancel removes a waiting item from its queue. It returns false for an item that is
// already running, which Done ends.
func (s *Scheduler) Cancel(i *Item) bool {
	if i.queue == nil || !i.queue.heap.Remove(i.heapEntry) {
		return false
	}
	i.queue.work -= i.estimate
	i.queue = nil
	i.pool.waiting[i.Class]--
	return true
}

// LatestStart returns the latest time at which a waiting item can start and still be
// answered by its deadline.
func (s *Scheduler) LatestStart(i *Item) time.Time {
	return i.Deadline.Add(-s.job(i.key()).run.upperBound())
}
