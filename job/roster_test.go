package job

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// written returns the size of the values in all writes since the last call.
func (f *fixture) written() int {
	n := 0
	for _, a := range f.out {
		if k, ok := a.(WriteStore); ok {
			for _, p := range k.Puts {
				n += len(p.Value)
			}
		}
	}
	f.out = nil
	return n
}

// answerFirstPolls answers the first poll of each worker.
func (f *fixture) answerFirstPolls(l []platform.Worker) {
	for len(l) > 0 {
		f.advance(tickEvery)
		l = slices.DeleteFunc(l, func(w platform.Worker) bool {
			_, polled := f.polls[w.ID]
			if polled {
				f.answer(string(w.ID), platform.PollReply{})
			}
			return polled
		})
	}
}

// Written as a whole, a roster of 400 workers takes 30 kB for each worker that comes or goes.
func TestOnlyChangedRosterShardsAreWritten(t *testing.T) {
	f := newFixture(t)
	var l []platform.Worker
	for i := range 400 {
		l = append(l, testWorker(fmt.Sprint("w", i)))
	}
	f.step(Inherited{Config: testConfig(), Workers: l})
	f.answerFirstPolls(l)
	f.advance(time.Second)
	require.Len(t, f.roster().Workers, 400)
	whole := f.written()
	f.join("another")
	f.advance(time.Second)
	require.True(t, f.roster().has("another"))
	require.Less(t, f.written(), whole/10)
}

// Workers whose entries in the previous owner's roster are up to date may get starts at once,
// before this owner has written anything.
func TestNextOwnerDoesNotRewriteAnUnchangedRoster(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	f.advance(time.Second)
	next := newOwnerFixture(t, 200)
	next.holdWrites = true
	next.step(Inherited{Config: testConfig(), Workers: []platform.Worker{testWorker("w1"), testWorker("w2"), testWorker("w3")}, Roster: f.roster()})
	for _, id := range []string{"w1", "w2", "w3"} {
		next.answer(id, platform.PollReply{})
	}
	s := oneTask()
	s.Count = 12
	next.submit(idA, "quick", s)
	l := next.starts()
	require.Len(t, l, 8, "two workers of four cores")
	for _, r := range l {
		require.NotEqual(t, platform.WorkerID("w3"), r.Worker.ID, "the next owner would not know of w3")
	}
	next.step(WriteResult{Number: next.core.writeNumber})
	next.advance(tickEvery)
	require.Len(t, next.starts(), 4)
}

// Earlier versions stored the roster as one value, which is replaced by shards.
func TestLegacyRosterIsConverted(t *testing.T) {
	b := `{"w":[{"i":"w1","s":"blue","a":"10.0.0.1:80","h":"host-of-w1"}],"o":["host-of-w9"]}`
	r := readRoster([]platform.Entry{{Key: legacyRosterKey, Value: []byte(b)}, {Key: writeKey, Value: []byte("7.1")}})
	require.Equal(t, []string{"host-of-w9"}, r.Ordered)
	f := newFixture(t)
	f.ownerKeys[legacyRosterKey] = []byte(b)
	f.step(Inherited{Config: testConfig(), Roster: r})
	f.advance(time.Second)
	require.NotContains(t, f.ownerKeys, legacyRosterKey)
	require.True(t, f.roster().has("w1"))
}

// The failed write holds a shard of the roster.
func TestFailedRosterWriteIsRetried(t *testing.T) {
	f := newFixture(t)
	f.holdWrites = true
	f.join("w1")
	f.ownerKeys = ownerStore{}
	f.step(WriteResult{Number: f.core.writeNumber, Err: platform.ErrRefused})
	f.holdWrites = false
	f.advance(2 * writeRetry)
	require.True(t, f.roster().has("w1"))
	require.True(t, f.core.workers["w1"].inRoster)
}

// One task of each of 25 jobs has ended. Such a job takes one entry of a write, a final job
// three.
func TestWriteHoldsAsManyJobsAsFit(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	s := oneTask()
	s.MilliCores = 100
	tooLarge := platform.Step{Count: 1, After: []int{0}, Resources: platform.Resources{MilliCores: 9000}}
	var rows []platform.EndedRow
	for i := range 25 {
		f.submit(fmt.Sprintf("%016x", i), "quick", s, tooLarge)
		for _, l := range f.starts() {
			f.acceptStart(l)
			rows = append(rows, ended(int64(i+1), l, platform.EndDone))
		}
	}
	f.advance(time.Second)
	f.out = nil
	f.holdWrites = true
	f.answer("w1", platform.PollReply{Ended: rows})
	f.advance(200 * time.Millisecond)
	var puts []platform.Put
	for _, a := range f.out {
		if k, ok := a.(WriteStore); ok {
			puts = append(puts, k.Puts...)
		}
	}
	require.Len(t, puts, 25)
}
