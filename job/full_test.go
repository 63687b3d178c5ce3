package job

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// saidFull returns what the owner has last said of its queues.
func (f *fixture) saidFull() Full {
	var v Full
	for _, a := range f.out {
		if k, ok := a.(Keep); ok {
			for _, p := range k.Puts {
				if p.Key == fullKey {
					v = Full{}
					require.NoError(f.t, json.Unmarshal(p.Value, &v))
				}
			}
		}
	}
	return v
}

// run lets time pass with all orders answered at once.
func (f *fixture) run(d time.Duration) (started int) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.pass(tickEvery)
		for _, s := range f.starts() {
			f.took(s)
			started++
		}
	}
	return started
}

// TestQueuesAreFullWhereTheirStartsCannotBeSentInTime has an owner behind a link that
// carries some 150 starts a second, and work of both priorities for ten seconds of it.
func TestQueuesAreFullWhereTheirStartsCannotBeSentInTime(t *testing.T) {
	f := newFixture(t)
	f.core.flow = newFlow(Size{Link: 0.4}, f.now)
	w := testWorker("w1")
	w.Capacity = platform.Resources{MilliCores: 1 << 40, MemoryMB: 1 << 40}
	f.step(WorkerListed{Worker: w})
	f.answer("w1", platform.Look{})
	f.run(2 * time.Second)
	s := oneTask()
	s.Count = 10
	submit := func(from, n int, queue string) {
		for i := range n {
			f.submit(fmt.Sprintf("%016x", from+i), queue, s)
		}
	}
	submit(0, 2, "patient")
	f.run(3 * time.Second)
	require.Empty(t, f.saidFull().Waits, "all of it can be sent in a second")
	submit(1000, 150, "patient")
	started := f.run(2 * time.Second)
	require.Less(t, started, 400)
	full := f.saidFull()
	require.Equal(t, f.core.fence, full.Fence)
	require.Contains(t, full.Waits, "patient")
	require.NotContains(t, full.Waits, "quick", "what is more urgent goes first")
	require.Greater(t, full.Waits["patient"], int64(1000))
	submit(2000, 150, "quick")
	f.run(2 * time.Second)
	require.Contains(t, f.saidFull().Waits, "quick")
	for i := range 150 {
		f.step(CancelAsked{ID: ID(fmt.Sprintf("%016x", 1000+i))})
		f.step(CancelAsked{ID: ID(fmt.Sprintf("%016x", 2000+i))})
	}
	f.run(2 * time.Second)
	require.Empty(t, f.saidFull().Waits, "there is room again")
}

// TestJobOfAFullQueueIsRefusedAtOnceUnlessItWasTaken asks an entry host whose owner has
// said that a queue is full.
func TestJobOfAFullQueueIsRefusedAtOnceUnlessItWasTaken(t *testing.T) {
	s := newStoreFixture(t)
	n := newTestNode(t, s)
	go n.intake.run(t.Context())
	n.routes.Store(newRoutes(testConfig()))
	o := s.claim(t, "another")
	say := func(f Full) {
		b, err := json.Marshal(f)
		require.NoError(t, err)
		n.election.take(platform.Entry{Key: fullKey, Value: b})
	}
	n.election.set(Owner{Name: "another", Fence: o.tenure.fence})
	post := func(id, prefix string) *httptest.ResponseRecorder {
		body := strings.NewReader(`{"spec":"s","steps":[{"count":1,"cpu":100}]}`)
		w := httptest.NewRecorder()
		n.Callers().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://h/"+prefix+"/"+id, body))
		return w
	}
	require.Equal(t, http.StatusOK, post(idA, "q").Code)
	say(Full{Fence: o.tenure.fence, Waits: map[string]int64{"quick": 6000}})
	require.Equal(t, http.StatusOK, post(idA, "q").Code, "a copy of a job that was taken")
	w := post(idB, "q")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "6", w.Header().Get("Retry-After"))
	_, there := s.Value(newKey(idB))
	require.False(t, there, "what was refused was never sent")
	require.Equal(t, http.StatusOK, post(idB, "p").Code, "the other queue is not full")
	const idC, idD = "00000000000000cc", "00000000000000dd"
	say(Full{Fence: o.tenure.fence - 1, Waits: map[string]int64{"quick": 6000}})
	require.Equal(t, http.StatusServiceUnavailable, post(idC, "q").Code, "the new owner has not said anything yet")
	say(Full{Fence: o.tenure.fence})
	require.Equal(t, http.StatusOK, post(idC, "q").Code, "its own word counts")
	say(Full{Fence: o.tenure.fence - 1, Waits: map[string]int64{"quick": 6000}})
	n.election.fullAt = n.election.fullAt.Add(-fullOutlasts)
	require.Equal(t, http.StatusOK, post(idD, "q").Code, "an earlier owner's word does not hold for ever")
}

// A takeover on a narrow link takes seconds, in which nobody says that queues are full: all
// jobs that came were taken, and stood behind those that the queues had been full of.
func TestNextOwnerSaysAtOnceWhichQueuesAreFull(t *testing.T) {
	f := newFixture(t)
	f.core.flow = newFlow(Size{Link: 2}, f.now)
	s := oneTask()
	s.Count = 100
	e := Inherited{Config: testConfig(), Workers: []platform.Worker{testWorker("w1")}, Full: Full{Fence: 50, Waits: map[string]int64{"quick": 3000, "patient": 3000}}}
	for i := range 20 {
		rec := NewRecord(f.core.queues["quick"], platform.Submission{Spec: "s", Steps: []platform.Step{s}}, f.now)
		e.Jobs = append(e.Jobs, Accepted{ID: ID(fmt.Sprintf("%016x", i)), Record: rec, Created: 50})
	}
	f.step(e)
	full := f.saidFull()
	require.Equal(t, f.core.fence, full.Fence)
	require.Contains(t, full.Waits, "quick")
	f.pass(time.Second)
	require.Contains(t, f.saidFull().Waits, "quick")
}

// A next owner that finds room opens the queues that the one before had closed.
func TestNextOwnerOpensQueuesThatAreNotFull(t *testing.T) {
	f := newFixture(t)
	f.step(Inherited{Config: testConfig(), Full: Full{Fence: 50, Waits: map[string]int64{"quick": 3000}}})
	full := f.saidFull()
	require.Equal(t, f.core.fence, full.Fence)
	require.Empty(t, full.Waits)
}

// An owner whose link carries some 150 starts a second takes what can begin soon, and no
// more: with the bounds at 4 and 10 s a job that came later waited for all of that.
func TestWhatIsTakenBeginsSoonWhereALinkBinds(t *testing.T) {
	f := newFixture(t)
	f.core.flow = newFlow(Size{Link: 0.4}, f.now)
	w := testWorker("w1")
	w.Capacity = platform.Resources{MilliCores: 1 << 40, MemoryMB: 1 << 40}
	f.step(WorkerListed{Worker: w})
	f.answer("w1", platform.Look{})
	s := oneTask()
	s.Count = 10
	taken, longest := 0, 0
	for i := range 400 {
		// Twice as much comes as the link carries.
		if _, full := f.saidFull().Waits["quick"]; !full {
			f.submit(fmt.Sprintf("%016x", i), "quick", s)
			taken++
		}
		f.run(tickEvery)
		waits := f.core.startsWaiting().before(1)
		longest = max(longest, waits.inTime+waits.late)
	}
	require.Less(t, taken, 390, "not all can be taken")
	require.Greater(t, taken, 100)
	require.Less(t, float64(longest)/f.core.flow.starts, 3.0, "seconds of starts that wait at the most")
}
