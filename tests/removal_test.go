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

// lastingJob has tasks that run until they are cancelled.
func lastingJob() fleet.Job {
	return fleet.Job{Spec: "lasts", Steps: []fleet.Step{{Count: lastingTasks, CPU: 500, MemMB: 10, Daemon: true}}}
}

// lastingTasks is how many tasks the lasting job of a test has.
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

// Times of the next owner's way to the tasks of a removed host.
const (
	// ownerKillDelay is how long after a host was removed its owner is killed: it
	// has not given up the host's lease by then.
	ownerKillDelay = time.Second
	// restartTimeout is how long after the kill lasting tasks have to be at work
	// again: the owner's lease ends after 1.5 s, the next one takes over within
	// half a second, and the last lease that a worker got before the kill is over
	// 4.2 s after it on a slow clock. The rest is slack.
	restartTimeout = 8 * time.Second
)

// TestLastingTasksOfARemovedHostAreRestartedByTheNextOwner takes a host with
// lasting tasks away for good, with its record and its line in the list of
// machines, and kills the owner before that has given the host's lease up.
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
			require.False(t, allRun(j, jobID(1)), "the next owner is to start them")
			o := j.Owner()
			require.NotNil(t, o)
			o.Kill()
			begun := time.Now()
			require.Eventually(t, func() bool { return allRun(j, jobID(1)) }, jobTimeout, pollInterval)
			took := time.Since(begun)
			t.Logf("at work %s after the owner's kill", took.Round(time.Millisecond))
			require.Less(t, took, restartTimeout)
		})
	}
}

// rosterShards is in how many parts the store holds what an owner tells the next.
const rosterShards = 64

// inRoster reports whether the store tells the next owner of the worker.
func inRoster(j *local.JobsDeployment, id string) bool {
	for part := range rosterShards {
		b, _ := j.Fleet.Store.Value(fmt.Sprintf("owner/workers/%02d", part))
		if id != "" && strings.Contains(string(b), id) {
			return true
		}
	}
	return false
}
