package tests

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/local"
	"amberway/internal/standin/fleet"
)

// Bounds of what a worker that starts again under its id ran before. Users take a lasting
// task for lost that does not run six seconds after its last run.
const (
	lastingRestartTimeout = 6 * time.Second
	shortRestartTimeout   = time.Second
)

// TestTasksResumeAfterWorkerRestartsUnderItsID has workers crash and start again
// under their ids, sooner than their records lapse, at the same address or another, by
// clocks that have gone back, and several times. The platform's list of machines and, for a
// while, the store show nothing: what the worker says of its start is all that tells.
func TestTasksResumeAfterWorkerRestartsUnderItsID(t *testing.T) {
	for name, a := range map[string]fleet.Restart{
		"at once":                {Times: 1},
		"with a late record":     {Times: 1, RecordAfter: 1500 * time.Millisecond, ClockOff: -3 * time.Second},
		"at another address":     {Times: 1, Moves: true, DownFor: 100 * time.Millisecond, RecordAfter: 200 * time.Millisecond},
		"three times":            {Times: 3, DownFor: 50 * time.Millisecond, RecordAfter: 300 * time.Millisecond, ClockOff: 2 * time.Second},
		"down for a second each": {Times: 2, DownFor: time.Second, RecordAfter: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			j := startJobsOn(t, 1)
			submit(t, j, jobID(1), lastingJob())
			// The ends of before have numbers that those of the next incarnation have again.
			runShortJobs(t, j, 10)
			require.Eventually(t, func() bool { return allRun(j, jobID(1)) }, jobTimeout, pollInterval)
			began := time.Now()
			require.NotEmpty(t, j.Fleet.Restart(a))
			back := began.Add(time.Duration(a.Times) * a.DownFor)
			require.Eventually(t, func() bool { return time.Now().After(back) && allRun(j, jobID(1)) }, time.Until(back)+lastingRestartTimeout, pollInterval)
			t.Logf("lasting tasks run %s after the crash", time.Since(began).Round(time.Millisecond))
			runShortJobs(t, j, 20)
			require.NotEmpty(t, j.Fleet.Restart(a))
			runShortJobs(t, j, 30)
			require.Empty(t, j.Fleet.Checker.Violations(), "no task runs twice")
		})
	}
}

// runShortJobs hands in jobs, with ids from n on, and waits until they have succeeded.
func runShortJobs(t *testing.T, j *local.JobsDeployment, n int) {
	t.Helper()
	const jobs = 6
	for i := range jobs {
		submit(t, j, jobID(n+i), shortJob("200ms"))
	}
	for i := range jobs {
		require.Eventually(t, func() bool { return jobState(t, j.Entries[i%2], "blue", jobID(n+i)) == succeeded }, jobTimeout, pollInterval)
	}
}

// TestShortTaskRestartsSoonAfterItsWorker measures it from the record.
func TestShortTaskRestartsSoonAfterItsWorker(t *testing.T) {
	j := startJobs(t)
	submit(t, j, jobID(1), shortJob("30s"))
	task := fmt.Sprint(jobID(1), ".0.0.0")
	require.Eventually(t, func() bool { return j.Fleet.Checker.IsRunning(task) }, jobTimeout, pollInterval)
	began := time.Now()
	require.NotEmpty(t, j.Fleet.Restart(fleet.Restart{Times: 1, Moves: true}))
	require.Eventually(t, func() bool { return j.Fleet.Checker.IsRunning(task) }, shortRestartTimeout, pollInterval)
	t.Logf("the task runs %s after the record", time.Since(began).Round(time.Millisecond))
}
