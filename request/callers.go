package request

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"amberway/common"
)

// Times of a planned stop.
const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// quietPollInterval is the time between two looks for new requests. A look that comes
	// late counts as one, so that a process that was held up does not take the
	// requests which wait to be read by it for none.
	quietPollInterval = 25 * time.Millisecond
	// quietPolls is how many looks in a row have to find none: together some ten
	// times as long as a request takes from its caller to a busy host.
	quietPolls = 10
	// quietTimeout bounds the wait for callers that go on opening connections:
	// they are past the delay that the balancer needs.
	quietTimeout = 5 * time.Second
	// IdleGrace is how long a stop waits for callers that keep connections open and
	// pause: each connection is closed by its next answer.
	IdleGrace = 3 * time.Second
	// quietTimeDivisor and keptShare are the parts of the time left that these waits may take:
	// the rest stays for what is in flight.
	quietTimeDivisor, idleTimeDivisor = 4, 2
	// callerIdleTimeout closes connections that carry nothing: callers ask again within
	// seconds or not at all.
	callerIdleTimeout = time.Minute
)

// CallerServer is the listener's side of the callers' interface. Its stop loses no request of
// callers that come back while it waits for them: HTTP/1.1 has no way to tell a caller that
// an idle connection is about to be closed.
type CallerServer struct {
	handler http.Handler
	server  *http.Server
	conns   *callerConns
	// keepAliveTimeout is for how long callers are told that they may use an idle connection.
	keepAliveTimeout time.Duration
	// keepAliveHeader says so in an answer's header; it is empty where nothing is told.
	keepAliveHeader string
	// idleGrace is how long a stop waits for callers that pause, whatever they were told.
	idleGrace time.Duration
	// serveDone is closed once the listener brings no more connections.
	serveDone chan struct{}
	// keepAlivesDisabled says that each further answer closes its connection.
	keepAlivesDisabled atomic.Bool
	// activity counts connections and requests that began.
	activity atomic.Int64
}

// NewCallerServer returns the listener's side of the handler. Answers tell callers for how long
// they may use an idle connection, in whole seconds; KeepFor says what a stop bears. A stop
// waits for pausing callers that have not been told.
func NewCallerServer(h http.Handler, keep, pause time.Duration) *CallerServer {
	c := &CallerServer{handler: h, conns: newCallerConns(), keepAliveTimeout: keep.Truncate(time.Second), idleGrace: pause, serveDone: make(chan struct{})}
	if c.keepAliveTimeout > 0 {
		c.keepAliveHeader = fmt.Sprintf("timeout=%d", c.keepAliveTimeout/time.Second)
	}
	c.server = &http.Server{Handler: c, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, ConnState: c.trackState}
	return c
}

// KeepAliveTimeout returns for how long an idle connection stays open at least in a stop that delays
// for one time and ends within another.
func KeepAliveTimeout(delay, within time.Duration) time.Duration {
	return min(IdleGrace, within, delay+(within-delay)/idleTimeDivisor)
}

// DisableKeepAlives makes every further answer close its connection.
func (c *CallerServer) DisableKeepAlives() {
	c.keepAlivesDisabled.Store(true)
}

// ServeHTTP answers one caller.
func (c *CallerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case c.keepAlivesDisabled.Load():
		w.Header().Set("Connection", "close")
	case c.keepAliveHeader != "":
		// RFC 2068, section 19.7.1.1.
		w.Header().Set("Connection", "keep-alive")
		w.Header().Set("Keep-Alive", c.keepAliveHeader)
	}
	c.handler.ServeHTTP(w, r)
}

// trackState counts what a caller begins, and follows which connections are idle.
func (c *CallerServer) trackState(conn net.Conn, s http.ConnState) {
	if s == http.StateNew || s == http.StateActive {
		c.activity.Add(1)
	}
	k, ok := conn.(*callerConn)
	switch {
	case !ok:
	case s == http.StateActive:
		k.markBusy(false)
	case s == http.StateIdle:
		k.markIdle(c.keepAliveTimeout)
	}
}

// Serve serves the listener's connections until it is closed. It is called once.
func (c *CallerServer) Serve(l *CallerListener) error {
	defer close(c.serveDone)
	return c.server.Serve(trackingListener{l, c.conns})
}

// StopReport tells what a stop met, so that the cause of a request that it lost can be
// told from its log line.
type StopReport struct {
	HandshakeReport
	Idle IdleReport
	// Quiet says that callers had stopped opening connections before the listener was
	// closed.
	Quiet bool
	// CloseErr is the error of the listener's close.
	CloseErr error
}

// LogFields returns the report as names and values by turns, for a log line.
func (r StopReport) LogFields() []any {
	l := []any{
		"quiet", r.Quiet,
		"half_open", r.MaxHalfOpen, "half_open_given_up", r.HalfOpen, "waited_for_accept", r.AwaitedAccept,
		"close_took_us", r.ClosedAt.Sub(r.BlockedAt).Microseconds(),
		"idle_closed", r.Idle.Closed, "served_late", r.Idle.ServedLate,
	}
	if r.Idle.Closed > 0 {
		l = append(l, "idle_least_ms", r.Idle.LastClosedAt.Sub(r.Idle.NewestIdleSince).Milliseconds(), "idle_most_ms", r.Idle.LastClosedAt.Sub(r.Idle.OldestIdleSince).Milliseconds())
	}
	if err := errors.Join(r.Err, r.CloseErr); err != nil {
		l = append(l, "error", err.Error())
	}
	return l
}

// Stop takes requests until callers have stopped sending them or the waits for
// that have passed, and returns once none is in flight or the context ends.
func (c *CallerServer) Stop(ctx context.Context, l *CallerListener) (StopReport, error) {
	var r StopReport
	c.DisableKeepAlives()
	r.Quiet = c.waitQuiet(ctx, quietTimeout)
	r.CloseErr = l.Close()
	r.HandshakeReport = l.Handshakes()
	var err error
	r.Idle, err = c.drain(ctx)
	return r, errors.Join(err, c.server.Close())
}

// drain waits until no connection is open. It closes those that are still idle after a
// while, unless their callers have been told that they may use them for longer. It does without Shutdown, which drops the requests that are read from then on.
func (c *CallerServer) drain(ctx context.Context) (IdleReport, error) {
	var r IdleReport
	select {
	case <-c.serveDone:
	case <-ctx.Done():
		return r, ctx.Err()
	}
	end := time.Now().Add(boundedWait(ctx, c.idleGrace, idleTimeDivisor))
	for c.conns.count() > 0 && ctx.Err() == nil {
		if !time.Now().Before(end) {
			c.conns.closeIdle(&r, time.Now())
		}
		common.Sleep(ctx, quietPollInterval)
	}
	r.ServedLate = int(c.conns.servedLate.Load())
	r.Closed -= r.ServedLate
	if c.conns.anyBusy() {
		return r, ctx.Err()
	}
	return r, nil
}

// boundedWait returns how long a wait may take that has a part of the time left.
func boundedWait(ctx context.Context, most time.Duration, part int) time.Duration {
	end, bounded := ctx.Deadline()
	if !bounded {
		return most
	}
	return min(most, time.Until(end)/time.Duration(part))
}

// waitQuiet waits until no caller has begun anything for a while. It reports whether that
// came before the time had passed.
func (c *CallerServer) waitQuiet(ctx context.Context, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, boundedWait(ctx, within, quietTimeDivisor))
	defer cancel()
	seen := c.activity.Load()
	for n := 0; n < quietPolls && ctx.Err() == nil; n++ {
		common.Sleep(ctx, quietPollInterval)
		if now := c.activity.Load(); now != seen {
			seen = now
			n = -1
		}
	}
	return ctx.Err() == nil
}
