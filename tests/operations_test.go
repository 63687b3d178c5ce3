package tests

import (
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/standin/fleet"
)

// TestOperationsPageNamesEveryLogLine checks that docs/OPERATIONS.md names every log line and
// metric of the code.
func TestOperationsPageNamesEveryLogLine(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	var files []string
	for _, g := range []string{"../job/*.go", "../commands/*.go"} {
		l, err := filepath.Glob(g)
		require.NoError(t, err)
		files = append(files, l...)
	}
	found := 0
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		b, err := os.ReadFile(f)
		require.NoError(t, err)
		for _, m := range regexp.MustCompile(`What: +"([^"]*[^" ])"`).FindAllSubmatch(b, -1) {
			found++
			require.Contains(t, string(page), "| `"+string(m[1])+"` |", "%s logs a line that the page does not name", f)
		}
		for _, m := range regexp.MustCompile(`"amberway\.(jobs|machines|owner)\.([a-z]+)"`).FindAllSubmatch(b, -1) {
			require.Contains(t, string(page), "`amberway_"+string(m[1])+"_"+string(m[2]), "%s has a metric that the page does not name", f)
		}
	}
	require.Greater(t, found, 40)
}

// The three tests below follow the steps of that page from a job's id to the cause.

func TestCauseOfARefusedJobIsFoundFromItsID(t *testing.T) {
	j := startJobs(t)
	j.Fleet.Store.SetFault(fleet.StoreFault{Refuse: true})
	code, _, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(1), shortJob("1ms"))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Eventually(t, func() bool {
		l := strings.Join(j.LogLines(`"job":"`+jobID(1)+`"`), "\n")
		return strings.Contains(l, `"msg":"intake"`) && strings.Contains(l, `"verdict":"not-run"`) && strings.Contains(l, "status 503")
	}, 2*time.Second, pollInterval)
}

func TestCauseOfALateJobIsFoundFromItsID(t *testing.T) {
	j := startJobs(t)
	_, _, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(1), fleet.Job{
		Spec: "3s", Steps: []fleet.Step{{Count: 1, CPU: 1000, MemMB: 10, EstimateMs: 3000}},
	})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return j.Fleet.Checker.RunningCount() == 1 }, jobTimeout, pollInterval)
	worker := j.Fleet.Silence(8 * time.Second)
	require.NotEmpty(t, worker)
	require.Eventually(t, func() bool { return jobState(t, j.Entries[0], "blue", jobID(1)) == succeeded }, jobTimeout, pollInterval)
	lines := strings.Join(j.LogLines(`"job":"`+jobID(1)+`"`), "\n")
	require.Equal(t, 2, strings.Count(lines, `"msg":"start"`), lines)
	require.Contains(t, lines, `"msg":"run gone"`)
	require.Contains(t, lines, worker)
	require.Contains(t, strings.Join(j.LogLines(`"worker":"`+worker+`"`), "\n"), `"msg":"worker silent"`)
}

func TestCauseOfAFailedJobIsFoundFromItsID(t *testing.T) {
	j := startJobs(t)
	_, _, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(1), fleet.Job{
		Spec: "20ms fails", Steps: []fleet.Step{{Count: 1, CPU: 1000, MemMB: 10, EstimateMs: 20}},
	})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return jobState(t, j.Entries[1], "blue", jobID(1)) == `200 {"state":"failed"}` }, jobTimeout, pollInterval)
	lines := strings.Join(j.LogLines(`"job":"`+jobID(1)+`"`), "\n")
	require.Contains(t, lines, `"msg":"job failed"`)
	require.Contains(t, lines, jobID(1)+".0.0.0 has failed as often as its queue allows")
	require.Equal(t, 3, strings.Count(lines, `"why":"failed"`), lines)
}
