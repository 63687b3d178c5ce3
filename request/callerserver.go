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

// Timing of a planned stop.
const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// quietPollInterval is the time between two polls for new requests. Polls are counted
	// rather than timed, so that a process that was stalled does not conclude that
	// callers are quiet while their requests still wait to be read.
	quietPollInterval = 25 * time.Millisecond
	// quietPolls is how many polls in a row must find no new request: together about ten
	// times as long as a request takes from its caller to a busy host.
	quietPolls = 10
	// quietTimeout bounds the wait for callers that keep opening connections: the delay
	// that the balancer needs to notice the stop has already passed.
	quietTimeout = 5 * time.Second
	// IdleGrace is how long a stop waits for the next request on connections that callers
	// keep open: its answer closes the connection.
	IdleGrace = 3 * time.Second
	// quietTimeDivisor and idleTimeDivisor divide the time left for the stop: each wait
	// takes no more than that part of it, and the rest is for requests in flight.
	quietTimeDivisor, idleTimeDivisor = 4, 2
	// callerIdleTimeout closes idle connections: callers send the next request within
	// seconds or not at all.
	callerIdleTimeout = time.Minute
)

// CallerServer is the HTTP server for callers. HTTP/1.1 cannot tell a caller that an idle
// connection is about to be closed. A stop therefore waits some time for the next request
// on each connection, and loses none that is sent in that time.
type CallerServer struct {
	handler http.Handler
	server  *http.Server
	conns   *callerConns
	// keepAliveTimeout is announced to callers: for that long they may use an idle
	// connection.
	keepAliveTimeout time.Duration
	// keepAliveHeader is the Keep-Alive header that announces it; empty if nothing is
	// announced.
	keepAliveHeader string
	// idleGrace is how long a stop waits for callers between requests, whatever was
	// announced.
	idleGrace time.Duration
	// serveDone is closed once the listener returns no more connections.
	serveDone chan struct{}
	// keepAlivesDisabled makes each further answer close its connection.
	keepAlivesDisabled atomic.Bool
	// activity counts the connections and requests that began.
	activity atomic.Int64
}

// NewCallerServer returns a server for the handler. Answers announce to callers that they
// may use an idle connection for keepAlive, in whole seconds; KeepAliveTimeout returns
// what a stop can honour. During a stop, an idle connection stays open for the grace
// period, and longer if the announced timeout has not passed by then.
func NewCallerServer(h http.Handler, keepAlive, grace time.Duration, l Limits) *CallerServer {
	c := &CallerServer{handler: h, conns: newCallerConns(l), keepAliveTimeout: keepAlive.Truncate(time.Second), idleGrace: grace, serveDone: make(chan struct{})}
	if c.keepAliveTimeout > 0 {
		c.keepAliveHeader = fmt.Sprintf("timeout=%d", c.keepAliveTimeout/time.Second)
	}
	c.server = &http.Server{
		Handler: c, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: MaxHeaderBytes,
		ConnState: c.trackState, ConnContext: withCallerConn,
	}
	return c
}

// KeepAliveTimeout returns how long an idle connection is guaranteed to stay open in a
// stop that serves requests as usual for the delay and has to end within the given time.
func KeepAliveTimeout(delay, within time.Duration) time.Duration {
	return min(IdleGrace, within, delay+(within-delay)/idleTimeDivisor)
}

// DisableKeepAlives makes each further answer close its connection.
func (c *CallerServer) DisableKeepAlives() {
	c.keepAlivesDisabled.Store(true)
}

// callerConnKey is the key of a request's connection in its context.
type callerConnKey struct{}

func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// ServeHTTP answers one request.
func (c *CallerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if k, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		if r, ok = k.guard(r); !ok {
			refuse(w, r)
			return
		}
	}
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

// trackState counts new connections and requests, and records which connections are idle.
func (c *CallerServer) trackState(conn net.Conn, s http.ConnState) {
	if s == http.StateNew || s == http.StateActive {
		c.activity.Add(1)
	}
	if k, ok := conn.(*callerConn); ok && s == http.StateIdle {
		k.markIdle(c.keepAliveTimeout)
	}
}

// Serve serves the listener's connections until it is closed. It must be called only
// once.
func (c *CallerServer) Serve(l *CallerListener) error {
	defer close(c.serveDone)
	if err := l.boundBacklog(); err != nil {
		return err
	}
	return c.server.Serve(trackingListener{l, c.conns})
}

// Close closes the listener and all connections, without regard for requests in flight.
func (c *CallerServer) Close() error {
	return c.server.Close()
}

// Counts are figures of a server's limits.
type Counts struct {
	// EvictedRequests counts the requests that were given up for lack of memory before they
	// were read completely.
	EvictedRequests int64
	// HeldBytes is what the requests hold now.
	HeldBytes int64
	// ClosedConns counts the connections that were closed to make room for others.
	ClosedConns int64
	// SlowBodies counts the bodies that did not arrive in time, and UnreadAnswers the answers
	// that were not read in time.
	SlowBodies, UnreadAnswers int64
	// OpenConns is how many connections are open now.
	OpenConns int
}

// Counts returns the present figures.
func (c *CallerServer) Counts() Counts {
	o := c.conns
	return Counts{
		EvictedRequests: o.budget.evicted.Load(),
		HeldBytes:       o.budget.used.Load(),
		ClosedConns:     o.closedForOthers.Load(),
		SlowBodies:      o.slowBodies.Load(),
		UnreadAnswers:   o.unreadAnswers.Load(),
		OpenConns:       o.count(),
	}
}

// StopReport describes a stop, so that the cause of a lost request can be found from its
// log line.
type StopReport struct {
	HandshakeReport
	Idle IdleReport
	// Quiet says that callers had stopped opening connections before the listener was
	// closed.
	Quiet bool
	// CloseErr is the error of the listener's Close.
	CloseErr error
}

// LogFields returns the report as alternating names and values for a log line.
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

// Stop goes on accepting requests until callers have stopped sending them or the time for
// that has passed, and returns once none is in flight or the context ends.
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

// drain waits until no connection is open. After idleGrace it closes those that are still
// idle, unless the timeout announced to their callers has not passed. It does not use
// http.Server.Shutdown, which drops requests that are read after it was called.
func (c *CallerServer) drain(ctx context.Context) (IdleReport, error) {
	var r IdleReport
	select {
	case <-c.serveDone:
	case <-ctx.Done():
		return r, ctx.Err()
	}
	c.conns.servedLate.Store(0)
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

// boundedWait returns how long a wait may take: the limit, or the time left divided by
// the divisor if that is less.
func boundedWait(ctx context.Context, limit time.Duration, divisor int) time.Duration {
	end, bounded := ctx.Deadline()
	if !bounded {
		return limit
	}
	return min(limit, time.Until(end)/time.Duration(divisor))
}

// waitQuiet waits until quietPolls polls in a row find no new connection or request. It
// reports whether that happened within the time.
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
