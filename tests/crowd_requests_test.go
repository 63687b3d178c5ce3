package tests

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/internal/local"
	"amberway/request"
)

// startRequestsForCrowd starts one entry host that serves requests, with the limits of these tests.
func startRequestsForCrowd(t *testing.T) (*local.Entry, *watchedProcess) {
	t.Helper()
	ctx := t.Context()
	d, err := local.Start(ctx, binaries, t.TempDir(), local.Options{
		DataCentres: []string{"north"}, Entries: 1, Targets: map[string]int{"tint": 2}, RackSize: 1,
		MemoryMB: crowdMemoryMB, MaxDescriptors: crowdMaxDescriptors,
	})
	t.Cleanup(d.Stop)
	require.NoError(t, err)
	_, err = d.Apply(ctx, document(d, 1), 0)
	require.NoError(t, err)
	require.NoError(t, d.WaitHosts(ctx, 10*time.Second, 2, inService))
	require.NoError(t, d.WaitReady())
	e := d.Entries[0]
	return e, watch(t, e.Process, e.Callers, e.Admin, e.Peers)
}

// checkRequestsBeside opens the crowd and checks that an ordinary request is answered while it is
// open, and that the host stays within its limits.
func checkRequestsBeside(t *testing.T, e *local.Entry, w *watchedProcess, c *crowd) {
	t.Helper()
	c.open(t)
	checkOrdinaryRequest(t, e)
	time.Sleep(crowdStays)
	w.checkWithin(t)
	c.check(t)
}

// checkOrdinaryRequest sends a request, on a new connection each time, until it is answered by a target.
func checkOrdinaryRequest(t *testing.T, e *local.Entry) {
	t.Helper()
	start := time.Now()
	h := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	refused := 0
	last := ""
	for time.Since(start) < crowdTimeout {
		res, err := h.Post(e.URL()+"/tint/quick", "text/plain", strings.NewReader("x"))
		if err != nil {
			last = err.Error()
			time.Sleep(pollInterval)
			continue
		}
		b, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			t.Logf("request answered after %s, %d refused", time.Since(start).Round(time.Millisecond), refused)
			assert.Equal(t, "ran", res.Header.Get(common.HeaderVerdict))
			return
		}
		last = fmt.Sprint(res.StatusCode, " ", string(b))
		if isRefusal(res.StatusCode) {
			refused++
			assert.NotEmpty(t, res.Header.Get("Retry-After"), last)
			assert.Equal(t, "not-run", res.Header.Get(common.HeaderVerdict), last)
		}
		time.Sleep(pollInterval)
	}
	assert.Fail(t, "no ordinary request was answered", "%d were refused, last: %s", refused, last)
}

func requestHead(_ int, more string) string {
	return "POST /tint/quick HTTP/1.1\r\nHost: requests\r\n" + more + "\r\n"
}

// The connections are as many as bodies of the largest size fit into what is held of bodies.
func TestUnfinishedChunksOfOneByteLeaveRoomForOtherRequests(t *testing.T) {
	e, w := startRequestsForCrowd(t)
	checkRequestsBeside(t, e, w, &crowd{address: e.Callers, size: 16, send: sendChunked(requestHead, "x", 1)})
}

func TestUnfinishedLargeBodiesOfRequestsStayWithinTheMemory(t *testing.T) {
	e, w := startRequestsForCrowd(t)
	body := strings.Repeat("x", request.MaxBody-1)
	checkRequestsBeside(t, e, w, &crowd{address: e.Callers, size: 40, send: func(i int, c io.Writer) error {
		_, err := io.WriteString(c, requestHead(i, fmt.Sprintf("Content-Length: %d\r\n", request.MaxBody))+body)
		return err
	}})
}

func TestUnfinishedBodiesAtTheOperatorsAddressLeaveDescriptorsForOthers(t *testing.T) {
	e, w := startRequestsForCrowd(t)
	head := func(_ int, more string) string {
		return "PUT /v1/config?base=1 HTTP/1.1\r\nHost: operators\r\n" + more + "\r\n"
	}
	checkRequestsBeside(t, e, w, &crowd{address: e.Admin, size: descriptorCrowd, send: sendShort(head, 100)})
	assert.Eventually(t, func() bool {
		_, err := e.Client().Status(t.Context())
		return err == nil
	}, crowdTimeout, pollInterval, "an operator's call")
}

func TestLargestBodyOfARequestIsServedInCalm(t *testing.T) {
	e, w := startRequestsForCrowd(t)
	res := post(t, e, "/tint/quick", strings.Repeat("x", request.MaxBody), http.Header{})
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.Equal(t, "ran", res.Header.Get(common.HeaderVerdict))
	w.checkWithin(t)
}
