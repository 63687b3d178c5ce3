package request

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"amberway/common"
)

// readOrRefuse answers with the length of the body, or refuses it.
func readOrRefuse(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		refuse(w, r)
		return
	}
	fmt.Fprint(w, len(b))
}

// overloadLimits are a few requests of overloadBody bytes.
var overloadLimits = Limits{Bytes: 1 << 20}

const overloadBody = 256 << 10

// sendUnfinished sends a request whose body of overloadBody bytes lacks the last one.
func sendUnfinished(t *testing.T, k *rawConn) {
	t.Helper()
	_, err := fmt.Fprintf(k, "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s", overloadBody, strings.Repeat("x", overloadBody-1))
	require.NoError(t, err)
}

// requireHeld requires that the server comes to hold at least n bytes.
func requireHeld(t *testing.T, c *CallerServer, n int64) {
	t.Helper()
	require.Eventually(t, func() bool { return c.Counts().HeldBytes >= n }, 10*time.Second, time.Millisecond)
}

// TestUnfinishedBodiesAreHeldWithinTheBudget guards against a process that runs out of memory
// over bodies that do not end.
func TestUnfinishedBodiesAreHeldWithinTheBudget(t *testing.T) {
	c, l := startLimitedServer(t, readOrRefuse, overloadLimits)
	const crowd = 40
	for range crowd {
		k := dialRaw(t, l)
		go func() {
			// The connection may be closed meanwhile.
			_, _ = fmt.Fprintf(k, "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s", overloadBody, strings.Repeat("x", overloadBody-1))
		}()
	}
	require.Eventually(t, func() bool { return c.Counts().EvictedRequests >= crowd-overloadLimits.Bytes/overloadBody }, 10*time.Second, time.Millisecond)
	require.LessOrEqual(t, c.Counts().HeldBytes, overloadLimits.Bytes)
	k := dialRaw(t, l)
	require.NoError(t, k.send("ordinary"))
	res, err := k.answer("8")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
}

// TestGivenUpRequestIsRefusedWithARetryTime guards against an evicted caller that gets no
// answer or another than a refusal.
func TestGivenUpRequestIsRefusedWithARetryTime(t *testing.T) {
	c, l := startLimitedServer(t, readOrRefuse, Limits{Bytes: overloadBody + 64<<10})
	k := dialRaw(t, l)
	sendUnfinished(t, k)
	requireHeld(t, c, overloadBody-1)
	other := dialRaw(t, l)
	require.NoError(t, other.send(strings.Repeat("x", 100<<10)))
	res, err := http.ReadResponse(k.answers, nil)
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.NotEmpty(t, res.Header.Get("Retry-After"))
	require.True(t, res.Close)
	_, err = other.answer(fmt.Sprint(100 << 10))
	require.NoError(t, err)
}

// TestRequestGivenUpInItsHeadersIsRefused guards against an answer that blames the caller.
func TestRequestGivenUpInItsHeadersIsRefused(t *testing.T) {
	c, l := startLimitedServer(t, readOrRefuse, Limits{Bytes: 64 << 10})
	k := dialRaw(t, l)
	_, err := fmt.Fprint(k, "GET / HTTP/1.1\r\nHost: entry\r\nLong: "+strings.Repeat("x", 30<<10))
	require.NoError(t, err)
	requireHeld(t, c, 30<<10)
	for range 2 {
		_, err := fmt.Fprintf(dialRaw(t, l), "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 30000\r\n\r\n%s", strings.Repeat("x", 20_000))
		require.NoError(t, err)
	}
	res, err := http.ReadResponse(k.answers, nil)
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.NotEmpty(t, res.Header.Get("Retry-After"))
}

// TestCompleteRequestIsAnsweredAlthoughNoMemoryIsLeft guards against the eviction of a request
// that has been read completely, and against new ones beside it.
func TestCompleteRequestIsAnsweredAlthoughNoMemoryIsLeft(t *testing.T) {
	answer := make(chan struct{})
	c, l := startLimitedServer(t, func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			refuse(w, r)
			return
		}
		if len(b) == overloadBody {
			<-answer
		}
		fmt.Fprint(w, len(b))
	}, Limits{Bytes: overloadBody})
	k := dialRaw(t, l)
	require.NoError(t, k.send(strings.Repeat("x", overloadBody)))
	requireHeld(t, c, overloadBody+1)
	other := dialRaw(t, l)
	require.NoError(t, other.send("later"))
	res, err := http.ReadResponse(other.answers, nil)
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	close(answer)
	_, err = k.answer(fmt.Sprint(overloadBody))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.Counts().HeldBytes == 0 }, 10*time.Second, time.Millisecond)
	third := dialRaw(t, l)
	require.NoError(t, third.send("third"))
	_, err = third.answer("5")
	require.NoError(t, err)
}

// TestHeldMemoryOfAnAnswerCounts guards against decoded requests that take memory uncounted.
func TestHeldMemoryOfAnAnswerCounts(t *testing.T) {
	c, l := startLimitedServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		h, ok := r.Body.(common.Holder)
		if !ok {
			return
		}
		assert.NoError(t, h.Hold(500<<10))
		assert.ErrorIs(t, h.Hold(600<<10), common.ErrOverload)
		fmt.Fprint(w, "held")
	}, overloadLimits)
	k := dialRaw(t, l)
	require.NoError(t, k.send("x"))
	_, err := k.answer("held")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.Counts().HeldBytes == 0 }, 10*time.Second, time.Millisecond)
}

// TestManySmallHeadersAreHeldWithinTheBudget guards against headers that take many times
// their size.
func TestManySmallHeadersAreHeldWithinTheBudget(t *testing.T) {
	c, l := startLimitedServer(t, readOrRefuse, overloadLimits)
	var b strings.Builder
	for i := range 4000 {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const crowd = 100
	for range crowd {
		k := dialRaw(t, l)
		// The connection may be closed meanwhile.
		_, _ = fmt.Fprint(k, "GET / HTTP/1.1\r\nHost: entry\r\n"+b.String())
	}
	require.Eventually(t, func() bool { return c.Counts().EvictedRequests >= crowd*9/10 }, 10*time.Second, time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), 8*overloadLimits.Bytes)
}
