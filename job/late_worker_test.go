package job

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// lateFleet is a fleet of workers that keep the platform's protocol, with the owners that send
// them orders. A test decides which orders are kept back, to be carried out late by whichever
// incarnation is running then. The workers check the promises: no task starts after a successful
// end of it was forgotten, none is forgotten after its task was started again, and no task runs
// twice at once.
type lateFleet struct {
	t      *testing.T
	now    time.Time
	owners []*lateOwner
	// running holds the running incarnation of each name, lives all that have ever run.
	running map[platform.WorkerName]*lateWorker
	lives   []*lateWorker
	// keep reports whether an order is kept back in late. Its sender gets no answer.
	keep func(a Action) bool
	late []Action
	// unboundStarts says that the owners' hosts are of a version that sends starts on any
	// connection. Such a start reaches whichever incarnation is running.
	unboundStarts bool
	// started is called after a worker has begun a run, runFor is how long runs take.
	started func(w *lateWorker, task string)
	runFor  time.Duration
	trace   []string
}

// lateOwner is an owner whose orders go to a lateFleet.
type lateOwner struct {
	*fixture
	// answers are the answers on their way, and the failures of orders that get none.
	answers []delivery
	// stored is the progress of jobs that the store holds.
	stored map[ID]Progress
	// cutOff reports whether it cannot renew its lease, ended whether it has stepped down.
	cutOff, ended bool
}

// lateWorker is one incarnation of a worker.
type lateWorker struct {
	platform.Worker
	fleet *lateFleet
	born  time.Time
	// clockAtStart is what its clock showed when it started.
	clockAtStart platform.WorkerClock
	silent       bool
	fence        platform.Fence
	leaseUntil   platform.WorkerClock
	highestRun   map[string]int64
	runs         map[string]*lateRun
	ends         []*lateEnd
	lastEnd      int64
	waiting      []latePoll
}

type lateRun struct {
	number int64
	began  time.Time
	endsAt time.Time
}

type lateEnd struct {
	platform.EndedRow
	// forgotten reports whether the worker has forgotten it, again whether its task has been
	// started since.
	forgotten, again bool
}

// latePoll is a poll that waits for an end.
type latePoll struct {
	owner *lateOwner
	order PollWorker
	until time.Time
}

// maxHold is the longest time for which a worker accepts a lease.
const maxHold = 10 * time.Second

func newLateFleet(t *testing.T) *lateFleet {
	return &lateFleet{
		t: t, now: time.Unix(1e9, 0), running: map[platform.WorkerName]*lateWorker{},
		keep: func(Action) bool { return false }, started: func(*lateWorker, string) {}, runFor: time.Minute,
	}
}

func (f *lateFleet) notef(format string, a ...any) {
	f.trace = append(f.trace, f.now.Format("05.000 ")+fmt.Sprintf(format, a...))
}

// addOwner adds an owner that knows nothing yet.
func (f *lateFleet) addOwner(fence platform.Fence) *lateOwner {
	o := &lateOwner{stored: map[ID]Progress{}, fixture: &fixture{t: f.t, now: f.now, polls: map[platform.WorkerID]PollWorker{}, ownerKeys: ownerStore{}, revision: platform.Revision(fence)}}
	o.core = NewCore(fence, "entry", Size{}, f.now)
	o.step(ConfigChanged{Config: testConfig()})
	f.owners = append(f.owners, o)
	return o
}

// takeOver adds an owner that inherits what another one has stored, and cuts that one off.
func (f *lateFleet) takeOver(from *lateOwner, records ...*lateWorker) *lateOwner {
	from.cutOff = true
	o := f.addOwner(100 * from.core.fence)
	o.stored, o.ownerKeys = maps.Clone(from.stored), maps.Clone(from.ownerKeys)
	e := Inherited{Config: testConfig(), Progress: from.stored, Roster: from.roster()}
	for id, j := range from.core.jobs {
		if from.stored[id].State.Final() {
			continue
		}
		e.Jobs = append(e.Jobs, Accepted{ID: id, Record: j.Record, Created: j.created})
	}
	for _, w := range records {
		e.Workers = append(e.Workers, w.Worker)
	}
	o.step(e)
	return o
}

// start starts an incarnation of a worker, in place of any other one of its name.
func (f *lateFleet) start(id string, clock platform.WorkerClock) *lateWorker {
	w := &lateWorker{Worker: testWorker(id), fleet: f, born: f.now, clockAtStart: clock, highestRun: map[string]int64{}, runs: map[string]*lateRun{}}
	w.Host = "host-of-" + string(w.ID.Name())
	if before := f.running[w.ID.Name()]; before != nil {
		for _, p := range before.waiting {
			p.owner.failLater(p.order, f.now)
		}
	}
	f.notef("%s starts", id)
	f.running[w.ID.Name()] = w
	f.lives = append(f.lives, w)
	return w
}

// list tells all owners of the worker's record.
func (f *lateFleet) list(w *lateWorker) {
	for _, o := range f.owners {
		o.step(WorkerListed{Worker: w.Worker})
	}
	f.settle()
}

// pass lets time pass.
func (f *lateFleet) pass(d time.Duration) {
	f.passUntil(d, func() bool { return false })
}

// passUntil lets time pass until the condition holds, but no longer than d.
func (f *lateFleet) passUntil(d time.Duration, holds func() bool) {
	f.settle()
	for end := f.now.Add(d); f.now.Before(end) && !holds(); {
		f.now = f.now.Add(tickEvery)
		for _, w := range f.lives {
			w.tick()
		}
		for _, o := range f.owners {
			o.tick(f.now)
		}
		f.settle()
	}
}

func (o *lateOwner) tick(now time.Time) {
	o.now = now
	if o.ended {
		return
	}
	o.answers = slices.DeleteFunc(o.answers, func(d delivery) bool {
		if d.at.After(now) {
			return false
		}
		d.f()
		return true
	})
	if !o.cutOff {
		o.step(LeaseRenewed{SentAt: now})
	}
	o.step(Tick{})
}

// settle delivers the orders of all owners until there are none. Polls are answered at the next
// tick, as the next poll may follow at once.
func (f *lateFleet) settle() {
	for range 1000 {
		idle := true
		for _, o := range f.owners {
			l := o.out
			o.out = nil
			for _, a := range l {
				idle = false
				f.send(o, a)
			}
		}
		if idle {
			return
		}
	}
	require.Fail(f.t, "the owners send orders without end")
}

func (f *lateFleet) send(o *lateOwner, a Action) {
	if l, ok := a.(LogLine); ok {
		f.notef("owner %d: %s %s run %d %s %s", o.core.fence, l.What, l.Task, l.Run, l.Worker, l.Why)
	}
	switch a := a.(type) {
	case StepDown:
		o.ended = true
	case WriteStore:
		o.store(a)
	}
	to, ok := recipientOf(a)
	if !ok {
		return
	}
	w := f.running[to]
	switch {
	case f.reachesOther(a, w):
		f.notef("not sent, as %s answers: %s", w.ID, describeOrder(a))
		o.answerLater(f.startNotSent(a, w), f.now)
	case f.keep(a):
		f.notef("kept back: %s", describeOrder(a))
		f.late = append(f.late, a)
		o.failLater(a, f.now.Add(timeoutOf(a)))
	case w == nil || w.silent:
		o.failLater(a, f.now.Add(timeoutOf(a)))
	default:
		r := w.carryOut(a)
		if p, polls := a.(PollWorker); polls && r == platform.Accepted && p.Order.Wait > 0 && len(w.unread()) == 0 {
			w.waiting = append(w.waiting, latePoll{owner: o, order: p, until: f.now.Add(p.Order.Wait)})
			return
		}
		e := w.answer(a, r)
		if !isPoll(a) {
			o.step(e)
			return
		}
		o.answerLater(e, f.now)
	}
}

// answerLater tells the owner of an answer at the next tick.
func (o *lateOwner) answerLater(e Event, now time.Time) {
	o.answers = append(o.answers, delivery{at: now.Add(tickEvery), f: func() { o.step(e) }})
}

// reachesOther reports whether the order is a start that is bound to another incarnation than the
// running one. It travels on a connection that its own incarnation has answered on, which ends with
// that one (TestStartReachesOnlyTheIncarnationThatItNames in package platform).
func (f *lateFleet) reachesOther(a Action, running *lateWorker) bool {
	s, ok := a.(StartRun)
	return ok && !f.unboundStarts && running != nil && running.ID != s.Worker.ID
}

// startNotSent returns the outcome of a start whose handshake the running incarnation gets.
func (f *lateFleet) startNotSent(a Action, running *lateWorker) Event {
	s, _ := a.(StartRun)
	out := startFailed(s, nil)
	switch {
	case running.silent:
		out.Err = platform.ErrNotSent
	case s.Order.Fence < running.fence:
		out.Rejection = platform.RejectedFenced
	default:
		running.fence = s.Order.Fence
		out.Err = &platform.OtherIncarnationError{ReportedStart: platform.ReportedStart{Incarnation: running.ID.Incarnation()}}
	}
	return out
}

// store keeps the progress of jobs that a write holds, unless the store does not answer.
func (o *lateOwner) store(a WriteStore) {
	for _, p := range a.Puts {
		if o.holdWrites || !strings.HasPrefix(p.Key, progressPrefix) {
			continue
		}
		id, g, err := decodeProgress(platform.Entry{Key: p.Key, Value: p.Value})
		require.NoError(o.t, err)
		o.stored[id] = g
	}
}

// carryOutLate has the running incarnations carry out the orders that were kept back, which the
// arguments choose and order.
func (f *lateFleet) carryOutLate(match ...func(Action) bool) {
	for _, m := range match {
		for _, a := range f.late {
			to, _ := recipientOf(a)
			switch w := f.running[to]; {
			case !m(a) || w == nil:
			case f.reachesOther(a, w):
				f.notef("lost, as its incarnation has ended: %s", describeOrder(a))
			default:
				f.notef("late: %s", describeOrder(a))
				w.carryOut(a)
			}
		}
		f.late = slices.DeleteFunc(f.late, m)
	}
}

// failLater tells the owner at a time that an order got no answer.
func (o *lateOwner) failLater(a Action, at time.Time) {
	sent := o.now
	o.answers = append(o.answers, delivery{at: at, f: func() {
		switch a := a.(type) {
		case PollWorker:
			o.step(PollResult{Worker: a.Worker.ID, SentAt: sent, Err: platform.ErrUnknownOutcome})
		case StartRun:
			o.step(StartResult{Worker: a.Worker.ID, Run: a.Order.Run, Task: a.Order.Task, Err: platform.ErrUnknownOutcome})
		case StopRun:
			o.step(StopResult{Worker: a.Worker.ID, Run: a.Run, Task: a.Task, Err: platform.ErrUnknownOutcome})
		}
	}})
}

// violatedf fails the test with the events so far.
func (f *lateFleet) violatedf(format string, a ...any) {
	f.notef(format, a...)
	require.FailNow(f.t, fmt.Sprintf(format, a...), strings.Join(f.trace, "\n"))
}
