package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// tailTarget is the TailTarget of the latency-sensitive task.
const tailTarget = 100 * time.Millisecond

// sharedFixture is an owner with a worker on which a best-effort task runs beside a
// latency-sensitive one.
type sharedFixture struct {
	*fixture
	bestEffort, sensitive StartRun
	// gone says that the latency-sensitive task no longer runs there.
	gone bool
	// answers counts the polls. The best-effort task makes a little progress in each.
	answers int
}

// newSharedFixture returns an owner with such a worker, both tasks of which have started.
func newSharedFixture(t *testing.T) *sharedFixture {
	f := newFixture(t)
	f.join("w1")
	bestEffort, sensitive := oneTask(), oneTask()
	bestEffort.BestEffort = true
	sensitive.Lasting, sensitive.MaxTailLatency = true, tailTarget
	f.submit(idA, "quick", bestEffort)
	f.submit(idB, "quick", sensitive)
	l := f.starts()
	require.Len(t, l, 2)
	s := &sharedFixture{fixture: f, bestEffort: l[0], sensitive: l[1]}
	if l[0].Order.Task != idA+".0.0.0" {
		s.bestEffort, s.sensitive = l[1], l[0]
	}
	for _, o := range l {
		f.acceptStart(o)
	}
	return s
}

// passPolled lets time pass. Polls report a tail latency that is the given fraction of tailTarget.
func (s *sharedFixture) passPolled(d time.Duration, tail float64) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance(tickEvery)
		if _, polled := s.polls["w1"]; !polled {
			continue
		}
		s.answers++
		running := []platform.RunningRow{{Task: s.bestEffort.Order.Task, Run: s.bestEffort.Order.Run, Percent: 1 + s.answers%90}}
		if !s.gone {
			running = append(running, platform.RunningRow{Task: s.sensitive.Order.Task, Run: s.sensitive.Order.Run, Percent: 100, Level: tail * float64(tailTarget.Milliseconds())})
		}
		s.answer("w1", platform.PollReply{Running: running})
	}
}

// paces removes the orders to pace a run from out, and returns their percentages.
func (f *fixture) paces() []int {
	var l []int
	var rest []Action
	for _, a := range f.out {
		if p, ok := a.(PaceRun); ok {
			l = append(l, p.Percent)
		} else {
			rest = append(rest, a)
		}
	}
	f.out = rest
	return l
}

// losePaceReply has the last order to pace the best-effort task fail without an answer.
func (s *sharedFixture) losePaceReply() {
	s.step(PaceResult{Worker: "w1", Task: s.bestEffort.Order.Task, Run: s.bestEffort.Order.Run, Err: common.ErrUnknownOutcome})
}

// The order that restored the full pace was lost, and only lower paces were ordered again, so
// that a best-effort task went on at three quarters of its pace, or paused, until it ended.
func TestFullPaceIsOrderedAgainWhereItsAnswerWasLost(t *testing.T) {
	s := newSharedFixture(t)
	s.passPolled(time.Second, 2)
	require.Equal(t, []int{0}, s.paces())
	s.passPolled(3*time.Second, 0.1)
	require.Equal(t, []int{25, 50, 75, 100}, s.paces())
	s.losePaceReply()
	s.passPolled(2*time.Second, 0.1)
	require.Equal(t, []int{100}, s.paces())
}

// An order that was not answered may be carried out seconds later, after newer ones.
func TestPaceIsOrderedAgainOnceNoEarlierOrderCanArrive(t *testing.T) {
	s := newSharedFixture(t)
	s.passPolled(time.Second, 2)
	require.Equal(t, []int{0}, s.paces())
	s.losePaceReply()
	s.passPolled(2*time.Second, 2)
	require.Equal(t, []int{0}, s.paces())
	s.passPolled(4*time.Second, 0.1)
	require.Equal(t, []int{25, 50, 75, 100}, s.paces())
	s.passPolled(maxOrderDelay, 0.1)
	require.Equal(t, []int{100}, s.paces())
	s.passPolled(maxOrderDelay, 0.1)
	require.Empty(t, s.paces())
}

// Paces were set only while both kinds of tasks shared a worker. When the latency-sensitive
// task ended or was moved, the best-effort task kept its reduced pace until it ended.
func TestBestEffortTaskReturnsToFullPaceAlone(t *testing.T) {
	s := newSharedFixture(t)
	s.passPolled(time.Second, 2)
	require.Equal(t, []int{0}, s.paces())
	s.step(CancelRequested{ID: idB})
	s.step(StopResult{Worker: "w1", Task: s.sensitive.Order.Task, Run: s.sensitive.Order.Run, Clock: s.clock})
	s.gone = true
	s.passPolled(4*time.Second, 0)
	require.Equal(t, []int{25, 50, 75, 100}, s.paces())
	s.passPolled(4*time.Second, 0)
	require.Empty(t, s.paces())
}

// The next owner assumed full pace for each adopted run, and never restored it for a run that
// the previous owner had slowed down.
func TestNextOwnerRestoresPaceOfAdoptedRun(t *testing.T) {
	s := newSharedFixture(t)
	s.passPolled(time.Second, 2)
	require.Equal(t, []int{0}, s.paces())

	next := &sharedFixture{fixture: newOwnerFixture(t, 2000), bestEffort: s.bestEffort, sensitive: s.sensitive}
	var jobs []Accepted
	for _, id := range []ID{idA, idB} {
		jobs = append(jobs, Accepted{ID: id, Record: s.core.jobs[id].Record, Created: 50})
	}
	next.step(Inherited{Config: testConfig(), Workers: []platform.Worker{testWorker("w1")}, Jobs: jobs, Roster: s.roster()})
	next.passPolled(2*time.Second, 0.1)
	require.Equal(t, []int{100}, next.paces())
	next.passPolled(2*time.Second, 0.1)
	require.Empty(t, next.paces())
}
