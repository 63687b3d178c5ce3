package request

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// callerConn is a caller's connection. While it is idle, only the goroutine that reads it
// closes it: no other can tell whether part of a request has just been read.
type callerConn struct {
	*net.TCPConn
	conns *callerConns
	mu    sync.Mutex
	// idle says that nothing of the next request has been read, since idleSince.
	idle      bool
	idleSince time.Time
	// keepUntil is the end of the Keep-Alive timeout that was announced to the caller:
	// until then it may use the idle connection.
	keepUntil time.Time
	// closing asks the reader to close the connection unless a request has arrived.
	closing bool
}

// Read reads from the connection. If an idle connection's read deadline passes, it checks
// once more for a request.
func (k *callerConn) Read(b []byte) (int, error) {
	n, err := k.TCPConn.Read(b)
	late := n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && k.isIdle()
	if late {
		n, err = k.readOrShutdown(b)
	}
	if n > 0 {
		k.markBusy(late)
	}
	return n, err
}

// readOrShutdown returns what has arrived. If that is nothing, it shuts the connection
// down in the very next system call, which leaves next to no time for a request to arrive
// in between.
func (k *callerConn) readOrShutdown(b []byte) (n int, err error) {
	r, err := k.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := r.Control(func(fd uintptr) {
		n, err = syscall.Read(int(fd), b)
		if n <= 0 {
			// The connection is closed next, so the result does not matter.
			_ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR)
		}
	})
	if controlErr != nil {
		return 0, controlErr
	}
	if n <= 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return n, nil
}

// SetReadDeadline sets the deadline of reads, unless the connection is closing.
func (k *callerConn) SetReadDeadline(t time.Time) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closing {
		return nil
	}
	return k.TCPConn.SetReadDeadline(t)
}

// Close closes the connection.
func (k *callerConn) Close() error {
	k.conns.remove(k)
	return k.TCPConn.Close()
}

func (k *callerConn) isIdle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.idle
}

// markIdle records that the connection waits for its next request, which the caller may
// send within the announced timeout.
func (k *callerConn) markIdle(keepAlive time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle, k.idleSince = true, time.Now()
	k.keepUntil = k.idleSince.Add(keepAlive)
}

// markBusy records that a request has begun. One that arrived after the deadline, or on a
// closing connection, gets as much time for its headers as any other.
func (k *callerConn) markBusy(late bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle = false
	if k.closing {
		k.conns.servedLate.Add(1)
	}
	if late || k.closing {
		k.closing = false
		// It fails only on a closed connection, which the next read reports.
		_ = k.TCPConn.SetReadDeadline(time.Now().Add(headerTimeout))
	}
}

// closeIfIdle asks the reader to close the connection if it is idle and the timeout
// announced to its caller has passed. If so, it returns when the connection became idle,
// and true.
func (k *callerConn) closeIfIdle(now time.Time) (since time.Time, idle bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.idle || k.closing || now.Before(k.keepUntil) {
		return time.Time{}, false
	}
	k.closing = true
	// It fails only on a closed connection, whose reader ends on its own.
	_ = k.TCPConn.SetReadDeadline(time.Unix(1, 0))
	return k.idleSince, true
}

// callerConns are the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
	// servedLate counts requests that arrived while their connections were closing, and
	// were served.
	servedLate atomic.Int64
}

func newCallerConns() *callerConns {
	return &callerConns{open: map[*callerConn]struct{}{}}
}

func (o *callerConns) add(c *net.TCPConn) *callerConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	k := &callerConn{TCPConn: c, conns: o, idle: true, idleSince: time.Now()}
	o.open[k] = struct{}{}
	return k
}

func (o *callerConns) remove(k *callerConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, k)
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

// trackingListener wraps each accepted connection in a callerConn.
type trackingListener struct {
	*CallerListener
	conns *callerConns
}

// Accept returns the next connection.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.CallerListener.Accept()
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return l.conns.add(t), nil
}
