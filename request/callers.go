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
	// quietTick is the time between two looks for new requests. A look that comes
	// late counts as one, so that a process that was held up does not take the
	// requests which wait to be read by it for none.
	quietTick = 25 * time.Millisecond
	// quietTicks is how many looks in a row have to find none: together some ten
	// times as long as a request takes from its caller to a busy host.
	quietTicks = 10
	// quietWithin bounds the wait for callers that go on opening connections:
	// they are past the delay that the balancer needs.
	quietWithin = 5 * time.Second
	// CallerPause is how long a stop waits for callers that keep connections open and
	// pause: each connection is closed by its next answer.
	CallerPause = 3 * time.Second
	// quietShare and keptShare are the parts of the time left that these waits may take:
	// the rest stays for what is in flight.
	quietShare, keptShare = 4, 2
	// callerIdle closes connections that carry nothing: callers ask again within
	// seconds or not at all.
	callerIdle = time.Minute
)

// Callers is the listener's side of the callers' interface. Its stop loses no request of
// callers that come back while it waits for them: HTTP/1.1 has no way to tell a caller that
// an idle connection is about to be closed.
type Callers struct {
	handler http.Handler
	server  *http.Server
	conns   *callerConns
	// keep is for how long callers are told that they may use an idle connection.
	keep time.Duration
	// keepAlive says so in an answer's header; it is empty where nothing is told.
	keepAlive string
	// pause is how long a stop waits for callers that pause, whatever they were told.
	pause time.Duration
	// served is closed once the listener brings no more connections.
	served chan struct{}
	// leaving says that each further answer closes its connection.
	leaving atomic.Bool
	// begun counts connections and requests that began.
	begun atomic.Int64
}

// NewCallers returns the listener's side of the handler. Answers tell callers for how long
// they may use an idle connection, in whole seconds; KeepFor says what a stop bears. A stop
// waits for pausing callers that have not been told.
func NewCallers(h http.Handler, keep, pause time.Duration) *Callers {
	c := &Callers{handler: h, conns: newCallerConns(), keep: keep.Truncate(time.Second), pause: pause, served: make(chan struct{})}
	if c.keep > 0 {
		c.keepAlive = fmt.Sprintf("timeout=%d", c.keep/time.Second)
	}
	c.server = &http.Server{Handler: c, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, ConnState: c.note}
	return c
}

// KeepFor returns for how long an idle connection stays open at least in a stop that delays
// for one time and ends within another.
func KeepFor(delay, within time.Duration) time.Duration {
	return min(CallerPause, within, delay+(within-delay)/keptShare)
}

// Leave makes every further answer close its connection.
func (c *Callers) Leave() {
	c.leaving.Store(true)
}

// ServeHTTP answers one caller.
func (c *Callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case c.leaving.Load():
		w.Header().Set("Connection", "close")
	case c.keepAlive != "":
		// RFC 2068, section 19.7.1.1.
		w.Header().Set("Connection", "keep-alive")
		w.Header().Set("Keep-Alive", c.keepAlive)
	}
	c.handler.ServeHTTP(w, r)
}

// note counts what a caller begins, and follows which connections are idle.
func (c *Callers) note(conn net.Conn, s http.ConnState) {
	if s == http.StateNew || s == http.StateActive {
		c.begun.Add(1)
	}
	k, ok := conn.(*callerConn)
	switch {
	case !ok:
	case s == http.StateActive:
		k.begin(false)
	case s == http.StateIdle:
		k.rest(c.keep)
	}
}

// Serve serves the listener's connections until it is closed. It is called once.
func (c *Callers) Serve(l *CallerListener) error {
	defer close(c.served)
	return c.server.Serve(connListener{l, c.conns})
}

// StopReport tells what a stop met, so that the cause of a request that it lost can be
// told from its log line.
type StopReport struct {
	Handshakes
	Idle IdleReport
	// Quiet says that callers had stopped opening connections before the listener was
	// closed.
	Quiet bool
	// CloseErr is the error of the listener's close.
	CloseErr error
}

// Inputs returns the report as names and values by turns, for a log line.
func (r StopReport) Inputs() []any {
	l := []any{
		"quiet", r.Quiet,
		"half_open", r.Most, "half_open_given_up", r.Left, "waited_for_accept", r.Waited,
		"close_took_us", r.ClosedAt.Sub(r.KeptOutAt).Microseconds(),
		"idle_closed", r.Idle.Closed, "served_late", r.Idle.Late,
	}
	if r.Idle.Closed > 0 {
		l = append(l, "idle_least_ms", r.Idle.At.Sub(r.Idle.Newest).Milliseconds(), "idle_most_ms", r.Idle.At.Sub(r.Idle.Oldest).Milliseconds())
	}
	if err := errors.Join(r.Err, r.CloseErr); err != nil {
		l = append(l, "error", err.Error())
	}
	return l
}

// Stop takes requests until callers have stopped sending them or the waits for
// that have passed, and returns once none is in flight or the context ends.
func (c *Callers) Stop(ctx context.Context, l *CallerListener) (StopReport, error) {
	var r StopReport
	c.Leave()
	r.Quiet = c.waitQuiet(ctx, quietWithin)
	r.CloseErr = l.Close()
	r.Handshakes = l.Handshakes()
	var err error
	r.Idle, err = c.drain(ctx)
	return r, errors.Join(err, c.server.Close())
}

// drain waits until no connection is open. It closes those that are still idle after a
// while, unless their callers have been told that they may use them for longer. It does without Shutdown, which drops the requests that are read from then on.
func (c *Callers) drain(ctx context.Context) (IdleReport, error) {
	var r IdleReport
	select {
	case <-c.served:
	case <-ctx.Done():
		return r, ctx.Err()
	}
	end := time.Now().Add(waitFor(ctx, c.pause, keptShare))
	for c.conns.count() > 0 && ctx.Err() == nil {
		if !time.Now().Before(end) {
			c.conns.release(&r, time.Now())
		}
		common.Sleep(ctx, quietTick)
	}
	r.Late = int(c.conns.late.Load())
	r.Closed -= r.Late
	if c.conns.busy() {
		return r, ctx.Err()
	}
	return r, nil
}

// waitFor returns how long a wait may take that has a part of the time left.
func waitFor(ctx context.Context, most time.Duration, part int) time.Duration {
	end, bounded := ctx.Deadline()
	if !bounded {
		return most
	}
	return min(most, time.Until(end)/time.Duration(part))
}

// waitQuiet waits until no caller has begun anything for a while. It reports whether that
// came before the time had passed.
func (c *Callers) waitQuiet(ctx context.Context, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, waitFor(ctx, within, quietShare))
	defer cancel()
	seen := c.begun.Load()
	for n := 0; n < quietTicks && ctx.Err() == nil; n++ {
		common.Sleep(ctx, quietTick)
		if now := c.begun.Load(); now != seen {
			seen = now
			n = -1
		}
	}
	return ctx.Err() == nil
}
