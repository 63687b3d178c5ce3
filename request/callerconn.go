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
// ends it: nobody else can tell whether it has just read a part of a request.
type callerConn struct {
	*net.TCPConn
	conns *callerConns
	mu    sync.Mutex
	// idle says that nothing of a next request has been read, since when.
	idle      bool
	idleSince time.Time
	// keepUntil is until when the caller has been told that it may use the idle connection.
	keepUntil time.Time
	// closing asks the reader to end the connection unless a request has come.
	closing bool
}

// Read reads. Where the time to wait for a request is over, it looks once more for one.
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

// readOrShutdown returns what has come, or shuts the connection down in the next system call.
func (k *callerConn) readOrShutdown(b []byte) (n int, err error) {
	r, err := k.SyscallConn()
	if err != nil {
		return 0, err
	}
	failed := r.Control(func(fd uintptr) {
		n, err = syscall.Read(int(fd), b)
		if n <= 0 {
			// The connection is closed next, whatever this call says.
			_ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR)
		}
	})
	if failed != nil {
		return 0, failed
	}
	if n <= 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return n, nil
}

// SetReadDeadline bounds the next reads, but not those of a connection that is to end.
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

// markIdle notes that the connection waits for its next request, which its caller may send
// within a time.
func (k *callerConn) markIdle(keep time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle, k.idleSince = true, time.Now()
	k.keepUntil = k.idleSince.Add(keep)
}

// markBusy notes that a request has begun. One that came late, or on a connection that was
// to end, has as much time for its headers as any other.
func (k *callerConn) markBusy(late bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle = false
	if k.closing {
		k.conns.servedLate.Add(1)
	}
	if late || k.closing {
		k.closing = false
		// It fails on a closed connection only, which the next read tells of.
		_ = k.TCPConn.SetReadDeadline(time.Now().Add(headerTimeout))
	}
}

// closeIfIdle asks the reader to end the connection if it is idle and no longer promised to its
// caller, and returns since when it is idle.
func (k *callerConn) closeIfIdle(now time.Time) (since time.Time, idle bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.idle || k.closing || now.Before(k.keepUntil) {
		return time.Time{}, false
	}
	k.closing = true
	// It fails on a closed connection only, whose reader ends by itself.
	_ = k.TCPConn.SetReadDeadline(time.Unix(1, 0))
	return k.idleSince, true
}

// callerConns are the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
	// servedLate counts requests that came as their connections were released, and were served.
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

// anyBusy reports whether a request is in flight on any of them.
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

// closeIdle asks idle connections to end, and notes them.
func (o *callerConns) closeIdle(to *IdleReport, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k := range o.open {
		if since, idle := k.closeIfIdle(now); idle {
			to.record(since, now)
		}
	}
}

// IdleReport tells of the idle connections that a stop closed. A caller may lose a request
// that was on its way on one of them.
type IdleReport struct {
	Closed int
	// LastClosedAt is when the last of them was closed. Oldest and Newest are since when the one that
	// was idle for longest and the one that was idle for the shortest time were.
	LastClosedAt, OldestIdleSince, NewestIdleSince time.Time
	// ServedLate is how many others were to be closed as a request came, which was served.
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

// trackingListener hands out connections that are kept account of.
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
