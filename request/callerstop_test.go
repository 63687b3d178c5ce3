package request

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"amberway/internal/loopback"
)

// stopWithin is how long the stops of these tests may take: longer than their callers
// pause.
const stopWithin = 12 * time.Second

// testLimits are more than the requests of these tests hold.
var testLimits = Limits{Bytes: 64 << 20}

// startCallerServer returns a running server for the handler, with its listener.
func startCallerServer(t *testing.T, h http.HandlerFunc) (*CallerServer, *CallerListener) {
	t.Helper()
	return startLimitedServer(t, h, testLimits)
}

// startLimitedServer is startCallerServer with limits.
func startLimitedServer(t *testing.T, h http.HandlerFunc, limits Limits) (*CallerServer, *CallerListener) {
	t.Helper()
	l, err := ListenForCallers(t.Context(), netip.AddrPortFrom(loopback.RandomAddr(), 0))
	require.NoError(t, err)
	c := NewCallerServer(h, KeepAliveTimeout(0, stopWithin), IdleGrace, limits)
	go func() { _ = c.Serve(l) }()
	return c, l
}

// stop begins a stop and returns a function that waits for its end.
func stop(t *testing.T, c *CallerServer, l *CallerListener) (wait func() StopReport) {
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

// beginStop is like stop, but returns only once answers close their connections.
func beginStop(t *testing.T, c *CallerServer, l *CallerListener) (wait func() StopReport) {
	t.Helper()
	wait = stop(t, c, l)
	require.Eventually(t, c.keepAlivesDisabled.Load, time.Second, time.Millisecond)
	return wait
}

// echo answers with the request's body.
func echo(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(w, r.Body)
}

// rawConn is a caller's connection that sends without checking whether it is still open.
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

// TestStopAnswersFirstRequestOfAnOpenConnection guards against a request that the
// stopping host reads and drops: during its shutdown, http.Server closes a connection
// whose request it has just read, and the caller gets EOF.
func TestStopAnswersFirstRequestOfAnOpenConnection(t *testing.T) {
	c, l := startCallerServer(t, echo)
	k := dialRaw(t, l)
	time.Sleep(50 * time.Millisecond)
	wait := stop(t, c, l)
	time.Sleep(time.Second)
	require.NoError(t, k.ask("first"))
	wait()
}

// TestStopAnswersRequestsThatArriveWhileOthersAreInFlight guards against requests that
// are read and dropped while the stop waits for a long one: they arrive on connections
// opened before.
func TestStopAnswersRequestsThatArriveWhileOthersAreInFlight(t *testing.T) {
	c, l := startCallerServer(t, func(w http.ResponseWriter, r *http.Request) {
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

// TestStopServesACallerThatPauses guards against a request lost on a reused connection
// that the stop closes while its caller pauses.
func TestStopServesACallerThatPauses(t *testing.T) {
	c, l := startCallerServer(t, echo)
	k := dialRaw(t, l)
	require.NoError(t, k.ask("before"))
	wait := stop(t, c, l)
	time.Sleep(2 * time.Second)
	require.NoError(t, k.ask("after the pause"))
	require.Zero(t, wait().Idle.Closed)
}

// TestStopEndsOnceNoConnectionIsOpen guards against stops that wait needlessly.
func TestStopEndsOnceNoConnectionIsOpen(t *testing.T) {
	c, l := startCallerServer(t, echo)
	k := dialRaw(t, l)
	require.NoError(t, k.ask("before"))
	wait := beginStop(t, c, l)
	require.NoError(t, k.ask("last"))
	began := time.Now()
	wait()
	require.Less(t, time.Since(began), IdleGrace)
}

// TestStopClosesConnectionsThatStayIdle guards against a stop that waits for idle callers
// forever, and checks the number of connections that it reports as closed.
func TestStopClosesConnectionsThatStayIdle(t *testing.T) {
	c, l := startCallerServer(t, echo)
	used, unused := dialRaw(t, l), dialRaw(t, l)
	require.NoError(t, used.ask("before"))
	r := stop(t, c, l)()
	require.Equal(t, 2, r.Idle.Closed)
	require.False(t, r.Idle.NewestIdleSince.Before(r.Idle.OldestIdleSince))
	for _, k := range []*rawConn{used, unused} {
		_, err := k.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
}

// acceptedPair returns both ends of a connection.
func acceptedPair(t *testing.T) (host *callerConn, caller net.Conn) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer l.Close()
	caller, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	c, err := l.AcceptTCP()
	require.NoError(t, err)
	host = newCallerConns(testLimits).add(c)
	t.Cleanup(func() { _ = host.Close() })
	return host, caller
}

// requireRead requires that the host reads the text next.
func requireRead(t *testing.T, host *callerConn, want string) {
	t.Helper()
	b := make([]byte, 16)
	n, err := host.Read(b)
	require.NoError(t, err)
	require.Equal(t, want, string(b[:n]))
}

// TestRequestOnClosingConnectionIsServed guards against a request lost between the
// decision to close an idle connection and its close: the reader checks once more.
func TestRequestOnClosingConnectionIsServed(t *testing.T) {
	host, caller := acceptedPair(t)
	_, err := caller.Write([]byte("request"))
	require.NoError(t, err)
	_, idle := host.closeIfIdle(time.Now())
	require.True(t, idle)
	requireRead(t, host, "request")
	_, idle = host.closeIfIdle(time.Now())
	require.False(t, idle, "a connection with a request is not idle")
	host.markIdle(0)
	_, idle = host.closeIfIdle(time.Now())
	require.True(t, idle)
	b := make([]byte, 1)
	_, err = host.Read(b)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = caller.Read(b)
	require.ErrorIs(t, err, io.EOF)
}

// TestRequestAtIdleTimeoutIsServed guards against a request lost at an idle timeout,
// without a stop: a connection is closed after a minute without a request, or ten seconds
// without a first one, and a host that was stalled then finds both the deadline passed
// and a request.
func TestRequestAtIdleTimeoutIsServed(t *testing.T) {
	host, caller := acceptedPair(t)
	_, err := caller.Write([]byte("request"))
	require.NoError(t, err)
	require.NoError(t, host.SetReadDeadline(time.Now().Add(-time.Second)))
	requireRead(t, host, "request")
	_, err = caller.Write([]byte(" goes on"))
	require.NoError(t, err)
	requireRead(t, host, " goes on")
	require.NoError(t, host.SetReadDeadline(time.Now().Add(-time.Second)))
	_, err = host.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the deadline of a request that has begun is not extended")
}

// TestConnectionStaysOpenForAnnouncedTimeout guards against closing a connection before
// the timeout that was announced to its caller.
func TestConnectionStaysOpenForAnnouncedTimeout(t *testing.T) {
	host, _ := acceptedPair(t)
	now := time.Now()
	host.markIdle(time.Minute)
	_, idle := host.closeIfIdle(now.Add(50 * time.Second))
	require.False(t, idle)
	_, idle = host.closeIfIdle(now.Add(61 * time.Second))
	require.True(t, idle)
}

// TestAnswersAnnounceKeepAliveTimeout guards against callers that cannot know when an
// idle connection may be closed under their next request.
func TestAnswersAnnounceKeepAliveTimeout(t *testing.T) {
	c, l := startCallerServer(t, echo)
	k := dialRaw(t, l)
	require.NoError(t, k.send("before"))
	res, err := k.answer("before")
	require.NoError(t, err)
	require.Equal(t, "keep-alive", res.Header.Get("Connection"))
	require.Equal(t, "timeout=3", res.Header.Get("Keep-Alive"))
	wait := beginStop(t, c, l)
	require.NoError(t, k.send("last"))
	res, err = k.answer("last")
	require.NoError(t, err)
	require.True(t, res.Close)
	require.Empty(t, res.Header.Get("Keep-Alive"))
	wait()
}

// TestStopHonoursTimeoutAnnouncedByLastAnswers guards against a request lost on a
// connection whose answer announced a timeout before the stop began, but ended only after
// the stop had waited for idle connections.
func TestStopHonoursTimeoutAnnouncedByLastAnswers(t *testing.T) {
	c, l := startCallerServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "4")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(4 * time.Second)
		_, _ = w.Write([]byte("long"))
	})
	k := dialRaw(t, l)
	require.NoError(t, k.send("long"))
	time.Sleep(50 * time.Millisecond)
	wait := stop(t, c, l)
	_, err := k.answer("long")
	require.NoError(t, err)
	time.Sleep(2 * time.Second)
	require.NoError(t, k.ask("long"))
	wait()
}

func TestKeepAliveTimeoutFitsIntoStop(t *testing.T) {
	for _, v := range []struct{ delay, within, keep time.Duration }{
		{time.Second, time.Hour, 3 * time.Second},
		{2500 * time.Millisecond, 4500 * time.Millisecond, 3 * time.Second},
		{300 * time.Millisecond, 4 * time.Second, 2150 * time.Millisecond},
		{0, time.Second, 500 * time.Millisecond},
		{3 * time.Second, 2 * time.Second, 2 * time.Second},
	} {
		require.Equal(t, v.keep, KeepAliveTimeout(v.delay, v.within), "%s, %s", v.delay, v.within)
	}
}

// TestStopAnswersRandomCallers stops servers under random callers that open connections,
// send requests in pieces, and pause before and between them. Whoever begins a request
// within IdleGrace of the stop, on a connection that no answer has closed, has to be
// answered.
func TestStopAnswersRandomCallers(t *testing.T) {
	const stops, callers = 40, 8
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	var g sync.WaitGroup
	for n := range stops {
		d := rand.New(rand.NewPCG(seed, uint64(n)))
		g.Go(func() { runRandomStop(t, d, callers) })
	}
	g.Wait()
}

// runRandomStop stops a server under random callers.
func runRandomStop(t *testing.T, d *rand.Rand, callers int) {
	c, l := startCallerServer(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		time.Sleep(time.Duration(len(b)) * 10 * time.Millisecond)
		_, _ = w.Write(b)
	})
	stopAt := time.Now().Add(randomDelay(d, time.Second))
	var g sync.WaitGroup
	for range callers {
		k := dialRaw(t, l)
		callerRand := rand.New(rand.NewPCG(d.Uint64(), d.Uint64()))
		g.Go(func() { k.askInPieces(t, callerRand, stopAt.Add(IdleGrace)) })
	}
	time.Sleep(time.Until(stopAt))
	stop(t, c, l)()
	g.Wait()
}

// askInPieces sends random requests until the given time, and requires an answer to each,
// up to the one that closes the connection.
func (k *rawConn) askInPieces(t *testing.T, d *rand.Rand, until time.Time) {
	for {
		time.Sleep(randomDelay(d, 1500*time.Millisecond))
		if time.Now().After(until) {
			return
		}
		body := strings.Repeat("x", d.IntN(40))
		request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		for first := true; request != ""; first = false {
			if !first {
				time.Sleep(randomDelay(d, 300*time.Millisecond))
			}
			n := 1 + d.IntN(len(request))
			if _, err := io.WriteString(k, request[:n]); !assert.NoError(t, err) {
				return
			}
			request = request[n:]
		}
		res, err := k.answer(body)
		if !assert.NoError(t, err) || res.Close {
			return
		}
	}
}

// randomDelay returns a time below a bound, short ones more often.
func randomDelay(d *rand.Rand, below time.Duration) time.Duration {
	f := d.Float64()
	return time.Duration(f * f * float64(below))
}

// TestStopServesCallersThatPause guards against requests sent on reused connections that
// a stop closes while their callers pause. Each caller has its own connection pool and
// bodies that cannot be sent again.
func TestStopServesCallersThatPause(t *testing.T) {
	const stops, callers = 60, 10
	var lost atomic.Int64
	var g sync.WaitGroup
	for range stops {
		g.Go(func() { lost.Add(lostByStop(t, callers)) })
	}
	g.Wait()
	require.Zero(t, lost.Load(), "requests lost in %d stops", stops)
}

// lostByStop stops a server under callers that pause for 0.4 to 2 s, and returns how many
// requests were lost.
func lostByStop(t *testing.T, callers int) int64 {
	c, l := startCallerServer(t, echo)
	var lost atomic.Int64
	var g sync.WaitGroup
	for range callers {
		g.Go(func() { askWithPauses(t, l.Addr().String(), &lost) })
	}
	time.Sleep(600 * time.Millisecond)
	stop(t, c, l)()
	g.Wait()
	return lost.Load()
}

// askWithPauses posts requests until connections are refused, and counts those that are
// sent and not answered.
func askWithPauses(t *testing.T, address string, lost *atomic.Int64) {
	p := &http.Transport{}
	defer p.CloseIdleConnections()
	client := &http.Client{Transport: p}
	for {
		// A body of this type has no GetBody, so the client sends it once at most.
		body := io.NopCloser(strings.NewReader("body"))
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, body)
		if err != nil {
			lost.Add(1)
			return
		}
		res, err := client.Do(req)
		if isRefusal(err) {
			return
		}
		if err != nil {
			lost.Add(1)
			t.Logf("lost: %v", err)
			return
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		time.Sleep(400*time.Millisecond + time.Duration(rand.Int64N(int64(1600*time.Millisecond))))
	}
}

// isRefusal reports whether no connection was established, so that nothing was sent.
func isRefusal(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}
