package tests

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/local"
	"amberway/internal/standin/fleet"
)

// maxCrashes is how many workers one task may crash: after three crashes, users accept at most
// two more starts.
const maxCrashes = 5

// failed is the answer for a job that has failed.
const failed = `200 {"state":"failed"}`

// crashingJob returns a job with one task, which crashes each worker that starts it.
func crashingJob() fleet.Job {
	return fleet.Job{Spec: "crashes 1s", Steps: []fleet.Step{{Count: 1, CPU: 500, MemMB: 10, EstimateMs: 200}}}
}

// submit submits a job to the queue blue.
func submit(t *testing.T, j *local.JobsDeployment, id string, job fleet.Job) {
	t.Helper()
	code, body, err := j.Entries[0].Call(http.MethodPost, "blue", id, job)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code, body)
}

// TestTaskThatCrashesWorkersFailsOnlyItsJob submits a job that crashes its workers next to
// healthy jobs, and kills the owner up to two times while workers crash.
func TestTaskThatCrashesWorkersFailsOnlyItsJob(t *testing.T) {
	for kills := range 3 {
		t.Run(fmt.Sprint(kills, " owners killed"), func(t *testing.T) {
			j := startJobs(t)
			for n := range 3 {
				submit(t, j, jobID(10+n), shortJob("300ms"))
			}
			submit(t, j, jobID(1), crashingJob())
			task := jobID(1) + ".0.0.0"
			for n := range kills {
				require.Eventually(t, func() bool { return j.Fleet.Checker.CrashCount(task) > n }, jobTimeout, time.Millisecond)
				if o := j.Owner(); o != nil {
					o.Kill()
					require.NoError(t, j.Launch(o))
				}
			}
			require.Eventually(t, func() bool { return jobState(t, j.Entries[1], "blue", jobID(1)) == failed }, jobTimeout, pollInterval)
			for n := range 3 {
				require.Eventually(t, func() bool { return jobState(t, j.Entries[2], "blue", jobID(10+n)) == succeeded }, jobTimeout, pollInterval)
			}
			t.Logf("%d workers crashed", j.Fleet.Checker.CrashCount(task))
			require.LessOrEqual(t, j.Fleet.Checker.CrashCount(task), maxCrashes)
		})
	}
}
