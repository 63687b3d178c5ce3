package request

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// callerConn is a caller's connection. While it is idle, only the goroutine that reads it
// ends it: nobody else can tell whether it has just read a part of a request.
type callerConn struct {
	*net.TCPConn
	conns *callerConns
	mu    sync.Mutex
	// idle says that nothing of a next request has been read.
	idle bool
	// answered says that the connection has carried a request.
	answered bool
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

// rest notes that the connection waits for its next request.
func (k *callerConn) rest() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle, k.answered = true, true
}

// begin notes that a request has begun. One that came late, or on a connection that was
// to end, has as much time for its headers as any other.
func (k *callerConn) begin(late bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle = false
	if late || k.released {
		k.released = false
		// It fails on a closed connection only, which the next read tells of.
		_ = k.TCPConn.SetReadDeadline(time.Now().Add(headerTimeout))
	}
}

// release asks the reader to end the connection if it is idle, and has been used or is not
// expected to be. It reports whether it did.
func (k *callerConn) release(unused bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.idle || k.released || !(k.answered || unused) {
		return false
	}
	k.released = true
	// It fails on a closed connection only, whose reader ends by itself.
	_ = k.TCPConn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// callerConns are the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newCallerConns() *callerConns {
	return &callerConns{open: map[*callerConn]struct{}{}}
}

func (o *callerConns) add(c *net.TCPConn) *callerConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	k := &callerConn{TCPConn: c, conns: o, idle: true}
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

// release asks idle connections to end, also unused ones if told so, and returns how many.
func (o *callerConns) release(unused bool) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for k := range o.open {
		if k.release(unused) {
			n++
		}
	}
	return n
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
