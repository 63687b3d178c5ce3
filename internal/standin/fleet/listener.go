package fleet

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// faultyListener is a listener that can make new connections hang, and whose open
// connections can be silenced.
type faultyListener struct {
	*net.TCPListener
	mu                  sync.Mutex
	conns               map[*faultyConn]bool
	hung, closed        chan struct{}
	hangOnce, closeOnce sync.Once
	backlogConns        []net.Conn
}

// anyAddress lets the kernel choose a port.
const anyAddress = "127.0.0.1:0"

func newFaultyListener(address string) (*faultyListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.New("not a TCP listener")
	}
	return &faultyListener{TCPListener: t, hung: make(chan struct{}), closed: make(chan struct{}), conns: map[*faultyConn]bool{}}, nil
}

// Accept returns the next connection. Once new connections hang, it waits for Close.
func (l *faultyListener) Accept() (net.Conn, error) {
	for {
		select {
		case <-l.hung:
			<-l.closed
			return nil, net.ErrClosed
		default:
		}
		c, err := l.TCPListener.Accept()
		switch {
		case err == nil:
			return l.track(c), nil
		case !isTimeout(err):
			return nil, err
		}
	}
}

func (l *faultyListener) track(c net.Conn) net.Conn {
	s := &faultyConn{Conn: c, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[s] = true
	return s
}

func (l *faultyListener) silence(oneWay bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.loseAnswers.Store(true)
		c.loseRequests.Store(!oneWay || c.loseRequests.Load())
	}
}

// faultyConn is a connection that can be silenced for good.
type faultyConn struct {
	net.Conn
	listener                  *faultyListener
	loseRequests, loseAnswers atomic.Bool
	closeOnce                 sync.Once
	closed                    chan struct{}
}

// Read implements io.Reader. Once requests are lost, it waits for Close.
func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.loseRequests.Load() || isTimeout(err) {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements io.Writer. Once answers are lost, it discards the bytes.
func (c *faultyConn) Write(b []byte) (int, error) {
	if c.loseAnswers.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *faultyConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// Close closes the listener.
func (l *faultyListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		for _, c := range l.backlogConns {
			_ = c.Close()
		}
	})
	return l.TCPListener.Close()
}

// backlogDialTimeout is how long a dial on loopback may take before the accept queue of
// the listener counts as full.
const backlogDialTimeout = 50 * time.Millisecond

// hang makes new connections hang: none are accepted any more, and the accept queue of
// the listener is made as short as it can be, and filled.
func (l *faultyListener) hang() {
	l.hangOnce.Do(func() {
		close(l.hung)
		_ = l.SetDeadline(time.Now())
		if r, err := l.SyscallConn(); err == nil {
			_ = r.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
		}
		// A single dial may also time out because the machine is busy.
		for timeouts := 0; timeouts < 2; {
			c, err := net.DialTimeout("tcp", l.Addr().String(), backlogDialTimeout)
			if err != nil {
				timeouts++
				continue
			}
			timeouts = 0
			l.backlogConns = append(l.backlogConns, c)
		}
	})
}
