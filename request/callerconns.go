package request

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// callerConns are the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
	// budget counts what the requests hold.
	budget budget
	// maxOpen bounds the open connections; 0 is no bound.
	maxOpen int
	// full says that a new connection waits for room, and changed that there may be some.
	full    atomic.Bool
	changed chan struct{}
	// closedForOthers counts the connections that were closed to make room.
	closedForOthers atomic.Int64
	// slowBodies and unreadAnswers count the bodies that did not arrive in time, and the
	// answers that were not read in time.
	slowBodies, unreadAnswers atomic.Int64
	// servedLate counts requests that arrived while their connections were closing, and
	// were served.
	servedLate atomic.Int64
}

func newCallerConns(l Limits) *callerConns {
	return &callerConns{open: map[*callerConn]struct{}{}, budget: budget{limit: l.Bytes}, maxOpen: l.Conns, changed: make(chan struct{}, 1)}
}

func (o *callerConns) add(c *net.TCPConn) *callerConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	k := &callerConn{TCPConn: c, conns: o, idleSince: time.Now()}
	o.open[k] = struct{}{}
	return k
}

func (o *callerConns) remove(k *callerConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, k)
	o.notify()
}

func (o *callerConns) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
}

// anyBusy reports whether a request is in flight on any connection.
func (o *callerConns) anyBusy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k := range o.open {
		if !k.isIdle() {
			return true
		}
	}
	return false
}

// closeIdle asks the idle connections to close, and adds them to the report.
func (o *callerConns) closeIdle(to *IdleReport, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k := range o.open {
		if since, idle := k.closeIfIdle(now); idle {
			to.record(since, now)
		}
	}
}

// IdleReport describes the idle connections that a stop closed. A caller may lose a
// request that was on its way on one of them.
type IdleReport struct {
	Closed int
	// LastClosedAt is when the last of them was closed. OldestIdleSince and
	// NewestIdleSince are when the first and the last of them became idle.
	LastClosedAt, OldestIdleSince, NewestIdleSince time.Time
	// ServedLate is how many more connections were closing when a request arrived on
	// them; it was served.
	ServedLate int
}

func (r *IdleReport) record(since, now time.Time) {
	if r.Closed == 0 || since.Before(r.OldestIdleSince) {
		r.OldestIdleSince = since
	}
	if since.After(r.NewestIdleSince) {
		r.NewestIdleSince = since
	}
	r.LastClosedAt = now
	r.Closed++
}
