package request

import (
	"time"
)

// Outcome says how one attempt ended.
type Outcome struct {
	// OK says that the target gave a complete answer that reports no failure of the
	// target.
	OK bool
	// Cancelled says that the attempt ended for a reason that says nothing about the
	// target.
	Cancelled bool
}

// Done records the outcome of the item's attempt and frees its slot.
func (s *Scheduler) Done(now time.Time, i *Item, o Outcome) {
	s.RecordOutcome(now, i, o)
	s.Release(i)
}

// RecordOutcome records the outcome of an attempt that may still run on its target: the
// slot stays occupied until Release. Only the first outcome counts.
func (s *Scheduler) RecordOutcome(now time.Time, i *Item, o Outcome) {
	t := i.target
	if t == nil || i.outcomeRecorded {
		return
	}
	i.outcomeRecorded = true
	if !t.removed {
		s.updateHealth(now, i.pool, t, i, o)
		i.pool.updateFree(t)
	}
}

// Release frees the slot of an item that has ended on its target.
func (s *Scheduler) Release(i *Item) {
	t := i.target
	if t == nil {
		return
	}
	p := i.pool
	i.target = nil
	i.pool = nil
	p.busy[i.Class]--
	s.countRunEnd(t.Name)
	// The target may have been removed and added again since.
	if cur, ok := s.targets[t.Name]; ok {
		cur.busy = s.inFlight[t.Name]
		s.pool(cur.Pool).updateFree(cur)
	}
}

// countRunEnd decrements the runs in flight on the host.
func (s *Scheduler) countRunEnd(host string) {
	s.inFlight[host]--
	if s.inFlight[host] == 0 {
		delete(s.inFlight, host)
	}
}

// updateHealth adds the outcome to what is known of the target and of the job.
func (s *Scheduler) updateHealth(now time.Time, p *pool, t *target, i *Item, o Outcome) {
	j := s.job(i.key())
	conclusive := !o.Cancelled
	if conclusive {
		j.record(t.Name, o.OK)
		conclusive = o.OK || !j.failsEverywhere()
	}
	if o.OK {
		j.run.add(now.Sub(i.startedAt))
		t.run.add(now.Sub(i.startedAt))
	}
	switch {
	case i.probe && (!conclusive || t.endProbe(now, o.OK)):
		// Without a conclusive outcome, the next request probes again.
		t.heapEntry = p.quarantined.Push(t)
	case i.probe || t.quarantined() || !conclusive:
		// An attempt that began before the target was quarantined says nothing new.
	case !t.record(now, o.OK):
	case p.canQuarantine():
		t.heapEntry = p.quarantined.Push(t)
	default:
		t.quarantinedUntil = time.Time{}
	}
	i.probe = false
}

// canQuarantine reports whether one more target may be quarantined.
func (p *pool) canQuarantine() bool {
	return float64(p.quarantined.Len()+1) <= maxQuarantinedShare*float64(len(p.targets))
}
