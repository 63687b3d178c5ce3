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

// TestTeamsNeedKeysAndStayWithinTheirCap runs the programs: callers without a key
// in force are turned away by each entry host, a job that asks for more than the team's cap
// waits in part, and the tool says why.
func TestTeamsNeedKeysAndStayWithinTheirCap(t *testing.T) {
	j, err := local.StartJobsDeployment(binaries, t.TempDir(), local.JobsOptions{
		Entries: 3, Workers: map[string]int{"blue": 2, "green": 2}, SpareMachines: 1, KeysWithin: 5 * time.Second,
	})
	t.Cleanup(j.Stop)
	require.NoError(t, err)
	// The cap is 19.2 cores, and the pool has 16 with the spare host's 8 more.
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
	in := func(e *local.JobsEntry, key string) int {
		code, _, err := e.CallWithKey(key, http.MethodGet, "blue", jobID(2), nil)
		require.NoError(t, err)
		return code
	}
	for _, e := range j.Entries {
		require.Eventually(t, func() bool { return in(e, violet) == http.StatusOK }, jobTimeout, pollInterval)
	}
	require.NoError(t, j.Configure())
	for _, e := range j.Entries {
		require.Eventually(t, func() bool { return in(e, violet) == http.StatusUnauthorized }, jobTimeout, pollInterval)
	}
}

// runTool runs amberwayctl and returns what it prints.
func runTool(t *testing.T, args ...string) string {
	var out, errs bytes.Buffer
	require.Zero(t, commands.RunTool(args, &out, &errs), errs.String())
	return out.String()
}
