package tests

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/commands"
	"amberway/internal/local"
	"amberway/internal/standin/fleet"
)

// TestTeamsNeedKeysAndStayWithinTheirCap runs a deployment whose callers need keys: each entry
// host refuses callers without a valid key, some tasks of a job that needs more than the team's
// cap wait, and amberwayctl shows why.
func TestTeamsNeedKeysAndStayWithinTheirCap(t *testing.T) {
	j, err := local.StartJobsDeployment(binaries, t.TempDir(), local.JobsOptions{
		Entries: 3, Workers: map[string]int{"blue": 2, "green": 2}, SpareMachines: 1, KeysWithin: 5 * time.Second,
	})
	t.Cleanup(j.Stop)
	require.NoError(t, err)
	// The cap is 19.2 cores. The pool has 16, plus 8 of the spare host.
	wide := fleet.Job{Spec: "lasts", Steps: []fleet.Step{{Count: 24, CPU: 1000, MemMB: 10, Daemon: true}}}
	for _, e := range j.Entries {
		code, _, err := e.CallWithKey("of-nobody", http.MethodPost, "blue", jobID(1), wide)
		require.NoError(t, err)
		require.Equal(t, http.StatusUnauthorized, code)
		require.Contains(t, runTool(t, "explain", "--entry", e.Peers.String(), jobID(1)), "no such key")
	}
	code, body, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(2), wide)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code, body)
	require.Eventually(t, func() bool { return j.Fleet.Checker.RunningCount() == 19 }, jobTimeout, pollInterval)
	require.Never(t, func() bool { return j.Fleet.Checker.RunningCount() > 19 }, time.Second, pollInterval)
	require.Contains(t, runTool(t, "explain", "--entry", j.Entries[1].Peers.String(), jobID(2)), "over the team's cap")
	teams := runTool(t, "teams", "--entry", j.Entries[2].Peers.String())
	require.Regexp(t, `team +100 +19\.0 +19\.2 `, teams)

	require.NoError(t, j.Configure("violet"))
	violet := local.KeyForQueues("violet")
	statusWithKey := func(e *local.JobsEntry, key string) int {
		code, _, err := e.CallWithKey(key, http.MethodGet, "blue", jobID(2), nil)
		require.NoError(t, err)
		return code
	}
	for _, e := range j.Entries {
		require.Eventually(t, func() bool { return statusWithKey(e, violet) == http.StatusOK }, jobTimeout, pollInterval)
	}
	require.NoError(t, j.Configure())
	for _, e := range j.Entries {
		require.Eventually(t, func() bool { return statusWithKey(e, violet) == http.StatusUnauthorized }, jobTimeout, pollInterval)
	}
}

// runTool runs amberwayctl and returns its output.
func runTool(t *testing.T, args ...string) string {
	var out, errs bytes.Buffer
	require.Zero(t, commands.RunTool(args, &out, &errs), errs.String())
	return out.String()
}
