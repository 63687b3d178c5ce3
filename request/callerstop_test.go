package request

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stopWithin is how long the stops of these tests may take: more than their callers pause.
const stopWithin = 12 * time.Second

// callersOf returns a listener's side of the handler that serves, with its listener.
func callersOf(t *testing.T, h http.HandlerFunc) (*Callers, *CallerListener) {
	t.Helper()
	l, err := ListenForCallers(t.Context(), netip.AddrPortFrom(unsharedLoopback(), 0))
	require.NoError(t, err)
	c := NewCallers(h)
	go func() { _ = c.Serve(l) }()
	return c, l
}

// stop begins a stop and returns what waits for its end.
func stop(t *testing.T, c *Callers, l *CallerListener) (wait func() StopReport) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), stopWithin)
	done := make(chan error, 1)
	var r StopReport
	go func() {
		defer cancel()
		var err error
		r, err = c.Stop(ctx, l)
		done <- err
	}()
	return func() StopReport {
		require.NoError(t, <-done)
		return r
	}
}

// echo answers with the request's body.
func echo(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(w, r.Body)
}

// rawConn is a caller's connection that sends whatever has become of it.
type rawConn struct {
	net.Conn
	answers *bufio.Reader
}

func dialRaw(t *testing.T, l net.Listener) *rawConn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &rawConn{Conn: c, answers: bufio.NewReader(c)}
}

// ask posts a body and requires it back.
func (k *rawConn) ask(body string) error {
	if err := k.send(body); err != nil {
		return err
	}
	_, err := k.answer(body)
	return err
}

func (k *rawConn) send(body string) error {
	_, err := fmt.Fprintf(k, "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

func (k *rawConn) answer(body string) (*http.Response, error) {
	res, err := http.ReadResponse(k.answers, nil)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err == nil && string(b) != body {
		err = fmt.Errorf("answer %q to %q", b, body)
	}
	return res, err
}

// TestStopAnswersFirstRequestOfAnOpenConnection guards against a request that the stopping
// host reads and drops: http.Server, once it shuts down, closes a connection whose request
// it has just read, and the caller hears EOF.
func TestStopAnswersFirstRequestOfAnOpenConnection(t *testing.T) {
	c, l := callersOf(t, echo)
	k := dialRaw(t, l)
	time.Sleep(50 * time.Millisecond)
	wait := stop(t, c, l)
	time.Sleep(time.Second)
	require.NoError(t, k.ask("first"))
	wait()
}

// TestStopAnswersWhatComesWhileRequestsAreInFlight guards against the same while the stop
// waits for a long request: others come meanwhile, on connections opened before.
func TestStopAnswersWhatComesWhileRequestsAreInFlight(t *testing.T) {
	c, l := callersOf(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		if string(b) == "long" {
			time.Sleep(2 * time.Second)
		}
		_, _ = w.Write(b)
	})
	long, late := dialRaw(t, l), dialRaw(t, l)
	require.NoError(t, long.send("long"))
	time.Sleep(50 * time.Millisecond)
	wait := stop(t, c, l)
	time.Sleep(1200 * time.Millisecond)
	require.NoError(t, late.ask("late"))
	_, err := long.answer("long")
	require.NoError(t, err)
	wait()
}
