package tests

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/commands"
	"amberway/internal/local"
	"amberway/internal/standin/fleet"
)

// startJobs starts three entry hosts and two pools.
func startJobs(t *testing.T) *local.JobsDeployment {
	t.Helper()
	return startJobsOn(t, 4)
}

// startJobsOn is startJobs with a given number of workers in the pool blue.
func startJobsOn(t *testing.T, blue int) *local.JobsDeployment {
	t.Helper()
	j, err := local.StartJobsDeployment(binaries, t.TempDir(), local.JobsOptions{
		Entries: 3, Workers: map[string]int{"blue": blue, "green": 3}, SpareMachines: 2,
	})
	t.Cleanup(j.Stop)
	require.NoError(t, err)
	t.Cleanup(func() { require.Empty(t, j.Fleet.Checker.Violations()) })
	return j
}

func shortJob(spec string) fleet.Job {
	return fleet.Job{Spec: spec, Steps: []fleet.Step{
		{Count: 3, CPU: 1000, MemMB: 100, EstimateMs: 200},
		{Count: 2, CPU: 1000, MemMB: 100, EstimateMs: 200, After: []int{0}},
	}}
}

func jobID(n int) string {
	return fmt.Sprintf("%016x", n+0xabc000)
}

func jobState(t *testing.T, e *local.JobsEntry, queue, id string) string {
	t.Helper()
	code, body, err := e.Call(http.MethodGet, queue, id, nil)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(code, " ", body)
}

const succeeded = `200 {"state":"succeeded"}`

// jobTimeout is how long tests wait for jobs. A change of owner takes two seconds, and a silent
// worker's lease expires after four.
const jobTimeout = 25 * time.Second

func TestJobStateIsTheSameOnEveryEntryHost(t *testing.T) {
	j := startJobs(t)
	code, body, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(1), shortJob("100ms"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code, body)
	for _, e := range j.Entries {
		require.Eventually(t, func() bool { return jobState(t, e, "blue", jobID(1)) == succeeded }, jobTimeout, pollInterval)
	}
	code, _, err = j.Entries[1].Call(http.MethodPost, "blue", jobID(1), shortJob("100ms"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code, "a second submission of an id is the same job")
	require.Equal(t, succeeded, jobState(t, j.Entries[2], "blue", jobID(1)))
	require.Equal(t, 5, j.Fleet.Checker.StartCount())
}

func TestInvalidJobRequestsAreRejected(t *testing.T) {
	j := startJobs(t)
	e := j.Entries[0]
	for name, c := range map[string]struct {
		method, queue, id string
		body              any
		code              int
	}{
		"no such queue":     {http.MethodPost, "violet", jobID(1), shortJob("1ms"), http.StatusNotFound},
		"no such job":       {http.MethodGet, "blue", jobID(2), nil, http.StatusGone},
		"nothing to cancel": {http.MethodDelete, "blue", jobID(2), nil, http.StatusGone},
		"invalid id":        {http.MethodPost, "blue", "xyz", shortJob("1ms"), http.StatusNotFound},
		"no steps":          {http.MethodPost, "blue", jobID(3), fleet.Job{Spec: "1ms"}, http.StatusBadRequest},
		"invalid job":       {http.MethodPost, "blue", jobID(3), "text", http.StatusBadRequest},
		"too large":         {http.MethodPost, "blue", jobID(3), shortJob(fmt.Sprintf("%70000d", 1)), http.StatusRequestEntityTooLarge},
		"long spec":         {http.MethodPost, "blue", jobID(3), shortJob(fmt.Sprintf("%4001d", 1)), http.StatusBadRequest},
		"other method":      {http.MethodPut, "blue", jobID(3), nil, http.StatusMethodNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			code, body, err := e.Call(c.method, c.queue, c.id, c.body)
			require.NoError(t, err)
			require.Equal(t, c.code, code, body)
		})
	}
}

func TestKilledOwnerLosesAndDuplicatesNoJob(t *testing.T) {
	j := startJobs(t)
	submitJobs := func(from, to int) {
		for n := from; n < to; n++ {
			e := j.Entries[n%3]
			if e == nil || e.Cmd.ProcessState != nil {
				e = j.Entries[(n+1)%3]
			}
			code, body, err := e.Call(http.MethodPost, "blue", jobID(n), shortJob("300ms"))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, code, body)
		}
	}
	submitJobs(0, 10)
	time.Sleep(200 * time.Millisecond)
	o := j.Owner()
	require.NotNil(t, o)
	o.Kill()
	require.NoError(t, j.Launch(o))
	require.Eventually(t, o.Ready, jobTimeout, pollInterval)
	submitJobs(10, 15)
	for n := range 15 {
		require.Eventually(t, func() bool { return jobState(t, j.Entries[n%3], "blue", jobID(n)) == succeeded }, jobTimeout, pollInterval, "job %d", n)
	}
}

func TestResumedOwnerCausesNoDuplicateRuns(t *testing.T) {
	j := startJobs(t)
	for n := range 6 {
		_, _, err := j.Entries[n%3].Call(http.MethodPost, "blue", jobID(n), shortJob("400ms"))
		require.NoError(t, err)
	}
	o := j.Owner()
	require.NotNil(t, o)
	require.NoError(t, o.Signal(syscall.SIGSTOP))
	time.Sleep(4 * time.Second)
	require.NoError(t, o.Signal(syscall.SIGCONT))
	for n := range 6 {
		require.Eventually(t, func() bool { return jobState(t, j.Entries[n%3], "blue", jobID(n)) == succeeded }, jobTimeout, pollInterval, "job %d", n)
	}
}

func TestStoppedOwnerHandsOverImmediately(t *testing.T) {
	j := startJobs(t)
	o := j.Owner()
	require.NotNil(t, o)
	require.NoError(t, o.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { n := j.Owner(); return n != nil && n != o }, time.Second, pollInterval)
	require.False(t, o.Ready())
	code, err := o.Wait(6 * time.Second)
	require.NoError(t, err)
	require.Zero(t, code)
}

func TestStoreRefusalIsReportedImmediately(t *testing.T) {
	j := startJobs(t)
	j.Fleet.Store.SetFault(fleet.StoreFault{Refuse: true})
	start := time.Now()
	code, body, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(1), shortJob("1ms"))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, code, body)
	require.Less(t, time.Since(start), time.Second)
	j.Fleet.Store.SetFault(fleet.StoreFault{})
	time.Sleep(2 * time.Second)
	require.Zero(t, j.Fleet.Checker.StartCount(), "a refused job has run")
	require.Equal(t, `410 `, jobState(t, j.Entries[0], "blue", jobID(1))[:4])
}

func TestJobWhoseStoreWriteIsUnansweredRunsOnce(t *testing.T) {
	j := startJobs(t)
	j.Fleet.Store.SetFault(fleet.StoreFault{LoseAnswers: true})
	code, _, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(1), shortJob("1ms"))
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, code, "it cannot be known whether the job was accepted")
	j.Fleet.Store.SetFault(fleet.StoreFault{})
	code, _, err = j.Entries[1].Call(http.MethodPost, "blue", jobID(1), shortJob("1ms"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code)
	require.Eventually(t, func() bool { return jobState(t, j.Entries[1], "blue", jobID(1)) == succeeded }, jobTimeout, pollInterval)
	require.Equal(t, 5, j.Fleet.Checker.StartCount())
}

func TestStoreCompactionLosesNoJob(t *testing.T) {
	j := startJobs(t)
	for n := range 10 {
		if n%3 == 0 {
			j.Fleet.Store.Compact()
		}
		code, _, err := j.Entries[n%3].Call(http.MethodPost, "green", jobID(n), shortJob("20ms"))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, code)
	}
	for n := range 10 {
		require.Eventually(t, func() bool { return jobState(t, j.Entries[n%3], "green", jobID(n)) == succeeded }, jobTimeout, pollInterval)
	}
}

func TestSilentWorkerCausesNoDuplicateRuns(t *testing.T) {
	j := startJobs(t)
	for n := range 4 {
		_, _, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(n), shortJob("1s"))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return j.Fleet.Checker.RunningCount() > 0 }, jobTimeout, pollInterval)
	require.NotEmpty(t, j.Fleet.Silence(6*time.Second))
	for n := range 4 {
		require.Eventually(t, func() bool { return jobState(t, j.Entries[0], "blue", jobID(n)) == succeeded }, jobTimeout, pollInterval)
	}
}

func TestCancelledJobStops(t *testing.T) {
	j := startJobs(t)
	long := fleet.Job{Spec: "lasts", Steps: []fleet.Step{{Count: 3, CPU: 500, MemMB: 10, Daemon: true}}}
	_, _, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(1), long)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return j.Fleet.Checker.RunningCount() == 3 }, jobTimeout, pollInterval)
	code, _, err := j.Entries[1].Call(http.MethodDelete, "blue", jobID(1), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code)
	require.Eventually(t, func() bool { return j.Fleet.Checker.RunningCount() == 0 }, 3*time.Second, pollInterval)
	require.Equal(t, `200 {"state":"cancelled"}`, jobState(t, j.Entries[2], "blue", jobID(1)))
}

func TestConfigurationIsInForceInTime(t *testing.T) {
	j := startJobs(t)
	require.NoError(t, j.Configure("violet"))
	for _, e := range j.Entries {
		require.Eventually(t, func() bool { return jobState(t, e, "violet", "")[:3] == "200" }, 2*time.Second, pollInterval)
	}
	require.NoError(t, j.Configure())
	for _, e := range j.Entries {
		require.Eventually(t, func() bool { return jobState(t, e, "violet", "")[:3] == "404" }, 2*time.Second, pollInterval)
	}
}

func TestWaveMaintainsAllMachinesWithinMaxDown(t *testing.T) {
	j := startJobs(t)
	names := j.Fleet.Names("")
	require.NoError(t, j.Fleet.RequestWave(7, names, 20*time.Second, 2))
	require.Eventually(t, func() bool {
		return j.Fleet.WaveState(7) == `{"state":"succeeded"}`
	}, jobTimeout, pollInterval)
	require.LessOrEqual(t, j.Fleet.MaxDown(7), 2)
}

func TestCrashedWorkersTasksRunElsewhere(t *testing.T) {
	j := startJobs(t)
	_, _, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(1), shortJob("1s"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return j.Fleet.Checker.RunningCount() > 0 }, jobTimeout, pollInterval)
	require.NotEmpty(t, j.Fleet.Crash(time.Second))
	require.Eventually(t, func() bool { return jobState(t, j.Entries[0], "blue", jobID(1)) == succeeded }, jobTimeout, pollInterval)
}

// TestOwnerThatLostItsKeyStartsNoLaterJob deletes the owner's key from the store while its
// lease, its watches and its connections to the workers work, as the platform sometimes does.
func TestOwnerThatLostItsKeyStartsNoLaterJob(t *testing.T) {
	j := startJobs(t)
	n := 0
	for range 8 {
		j.Fleet.Store.Remove("jobs/owner")
		for range 12 {
			code, body, err := j.Entries[n%3].Call(http.MethodPost, "green", jobID(n), fleet.Job{
				Spec: "300ms", Steps: []fleet.Step{{Count: 1, CPU: 100, MemMB: 10}},
			})
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, code, body)
			n++
		}
	}
	for i := range n {
		require.Eventually(t, func() bool { return jobState(t, j.Entries[i%3], "green", jobID(i)) == succeeded }, jobTimeout, pollInterval)
	}
	require.Empty(t, j.Fleet.Checker.Violations())
}

func TestToolShowsQueuesAndExplainsAJob(t *testing.T) {
	j := startJobs(t)
	long := fleet.Job{Spec: "lasts", Steps: []fleet.Step{{Count: 3, CPU: 500, MemMB: 10, Daemon: true}}}
	_, _, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(1), long)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return j.Fleet.Checker.RunningCount() == 3 }, jobTimeout, pollInterval)
	for _, e := range j.Entries {
		var out, errs bytes.Buffer
		code := commands.RunTool([]string{"queues", "--entry", e.Peers.String()}, &out, &errs)
		require.Zero(t, code, errs.String())
		require.Contains(t, out.String(), "r-blue")
		out.Reset()
		code = commands.RunTool([]string{"explain", "--entry", e.Peers.String(), jobID(1)}, &out, &errs)
		require.Zero(t, code, errs.String())
		require.Contains(t, out.String(), jobID(1)+".0.0.2")
		code = commands.RunTool([]string{"explain", "--entry", e.Peers.String(), jobID(2)}, &out, &errs)
		require.Equal(t, commands.ExitFailed, code)
	}
	res, err := http.Get("http://" + j.Owner().Peers.String() + "/metrics")
	require.NoError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	for _, m := range []string{"amberway_jobs_orders_total", "amberway_jobs_wait_seconds", "amberway_owner_tenures_total"} {
		require.Contains(t, string(b), m)
	}
}
