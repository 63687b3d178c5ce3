package job

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

const idC = "00000000000000cc"

// taskA, taskB and taskC are the tasks of the jobs idA, idB and idC.
const taskA, taskB, taskC = idA + ".0.0.0", idB + ".0.0.0", idC + ".0.0.0"

// longUp is the clock of a worker that has been up for a day.
const longUp platform.WorkerClock = 86_400_000

// recoversWithin is the time in which a task has to be done or running again after all late
// orders were carried out. It exceeds the longest delay of an order, and a lease after that.
const recoversWithin = 40 * time.Second

// lateFixture is a worker w1 whose owner has read and stored its first end, of taskA.
type lateFixture struct {
	*lateFleet
	*lateOwner
	first *lateWorker
}

// newLateFixture returns a fixture in which, for each of the functions, the first order to the
// first incarnation that matches is kept back.
func newLateFixture(t *testing.T, clock platform.WorkerClock, keep ...func(Action) bool) *lateFixture {
	f := &lateFixture{lateFleet: newLateFleet(t)}
	f.lateOwner = f.addOwner(100)
	f.first = f.start(firstIncarnation, clock)
	f.list(f.first)
	f.submitTask(idA)
	f.passUntil(5*time.Second, func() bool { return f.first.runs[taskA] != nil })
	require.NotNil(t, f.first.runs[taskA])
	f.first.end(taskA, platform.EndDone)
	f.passUntil(time.Second, func() bool { return f.stateOf(idA) == platform.StateSucceeded })
	require.Equal(t, platform.StateSucceeded, f.stateOf(idA))
	f.keepFirst(keep...)
	return f
}

// keepFirst has, for each of the functions, the next order to the first incarnation that matches kept back.
func (f *lateFixture) keepFirst(keep ...func(Action) bool) {
	f.keep = func(a Action) bool {
		to, _ := recipientOf(a)
		if f.running[to] != f.first {
			return false
		}
		n := len(keep)
		keep = slices.DeleteFunc(keep, func(match func(Action) bool) bool { return match(a) })
		return len(keep) < n
	}
}

// newUnboundLateFixture returns a fixture whose owners' hosts do not bind starts to incarnations, as in
// versions before. Such hosts run beside others during an upgrade.
func newUnboundLateFixture(t *testing.T, clock platform.WorkerClock, keep ...func(Action) bool) *lateFixture {
	f := newLateFixture(t, clock, keep...)
	f.unboundStarts = true
	return f
}

// submitTask submits a job of one task.
func (f *lateFixture) submitTask(id string) {
	f.submit(id, "quick", platform.Step{Count: 1, Resources: platform.Resources{MilliCores: 1000}, Estimate: time.Minute})
}

// untilKept passes time until an order that matches has been kept back.
func (f *lateFixture) untilKept(match func(Action) bool) {
	f.passUntil(3*time.Second, func() bool { return slices.ContainsFunc(f.late, match) })
}

// requireDone requires that taskB is done at last, and its job known to have succeeded.
func (f *lateFixture) requireDone(o *lateOwner) {
	f.passUntil(recoversWithin, func() bool { return o.stateOf(idB) == platform.StateSucceeded })
	require.Equal(f.t, platform.StateSucceeded, o.stateOf(idB), "%v", f.trace)
	require.True(f.t, f.succeeded(taskB))
}

// requireDoneAfterRestart has w1 restart and the next incarnation carry out the orders late, whose runs
// succeed at once. It requires that taskB is done at last.
func (f *lateFixture) requireDoneAfterRestart(o *lateOwner, late ...func(Action) bool) {
	second := f.start(secondIncarnation, 0)
	f.runFor = 0
	f.carryOutLate(late...)
	f.list(second)
	f.requireDone(o)
}

// stateOf returns the state of a job, or "" if the owner does not know it.
func (o *lateOwner) stateOf(id ID) platform.JobState {
	s, _ := o.core.StateOf(id)
	return s
}
