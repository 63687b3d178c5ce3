package tests

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"amberway/admin"
	"amberway/internal/local"
)

// runCtl runs amberwayctl against the entry host and returns its exit code, its output and
// its error output.
func runCtl(t *testing.T, e *local.Entry, args ...string) (code int, out, errs string) {
	t.Helper()
	var o, f bytes.Buffer
	c := exec.CommandContext(t.Context(), filepath.Join(binaries, "amberwayctl"), args...)
	c.Env = append(os.Environ(), "AMBERWAY_ADMIN_URL=http://"+e.Admin.String(), "AMBERWAY_ADMIN_TOKEN="+local.AdminToken)
	c.Stdout = &o
	c.Stderr = &f
	_ = c.Run()
	return c.ProcessState.ExitCode(), o.String(), f.String()
}

// writeDocument writes a document to a file and returns the file's name.
func writeDocument(t *testing.T, doc []byte) string {
	t.Helper()
	n := filepath.Join(t.TempDir(), "fleet.yaml")
	require.NoError(t, os.WriteFile(n, doc, 0o600))
	return n
}

func TestOperatorsTool(t *testing.T) {
	d := startDeployment(t)
	e := d.Entries[0]
	code, out, errs := runCtl(t, e, "--json", "config", "apply", "--wait", "--base", "1", writeDocument(t, document(d, 0)))
	require.Zero(t, code, errs)
	var a admin.ApplyResult
	require.NoError(t, json.Unmarshal([]byte(out), &a))
	require.Equal(t, int64(2), a.Generation)
	for _, v := range d.Entries {
		c, err := v.Client().Config(t.Context())
		require.NoError(t, err)
		require.Equal(t, int64(2), c.Generation, "--wait returned before %s had the configuration", v.Name)
	}
	code, _, errs = runCtl(t, e, "config", "apply", "--base", "1", writeDocument(t, document(d, 2)))
	require.Equal(t, 3, code)
	require.Contains(t, errs, "base generation 1 is stale, 2 is in force")
	require.Contains(t, errs, "pool/tint")
	code, _, errs = runCtl(t, e, "wave", "start", "nothing")
	require.Equal(t, 1, code)
	require.Contains(t, errs, `there is no wave "nothing"`)
	code, _, errs = runCtl(t, e, "host", "drain", "nobody")
	require.Equal(t, 1, code)
	require.Contains(t, errs, "no such host")
	for _, c := range []string{"status", "pool", "host", "job", "wave", "dump", "config show"} {
		code, out, errs = runCtl(t, e, strings.Fields(c)...)
		require.Zero(t, code, "%s: %s", c, errs)
		require.NotEmpty(t, out, c)
	}
	_, _, errs = runCtl(t, e, "config", "apply", "--wait", writeDocument(t, document(d, 3)))
	require.Empty(t, errs)
	code, _, errs = runCtl(t, e, "host", "drain", "tint-north-0")
	require.Zero(t, code, errs)
	for _, v := range d.Entries[:2] {
		require.Eventually(t, func() bool {
			_, out, _ := runCtl(t, v, "host")
			return strings.Contains(out, "the budget of pool tint does not allow it")
		}, waitTimeout, pollInterval, "%s shows why the host is not drained", v.Name)
	}
	code, out, _ = runCtl(t, e, "config", "plan", writeDocument(t, document(d, 1)))
	require.Zero(t, code)
	require.Contains(t, out, "wave kernel")
	code, _, errs = runCtl(t, e, "--token", "guess", "status")
	require.Equal(t, 1, code)
	require.Contains(t, errs, "a bearer token is needed")
}

func TestOperatorsRaceOnOneConfiguration(t *testing.T) {
	d := startDeployment(t)
	const operators = 12
	won := make([]int64, operators)
	var g sync.WaitGroup
	for n := range operators {
		g.Go(func() {
			doc := strings.Replace(string(document(d, 1)), "operator: local", fmt.Sprint("operator: local-", n), 1)
			r, err := d.Entries[n%len(d.Entries)].Client().Apply(t.Context(), []byte(doc), 1)
			if err == nil {
				won[n] = r.Generation
			}
		})
	}
	g.Wait()
	winner := -1
	for n, v := range won {
		if v != 0 {
			require.Equal(t, -1, winner, "the configurations of two operators were accepted")
			winner = n
		}
	}
	require.GreaterOrEqual(t, winner, 0)
	for _, e := range d.Entries {
		require.Eventually(t, func() bool {
			c, err := e.Client().Config(t.Context())
			return err == nil && c.Generation == 2 && c.Document.Operator == fmt.Sprint("local-", winner)
		}, waitTimeout, pollInterval, e.Name)
	}
}

func TestOperatorEndpointsNeedAToken(t *testing.T) {
	d := startDeployment(t)
	base := "http://" + d.Entries[0].Admin.String()
	for path, want := range map[string]int{
		"/healthz": http.StatusOK, "/readyz": http.StatusOK, "/metrics": http.StatusOK,
		"/v1/status": http.StatusUnauthorized, "/v1/dump": http.StatusUnauthorized, "/v1/config": http.StatusUnauthorized,
	} {
		res, err := http.Get(base + path)
		require.NoError(t, err)
		require.Equal(t, want, res.StatusCode, path)
		_ = res.Body.Close()
	}
}
