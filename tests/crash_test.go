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

// crashesBorne is how many workers one task may bring down: the users bear two starts
// after three crashes.
const crashesBorne = 5

// failed is what callers get for a job that was given up.
const failed = `200 {"state":"failed"}`

// crashingJob has one task, which crashes each worker that starts it.
func crashingJob() fleet.Job {
	return fleet.Job{Spec: "crashes 1s", Steps: []fleet.Step{{Count: 1, CPU: 500, MemMB: 10, Estimate: 200}}}
}

// handIn hands a job in to the pool blue.
func handIn(t *testing.T, j *local.Jobs, id string, job fleet.Job) {
	t.Helper()
	code, body, err := j.Entries[0].Call(http.MethodPost, "blue", id, job)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code, body)
}

// TestTaskThatCrashesItsWorkersIsGivenUpWithItsJobOnly hands in a job that crashes its
// workers beside sound ones, and ends the owner at different moments on the way.
func TestTaskThatCrashesItsWorkersIsGivenUpWithItsJobOnly(t *testing.T) {
	for kills := range 3 {
		t.Run(fmt.Sprint(kills, " owners killed"), func(t *testing.T) {
			j := startJobs(t)
			for n := range 3 {
				handIn(t, j, jobID(10+n), shortJob("300ms"))
			}
			handIn(t, j, jobID(1), crashingJob())
			task := jobID(1) + ".0.0.0"
			for n := range kills {
				require.Eventually(t, func() bool { return j.Fleet.Books.Crashes(task) > n }, jobsTime, time.Millisecond)
				if o := j.Owner(); o != nil {
					o.Kill()
					require.NoError(t, j.Launch(o))
				}
			}
			require.Eventually(t, func() bool { return state(t, j.Entries[1], "blue", jobID(1)) == failed }, jobsTime, tick)
			for n := range 3 {
				require.Eventually(t, func() bool { return state(t, j.Entries[2], "blue", jobID(10+n)) == succeeded }, jobsTime, tick)
			}
			t.Logf("%d workers crashed", j.Fleet.Books.Crashes(task))
			require.LessOrEqual(t, j.Fleet.Books.Crashes(task), crashesBorne)
		})
	}
}
