package tests

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/local"
	"amberway/internal/standin/fleet"
)

// lastingJob returns a job whose tasks run until it is cancelled.
func lastingJob() fleet.Job {
	return fleet.Job{Spec: "lasts", Steps: []fleet.Step{{Count: lastingTasks, CPU: 500, MemMB: 10, Daemon: true}}}
}

// lastingTasks is the number of tasks of a lastingJob.
const lastingTasks = 4

// allRun reports whether all tasks of a lasting job run.
func allRun(j *local.JobsDeployment, id string) bool {
	for x := range lastingTasks {
		if !j.Fleet.Checker.IsRunning(fmt.Sprintf("%s.0.0.%d", id, x)) {
			return false
		}
	}
	return true
}

// Times of the restart of a removed host's tasks by the next owner.
const (
	// ownerKillDelay is the time between the removal of a host and the kill of the owner,
	// which still waits for the host's lease to expire then.
	ownerKillDelay = time.Second
	// restartTimeout is how long after the kill all lasting tasks have to run again: the
	// owner's lease expires after 1.5 s, the next owner takes over within half a second, and
	// the last lease that a worker got before the kill expires 4.2 s after the kill on a slow
	// clock. The rest is slack.
	restartTimeout = 8 * time.Second
)

// TestLastingTasksOfARemovedHostAreRestartedByTheNextOwner removes a host with lasting tasks
// for good, together with its record and its entry in the machine list, and kills the owner
// before the host's lease has expired.
func TestLastingTasksOfARemovedHostAreRestartedByTheNextOwner(t *testing.T) {
	for name, r := range map[string]fleet.Removal{
		"connections are refused": {},
		"connections hang":        {Hangs: true},
	} {
		t.Run(name, func(t *testing.T) {
			j := startJobs(t)
			code, _, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(1), lastingJob())
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, code)
			require.Eventually(t, func() bool { return allRun(j, jobID(1)) }, jobTimeout, pollInterval)
			id, _ := j.Fleet.MostLasting()
			require.Eventually(t, func() bool { return inRoster(j, id) }, jobTimeout, pollInterval)

			require.NoError(t, j.Fleet.Remove(id, r))
			require.False(t, allRun(j, jobID(1)))
			time.Sleep(ownerKillDelay)
			require.False(t, allRun(j, jobID(1)), "the next owner has to restart them, not this one")
			o := j.Owner()
			require.NotNil(t, o)
			o.Kill()
			killed := time.Now()
			require.Eventually(t, func() bool { return allRun(j, jobID(1)) }, jobTimeout, pollInterval)
			took := time.Since(killed)
			t.Logf("all tasks run %s after the owner was killed", took.Round(time.Millisecond))
			require.Less(t, took, restartTimeout)
		})
	}
}

// rosterShards is the number of shards of the roster of workers that an owner stores for its
// successor.
const rosterShards = 64

// inRoster reports whether the worker is in the stored roster.
func inRoster(j *local.JobsDeployment, id string) bool {
	for shard := range rosterShards {
		b, _ := j.Fleet.Store.Value(fmt.Sprintf("owner/workers/%02d", shard))
		if id != "" && strings.Contains(string(b), id) {
			return true
		}
	}
	return false
}
