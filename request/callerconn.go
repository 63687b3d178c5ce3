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
	idle  bool
	since time.Time
	// promised is until when the caller has been told that it may use the idle connection.
	promised time.Time
	// released asks the reader to end the connection unless a request has come.
	released bool
}

// Read reads. Where the time to wait for a request is over, it looks once more for one.
func (k *callerConn) Read(b []byte) (int, error) {
	n, err := k.TCPConn.Read(b)
	late := n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && k.isIdle()
	if late {
		n, err = k.lastRead(b)
	}
	if n > 0 {
		k.begin(late)
	}
	return n, err
}

// lastRead returns what has come, or shuts the connection down in the next system call.
func (k *callerConn) lastRead(b []byte) (n int, err error) {
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
	if k.released {
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

// rest notes that the connection waits for its next request, which its caller may send
// within a time.
func (k *callerConn) rest(keep time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle, k.since = true, time.Now()
	k.promised = k.since.Add(keep)
}

// begin notes that a request has begun. One that came late, or on a connection that was
// to end, has as much time for its headers as any other.
func (k *callerConn) begin(late bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle = false
	if k.released {
		k.conns.late.Add(1)
	}
	if late || k.released {
		k.released = false
		// It fails on a closed connection only, which the next read tells of.
		_ = k.TCPConn.SetReadDeadline(time.Now().Add(headerTimeout))
	}
}

// release asks the reader to end the connection if it is idle and no longer promised to its
// caller, and returns since when it is idle.
func (k *callerConn) release(now time.Time) (since time.Time, idle bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.idle || k.released || now.Before(k.promised) {
		return time.Time{}, false
	}
	k.released = true
	// It fails on a closed connection only, whose reader ends by itself.
	_ = k.TCPConn.SetReadDeadline(time.Unix(1, 0))
	return k.since, true
}

// callerConns are the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
	// late counts requests that came as their connections were released, and were served.
	late atomic.Int64
}

func newCallerConns() *callerConns {
	return &callerConns{open: map[*callerConn]struct{}{}}
}

func (o *callerConns) add(c *net.TCPConn) *callerConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	k := &callerConn{TCPConn: c, conns: o, idle: true, since: time.Now()}
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

// busy reports whether a request is in flight on any of them.
func (o *callerConns) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k := range o.open {
		if !k.isIdle() {
			return true
		}
	}
	return false
}

// release asks idle connections to end, and notes them.
func (o *callerConns) release(to *IdleReport, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k := range o.open {
		if since, idle := k.release(now); idle {
			to.note(since, now)
		}
	}
}

// IdleReport tells of the idle connections that a stop closed. A caller may lose a request
// that was on its way on one of them.
type IdleReport struct {
	Closed int
	// At is when the last of them was closed. Oldest and Newest are since when the one that
	// was idle for longest and the one that was idle for the shortest time were.
	At, Oldest, Newest time.Time
	// Late is how many others were to be closed as a request came, which was served.
	Late int
}

func (r *IdleReport) note(since, now time.Time) {
	if r.Closed == 0 || since.Before(r.Oldest) {
		r.Oldest = since
	}
	if since.After(r.Newest) {
		r.Newest = since
	}
	r.At = now
	r.Closed++
}

// connListener hands out connections that are kept account of.
type connListener struct {
	*CallerListener
	conns *callerConns
}

// Accept returns the next connection.
func (l connListener) Accept() (net.Conn, error) {
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
