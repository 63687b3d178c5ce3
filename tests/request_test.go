package tests

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"amberway/admin"
	"amberway/common"
	"amberway/fleet"
	"amberway/internal/local"
	"amberway/internal/standin"
	"amberway/platform"
)

// sendCopies sends copies of one request that may not be repeated, two through each entry host
// and all at the same time, and counts the verdicts.
func sendCopies(t *testing.T, d *local.Deployment, body string) map[string]int {
	id := uuid.Must(uuid.NewV7()).String()
	got := map[string]int{}
	var mu sync.Mutex
	var g sync.WaitGroup
	for n := range 2 * len(d.Entries) {
		g.Go(func() {
			v := post(t, d.Entries[n%len(d.Entries)], "/tint/once", body, http.Header{common.HeaderIdempotencyKey: {id}})
			mu.Lock()
			defer mu.Unlock()
			got[v.Header.Get(common.HeaderVerdict)]++
		})
	}
	g.Wait()
	return got
}

func post(t *testing.T, e *local.Entry, path, body string, h http.Header) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.URL()+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return &http.Response{Header: http.Header{}}
	}
	req.Header = h
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return &http.Response{Header: http.Header{}}
	}
	return res
}

func TestTruncatedAnswersAreDetected(t *testing.T) {
	d := startDeployment(t)
	for _, v := range d.Targets {
		require.NoError(t, v.SetFault(standin.Fault{TruncateAnswers: true}))
	}
	small := post(t, d.Entries[0], "/tint/once", "x", http.Header{common.HeaderIdempotencyKey: {uuid.Must(uuid.NewV7()).String()}})
	require.Equal(t, http.StatusBadGateway, small.StatusCode)
	require.Equal(t, "may-have-run", small.Header.Get(common.HeaderVerdict))
	large := post(t, d.Entries[0], "/tint/quick", "x", http.Header{standin.HeaderPadding: {"1000000"}})
	_, err := io.ReadAll(large.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestLargeAnswersArriveComplete(t *testing.T) {
	d := startDeployment(t)
	const size = 5 << 20
	res := post(t, d.Entries[0], "/tint/quick", "x", http.Header{standin.HeaderPadding: {"5242880"}})
	b, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, standin.ExpectedAnswer("/tint/quick", []byte("x"), size), string(b))
	require.Equal(t, "ran", res.Header.Get(common.HeaderVerdict))
}

func TestBadRequestsAreRefusedWithTheReason(t *testing.T) {
	d := startDeployment(t)
	cases := []struct {
		path   string
		header http.Header
		status int
	}{
		{"/nobody/quick", nil, http.StatusNotFound},
		{"/tint/nothing", nil, http.StatusNotFound},
		{"/tint/once", nil, http.StatusBadRequest},
		{"/tint/once", http.Header{common.HeaderIdempotencyKey: {"6b6c4e5e-1111-4111-8111-111111111111"}}, http.StatusBadRequest},
		{"/tint/quick", http.Header{common.HeaderDeadline: {"soon"}}, http.StatusBadRequest},
		{"/tint/quick", http.Header{common.HeaderClass: {"urgent"}}, http.StatusBadRequest},
		{"/tint/quick", http.Header{common.HeaderHop: {"guess"}}, http.StatusForbidden},
		{"/tint/quick", http.Header{common.HeaderDeadline: {"2001-01-01T00:00:00Z"}}, http.StatusGatewayTimeout},
	}
	for _, c := range cases {
		if c.header == nil {
			c.header = http.Header{}
		}
		res := post(t, d.Entries[0], c.path, "x", c.header)
		require.Equal(t, c.status, res.StatusCode, "%s %v", c.path, c.header)
		require.Equal(t, "application/problem+json", res.Header.Get("Content-Type"))
		_, err := common.ParseVerdict(res.Header.Get(common.HeaderVerdict))
		require.NoError(t, err)
	}
}

func TestRequestsAreRelayedToTheOtherDataCentre(t *testing.T) {
	d := startDeployment(t)
	for _, h := range d.Targets {
		if h.Host.DataCentre == "north" {
			h.Host.Live = false
			require.NoError(t, d.SetHosts(t.Context(), []platform.Host{h.Host}))
		}
	}
	require.Eventually(t, func() bool {
		res := post(t, d.Entries[0], "/tint/quick", "x", http.Header{})
		return res.StatusCode == http.StatusOK && res.Header.Get(common.HeaderVerdict) == "ran"
	}, 5*time.Second, 100*time.Millisecond)
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	d := startDeployment(t)
	leaving := d.Targets[0]
	var announced time.Time
	s := runLoadDuring(t, d, 1000, func() {
		leaving.Host.Leaving = true
		require.NoError(t, d.SetHosts(t.Context(), []platform.Host{leaving.Host}))
		announced = time.Now()
	})
	requireConsistentRuns(t, d, s)
	require.Equal(t, s.Sent, s.Answered, "%+v", s)
	r, err := leaving.Runs()
	require.NoError(t, err)
	require.Less(t, r.LastStart.Sub(announced), 3*time.Second)
}

func TestWaveUnderLoadInterruptsNoRequest(t *testing.T) {
	d := startDeployment(t)
	r, err := d.Entries[0].Client().SetWave(t.Context(), "kernel", "running")
	require.NoError(t, err)
	require.Equal(t, int64(2), r.Generation)
	s := standin.NewCaller().Run(t.Context(), load(d, 2000))
	requireConsistentRuns(t, d, s)
	require.Equal(t, s.Sent, s.Answered, "%+v", s)
	done := func(h admin.Host) bool { return h.State == fleet.InService && len(h.Done) == 1 }
	require.NoError(t, d.WaitHosts(t.Context(), 60*time.Second, 3, done))
}

// placedDocument returns a document whose quick job needs a number of replicas, which are
// placed on hosts of the pool.
func placedDocument(d *local.Deployment, replicas string) []byte {
	doc := string(document(d, 1))
	return []byte(strings.Replace(doc, "run_time: 5ms}", "run_time: 5ms, processors: 4, replicas: "+replicas+"}", 1))
}

func TestDrainMovesPlacedJob(t *testing.T) {
	d := startDeployment(t)
	c := d.Entries[0].Client()
	p, err := c.Preview(t.Context(), placedDocument(d, "9"))
	require.NoError(t, err)
	require.Contains(t, p.Unplaced["tint/quick"], "3 of 9 replicas placed")
	_, err = d.Apply(t.Context(), placedDocument(d, "1"), 1)
	require.NoError(t, err)
	first := waitHolder(t, c, "")
	res := post(t, d.Entries[0], "/tint/quick", "x", http.Header{})
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.NoError(t, c.Hold(t.Context(), first, true))
	second := waitHolder(t, c, first)
	require.NotEqual(t, first, second)
	before, err := targetNamed(d, second).Runs()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		res := post(t, d.Entries[0], "/tint/quick", "x", http.Header{})
		after, err := targetNamed(d, second).Runs()
		return err == nil && res.StatusCode == http.StatusOK && len(after.ByID) > len(before.ByID)
	}, 5*time.Second, 50*time.Millisecond)
}

// waitHolder waits until the quick job is placed on one host other than the given one, and
// returns that host.
func waitHolder(t *testing.T, c *admin.Client, other string) string {
	t.Helper()
	var name string
	require.Eventually(t, func() bool {
		l, err := c.Jobs(t.Context())
		if err != nil || len(l) == 0 || len(l[0].Hosts) != 1 {
			return false
		}
		name = l[0].Hosts[0]
		return name != other
	}, 5*time.Second, 50*time.Millisecond)
	return name
}

func targetNamed(d *local.Deployment, name string) *local.Target {
	for _, v := range d.Targets {
		if v.Host.Name == name {
			return v
		}
	}
	return nil
}

// requireIssuedIDRunsOnce requires that a request with an id that an entry host has issued runs
// once if it is sent through all entry hosts.
func requireIssuedIDRunsOnce(t *testing.T, d *local.Deployment) {
	t.Helper()
	res := post(t, d.Entries[0], "/ids", "", http.Header{})
	b, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	id := strings.TrimSpace(string(b))
	got := map[string]int{}
	for _, e := range d.Entries {
		v := post(t, e, "/tint/once", "x", http.Header{common.HeaderIdempotencyKey: {id}})
		got[v.Header.Get(common.HeaderVerdict)]++
	}
	require.Equal(t, map[string]int{"ran": 1, "may-have-run": len(d.Entries) - 1}, got)
}
