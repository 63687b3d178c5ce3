package tests

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/local"
	"amberway/internal/standin/fleet"
)

// otherEntries returns the entry hosts except one.
func otherEntries(j *local.JobsDeployment, o *local.JobsEntry) []*local.JobsEntry {
	var l []*local.JobsEntry
	for _, e := range j.Entries {
		if e != o {
			l = append(l, e)
		}
	}
	return l
}

// TestRunsOfRemovedOwnerEndWhenTheirJobIsCancelled cancels a job after its owner was killed for
// good. The next owner, which has started none of the job's tasks, has to stop the runs.
func TestRunsOfRemovedOwnerEndWhenTheirJobIsCancelled(t *testing.T) {
	j := startJobs(t)
	long := fleet.Job{Spec: "lasts", Steps: []fleet.Step{{Count: 6, CPU: 500, MemMB: 10, Daemon: true}}}
	_, _, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(1), long)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return j.Fleet.Checker.RunningCount() == 6 }, jobTimeout, pollInterval)
	o := j.Owner()
	require.NotNil(t, o)
	o.Kill()
	others := otherEntries(j, o)
	code, _, err := others[0].Call(http.MethodDelete, "blue", jobID(1), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code)
	require.Eventually(t, func() bool { return j.Fleet.Checker.RunningCount() == 0 }, 3900*time.Millisecond, pollInterval, "their leases expire only after four seconds")
	require.Equal(t, `200 {"state":"cancelled"}`, jobState(t, others[1], "blue", jobID(1)))
}
