package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// logged returns the log lines with the text since the fixture began.
func (f *fixture) logged(what string) []LogLine {
	var l []LogLine
	for _, a := range f.out {
		if n, ok := a.(LogLine); ok && n.What == what {
			l = append(l, n)
		}
	}
	return l
}

// field returns the value of a field of the log line.
func (n LogLine) field(name string) any {
	for i := 0; i+1 < len(n.Fields); i += 2 {
		if n.Fields[i] == name {
			return n.Fields[i+1]
		}
	}
	return nil
}

// threeReady starts three lasting tasks of a step, of which one may be unavailable, and has
// each ready on a worker of its own.
func threeReady(f *fixture) map[platform.WorkerID]StartRun {
	f.join("w1", "w2", "w3")
	s := oneTask()
	s.Count, s.MaxPerWorker, s.Lasting, s.MaxUnavailable = 3, 1, true, 1
	f.submit(idA, "quick", s)
	runs := map[platform.WorkerID]StartRun{}
	for _, r := range f.starts() {
		runs[r.Worker.ID] = r
		f.acceptStart(r)
	}
	f.passReady(runs, evictionDelay+warmUp)
	return runs
}

// passReady lets time pass while all runs are reported as ready.
func (f *fixture) passReady(runs map[platform.WorkerID]StartRun, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(100 * time.Millisecond)
		f.pollAll(runs)
	}
}

// pollAll answers the polls in flight: the runs are ready.
func (f *fixture) pollAll(runs map[platform.WorkerID]StartRun) {
	for id, r := range runs {
		if _, ok := f.polls[id]; ok {
			f.answer(string(id), platform.PollReply{Running: []platform.RunningRow{runningRow(r, 100)}})
		}
	}
}

// drain has the worker's record say that it is draining.
func (f *fixture) drain(id platform.WorkerID) {
	w := testWorker(string(id))
	w.Draining = true
	f.step(WorkerListed{Worker: w})
}

func TestLogShowsInputsOfLastingStop(t *testing.T) {
	f := newFixture(t)
	runs := threeReady(f)
	f.join("w4")
	f.drain("w1")
	f.advance(100 * time.Millisecond)
	n := f.logged("stop")
	require.Len(t, n, 1)
	require.Equal(t, 0, n[0].field("away"))
	require.Equal(t, 1, n[0].field("may_miss"))
	require.Equal(t, true, n[0].field("at_work"))
	f.drain("w2")
	f.advance(100 * time.Millisecond)
	f.pollAll(runs)
	f.advance(100 * time.Millisecond)
	deferred := f.logged("stop deferred")
	require.Len(t, deferred, 1, "logged once")
	require.Equal(t, []int{runs["w1"].index()}, deferred[0].field("away_tasks"))
	f.step(StopResult{Worker: "w1", Run: runs["w1"].Order.Run, Task: runs["w1"].Order.Task, Err: common.ErrUnknownOutcome})
	require.Len(t, f.logged("stop not answered"), 1)
	f.passReady(runs, time.Second)
	resent := f.logged("stop sent again")
	require.NotEmpty(t, resent)
	require.Equal(t, 1, resent[0].field("sent"))
}

// index returns the index of the run's task in its step.
func (s StartRun) index() int {
	k, _ := parseTaskKey(s.Order.Task)
	return k.index
}
