package request

import (
	"time"
)

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
	s.Settle(now, i, o)
	s.Release(i)
}

// Settle takes in the outcome of an attempt whose target may run on, so that
// the slot stays taken until Release. Only the first outcome counts.
func (s *Scheduler) Settle(now time.Time, i *Item, o Outcome) {
	t := i.target
	if t == nil || i.settled {
		return
	}
	i.settled = true
	if !t.gone {
		s.learn(now, i.pool, t, i, o)
		i.pool.place(t)
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
	s.leave(t.Name)
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
