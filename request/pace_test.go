package request

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDeadlineOfABodyMovesWithWhatArrives(t *testing.T) {
	began := time.Unix(100, 0)
	for name, v := range map[string]struct {
		pace bodyPace
		want time.Duration
	}{
		"nothing has arrived":     {bodyPace{}, bodyTimeout},
		"a part has arrived":      {bodyPace{received: 3 * minBodyRate}, bodyTimeout + 3*time.Second},
		"the largest":             {bodyPace{received: MaxBody}, bodyTimeout + MaxBody*time.Second/minBodyRate},
		"the handler gives up":    {bodyPace{received: 3 * minBodyRate, readBy: began.Add(2 * time.Second)}, 2 * time.Second},
		"the handler waits later": {bodyPace{readBy: began.Add(time.Hour)}, bodyTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			v.pace.began = began
			require.Equal(t, v.want, v.pace.due().Sub(began))
		})
	}
}

// beginLateBody makes the body of a host's connection begin long ago.
func beginLateBody(t *testing.T, host *callerConn) {
	t.Helper()
	require.True(t, host.beginRequest(true))
	host.mu.Lock()
	defer host.mu.Unlock()
	host.pace.began = time.Now().Add(-2 * bodyTimeout)
}

// TestStoppedBodyEnds guards against a connection that is held for ever by a body that does not
// end.
func TestStoppedBodyEnds(t *testing.T) {
	host, _ := acceptedPair(t)
	beginLateBody(t, host)
	_, err := host.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.EqualValues(t, 1, host.conns.slowBodies.Load())
}

// TestCompleteRequestHasNoDeadline guards against a request that is cancelled by the deadline of
// its body while its handler goes on.
func TestCompleteRequestHasNoDeadline(t *testing.T) {
	host, caller := acceptedPair(t)
	beginLateBody(t, host)
	require.NoError(t, host.SetReadDeadline(time.Time{}))
	time.AfterFunc(50*time.Millisecond, func() { _, _ = caller.Write([]byte("next")) })
	requireRead(t, host, "next")
}

// TestUnreadBodyEnds guards against a connection that is held for ever by a body that the handler
// does not read.
func TestUnreadBodyEnds(t *testing.T) {
	_, l := startLimitedServer(t, func(w http.ResponseWriter, r *http.Request) {
		if b, ok := r.Body.(*guardedBody); assert.True(t, ok) {
			b.ReadBy(time.Now().Add(time.Second))
		}
		fmt.Fprint(w, "answer")
	}, testLimits)
	k := dialRaw(t, l)
	_, err := fmt.Fprint(k, "DELETE / HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n\r\nx")
	require.NoError(t, err)
	res, err := k.answer("answer")
	require.NoError(t, err)
	require.True(t, res.Close)
	_, err = k.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// TestBodyIsReadUntilTheHandlerGivesUp guards against a caller that is kept waiting beyond its own
// deadline.
func TestBodyIsReadUntilTheHandlerGivesUp(t *testing.T) {
	_, l := startLimitedServer(t, func(w http.ResponseWriter, r *http.Request) {
		if b, ok := r.Body.(*guardedBody); assert.True(t, ok) {
			b.ReadBy(time.Now().Add(500 * time.Millisecond))
		}
		_, err := io.ReadAll(r.Body)
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		refuse(w, r)
	}, testLimits)
	k := dialRaw(t, l)
	_, err := fmt.Fprint(k, "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n\r\nx")
	require.NoError(t, err)
	res, err := http.ReadResponse(k.answers, nil)
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
}

// TestUnreadAnswerEnds guards against a connection that is held for ever by a caller that does not
// read.
func TestUnreadAnswerEnds(t *testing.T) {
	c, l := startLimitedServer(t, func(w http.ResponseWriter, _ *http.Request) {
		part := strings.Repeat("x", 1<<20)
		for range 64 {
			if _, err := io.WriteString(w, part); err != nil {
				return
			}
		}
	}, testLimits)
	k := dialRaw(t, l)
	require.NoError(t, k.send("x"))
	require.Eventually(t, func() bool { return c.Counts().UnreadAnswers == 1 && c.Counts().OpenConns == 0 }, 3*writeTimeout, 10*time.Millisecond)
}
