package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// foreignRecords are records with all fields of a worker's, at whose addresses nobody answers.
func foreignRecords(n int) []platform.Worker {
	var l []platform.Worker
	for i := range n {
		l = append(l, testWorker(fmt.Sprint("other", i)))
	}
	return l
}

// failPolls fails the polls in flight to the workers.
func (f *fixture) failPolls(l []platform.Worker) {
	for _, w := range l {
		if _, polled := f.polls[w.ID]; polled {
			f.fail(string(w.ID), common.ErrNotSent)
		}
	}
}

// stepDowns returns the reasons of the owner for giving up its ownership.
func (f *fixture) stepDowns() []string {
	var l []string
	for _, a := range f.out {
		if s, ok := a.(StepDown); ok {
			l = append(l, s.Why)
		}
	}
	return l
}

// Ten records of another writer to the store, beside eight workers, were taken for workers that had
// fallen silent: each owner gave up after a second, and jobs that it had not started waited for answers
// that never came (review case 6).
func TestOwnerDoesNotStepDownForRecordsThatNobodyAnswersFor(t *testing.T) {
	f := newFixture(t)
	l := foreignRecords(10)
	for _, w := range l {
		f.step(WorkerListed{Worker: w})
	}
	f.join("w1")
	for range 200 {
		f.advance(tickEvery)
		f.failPolls(l)
	}
	require.Empty(t, f.stepDowns())
	f.submit(idA, "quick", oneTask())
	require.Len(t, f.starts(), 1)
}

// The next owner waits for workers that may have runs, and not for records of other writers.
func TestNextOwnerDoesNotWaitForRecordsThatNobodyAnswersFor(t *testing.T) {
	f := newFixture(t)
	l := foreignRecords(2)
	for _, w := range l {
		f.step(WorkerListed{Worker: w})
	}
	f.join("w3")
	f.submit(idA, "quick", platform.Step{Count: 1, Resources: platform.Resources{MilliCores: 9000}})
	f.advance(time.Second)
	require.False(t, f.roster().has("other0"))
	n := f.nextOwner(testConfig(), append(l, testWorker("w3"))...)
	n.failPolls(l)
	n.advance(tickEvery)
	require.True(t, n.core.inheritedRunsKnown(n.core.jobs[idA]))
}

// An owner that reaches hardly any of the workers that are known to exist still steps down: those that
// an earlier owner has reached, or that the machine list names.
func TestOwnerThatCannotReachMostWorkersStepsDown(t *testing.T) {
	l := foreignRecords(5)
	for name, learn := range map[string]func(f *fixture){
		"inherited": func(f *fixture) {
			e := Inherited{Config: testConfig(), Workers: l}
			for _, w := range l {
				e.Roster.Workers = append(e.Roster.Workers, rosterEntryOf(newWorker(w, f.now)))
			}
			f.step(e)
		},
		"in the machine list": func(f *fixture) {
			var machines []platform.Machine
			for _, w := range l {
				f.step(WorkerListed{Worker: w})
				machines = append(machines, machineOf(string(w.ID), "blue"))
			}
			f.listMachines(machines...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			learn(f)
			f.join("w1")
			for range 60 {
				f.advance(tickEvery)
				f.failPolls(l)
			}
			require.Contains(t, f.stepDowns(), whyCutOff)
		})
	}
}

// Records of other writers cost fewer and fewer polls. Workers that have answered are polled as before.
func TestRecordsThatNobodyAnswersForArePolledRarely(t *testing.T) {
	f := newFixture(t)
	l := foreignRecords(1)
	f.step(WorkerListed{Worker: l[0]})
	polls := 0
	for range 400 {
		f.advance(tickEvery)
		if _, polled := f.polls[l[0].ID]; polled {
			polls++
		}
		f.failPolls(l)
	}
	require.Less(t, polls, 15, "in 20 s")
	require.Greater(t, polls, 8)
}

// A start that was not answered may be carried out by the next incarnation of its worker, which the
// roster names before it has answered.
func TestNextIncarnationIsInTheRosterBeforeItAnswers(t *testing.T) {
	f := newFixture(t)
	before := testWorker("w1@1")
	f.step(WorkerListed{Worker: before})
	f.answer("w1@1", platform.PollReply{})
	f.advance(tickEvery)
	require.True(t, f.roster().has("w1@1"))
	f.step(WorkerListed{Worker: testWorker("w1@2")})
	f.advance(tickEvery)
	require.True(t, f.roster().has("w1@2"))
}
