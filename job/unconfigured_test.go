package job

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// A record in the store may come from another writer and name a service that is not
// configured. Its worker is not used and not even polled.
func TestWorkerOfAnUnconfiguredServiceIsNotPolled(t *testing.T) {
	f := newFixture(t)
	w := testWorker("w1")
	w.Service = "violet"
	f.step(WorkerListed{Worker: w})
	f.advance(time.Second)
	require.Empty(t, f.polls)
	require.False(t, f.roster().has("w1"))

	f.join("w2")
	f.submit(idA, "quick", oneTask())
	require.Len(t, f.starts(), 1, "other workers are used")
}

func TestWorkerIsUsedOnceItsServiceIsConfigured(t *testing.T) {
	f := newFixture(t)
	w := testWorker("w1")
	w.Service = "violet"
	f.step(WorkerList{w})
	c := testConfig()
	c.Version = 2
	c.Services = append(c.Services, platform.Service{Name: "violet"})
	f.step(ConfigChanged{Config: c})
	require.Contains(t, f.polls, platform.WorkerID("w1"))
}

// A worker that was removed before its service is configured is not used.
func TestRemovedWorkerIsNotUsedOnceItsServiceIsConfigured(t *testing.T) {
	for name, gone := range map[string]Event{"one": WorkerUnlisted{Name: "w1"}, "all": WorkerList{}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			w := testWorker("w1")
			w.Service = "violet"
			f.step(WorkerListed{Worker: w})
			f.step(gone)
			c := testConfig()
			c.Version = 2
			c.Services = append(c.Services, platform.Service{Name: "violet"})
			f.step(ConfigChanged{Config: c})
			require.Empty(t, f.polls)
		})
	}
}

// The runs of a worker go on when its service is removed from the configuration.
func TestWorkerOfADroppedServiceKeepsItsRuns(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", oneTask())
	l := f.starts()
	require.Len(t, l, 1)
	f.acceptStart(l[0])
	c := testConfig()
	c.Version = 2
	c.Services = c.Services[1:]
	f.step(ConfigChanged{Config: c})
	f.advance(pollWait)
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], 50)}})
	f.step(WorkerListed{Worker: testWorker("w1")})
	require.Len(t, f.core.workers["w1"].runs, 1)
}

// A record that no entry host can have written is rejected, and does not keep an owner from
// taking over.
func TestInvalidJobRecordIsRejected(t *testing.T) {
	for name, e := range map[string]platform.Entry{
		"not an object": {Key: recordKey(idA), Value: []byte(`[1]`)},
		"no steps":      {Key: recordKey(idA), Value: []byte(`{"q":"quick","s":"blue"}`)},
		"cyclic steps":  {Key: recordKey(idA), Value: []byte(`{"q":"quick","s":"blue","w":[{"n":1,"a":[1]},{"n":1,"a":[0]}]}`)},
		"no queue":      {Key: recordKey(idA), Value: []byte(`{"w":[{"n":1}]}`)},
		"no id":         {Key: recordPrefix + "x", Value: []byte(`{"q":"quick","s":"blue","w":[{"n":1}]}`)},
	} {
		_, _, err := decodeRecord(e)
		require.Error(t, err, name)
	}
}

func TestInvalidProgressIsRejected(t *testing.T) {
	for name, v := range map[string]string{
		"not an object":  `3`,
		"unknown state":  `{"s":"resting"}`,
		"a time below 0": `{"s":"running","p":-1}`,
		"a step below 0": `{"s":"running","i":{"0":{"f":[{"s":-1,"i":0,"r":[1]}]}}}`,
		"a task below 0": `{"s":"running","i":{"0":{"f":[{"s":0,"i":-1,"r":[1]}]}}}`,
	} {
		_, _, err := decodeProgress(platform.Entry{Key: progressKey(idA), Value: []byte(v)})
		require.Error(t, err, name)
	}
}

// An unreadable part of the roster may name workers with runs. Jobs of earlier owners
// wait until the leases of such workers must have expired; new jobs start at once.
func TestUnreadableRosterDelaysInheritedJobsOnly(t *testing.T) {
	r := ownerStore{rosterShardKey(3): []byte(`{"x":`), rosterShardKey(4): []byte(`[{"i":"w9","s":"green","a":"10.0.0.9:80"}]`)}.roster()
	require.True(t, r.has("w9"))

	f := newFixture(t)
	rec := NewRecord(f.core.queues["quick"], platform.Submission{Spec: "s", Steps: []platform.Step{oneTask()}}, f.now)
	r.Workers = []RosterEntry{{ID: "w1", Service: "blue", Host: "host-of-w1", Address: netip.MustParseAddrPort("10.0.0.1:80")}}
	f.step(Inherited{Config: testConfig(), Workers: []platform.Worker{testWorker("w1")}, Jobs: []Accepted{{ID: idA, Record: rec, Created: 50}}, Roster: r})
	f.answer("w1", platform.PollReply{})
	f.advance(inheritedLease - 100*time.Millisecond)
	require.Empty(t, f.starts())
	f.submit(idB, "quick", oneTask())
	require.Len(t, f.starts(), 1)
	f.advance(time.Second)
	require.Len(t, f.starts(), 1)
}
