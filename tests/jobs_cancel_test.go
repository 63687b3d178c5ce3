package tests

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/local"
	"amberway/internal/standin/fleet"
)

// otherEntries are the entry hosts beside one.
func otherEntries(j *local.JobsDeployment, o *local.JobsEntry) []*local.JobsEntry {
	var l []*local.JobsEntry
	for _, e := range j.Entries {
		if e != o {
			l = append(l, e)
		}
	}
	return l
}

// The owner is gone for good when the job is cancelled: the next one, which never
// started a task of it, ends the runs.
func TestRunsOfRemovedOwnerEndWhenTheirJobIsCancelled(t *testing.T) {
	j := startJobs(t)
	long := fleet.Job{Spec: "lasts", Steps: []fleet.Step{{Count: 6, CPU: 500, MemMB: 10, Daemon: true}}}
	_, _, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(1), long)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return j.Fleet.Checker.RunningCount() == 6 }, jobTimeout, pollInterval)
	o := j.Owner()
	require.NotNil(t, o)
	o.Kill()
	left := otherEntries(j, o)
	code, _, err := left[0].Call(http.MethodDelete, "blue", jobID(1), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code)
	require.Eventually(t, func() bool { return j.Fleet.Checker.RunningCount() == 0 }, 3900*time.Millisecond, pollInterval, "their leases would lapse after four seconds")
	require.Equal(t, `200 {"state":"cancelled"}`, jobState(t, left[1], "blue", jobID(1)))
}
