package fleet

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// faultyListener is a listener that can be shut so that connections to it hang, and whose
// open connections can fall silent.
type faultyListener struct {
	*net.TCPListener
	mu                  sync.Mutex
	conns               map[*faultyConn]bool
	hung, closed        chan struct{}
	hangOnce, closeOnce sync.Once
	backlogConns        []net.Conn
}

// anyAddress has the kernel choose a port.
const anyAddress = "127.0.0.1:0"

func newFaultyListener(address string) (*faultyListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.New("no TCP listener")
	}
	return &faultyListener{TCPListener: t, hung: make(chan struct{}), closed: make(chan struct{}), conns: map[*faultyConn]bool{}}, nil
}

// Accept returns the next connection, and waits for Close once it is shut.
func (g *faultyListener) Accept() (net.Conn, error) {
	for {
		select {
		case <-g.hung:
			<-g.closed
			return nil, net.ErrClosed
		default:
		}
		c, err := g.TCPListener.Accept()
		switch {
		case err == nil:
			return g.track(c), nil
		case !isTimeout(err):
			return nil, err
		}
	}
}

func (g *faultyListener) track(c net.Conn) net.Conn {
	s := &faultyConn{Conn: c, listener: g, closed: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[s] = true
	return s
}

func (g *faultyListener) silence(oneWay bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.loseAnswers.Store(true)
		c.loseRequests.Store(!oneWay || c.loseRequests.Load())
	}
}

// faultyConn is a connection that can fall silent for good.
type faultyConn struct {
	net.Conn
	listener                  *faultyListener
	loseRequests, loseAnswers atomic.Bool
	closeOnce                 sync.Once
	closed                    chan struct{}
}

// Read reads what the other side sends, and nothing more once that is lost.
func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.loseRequests.Load() || isTimeout(err) {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write sends, unless that is lost.
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

// Close ends the listener.
func (g *faultyListener) Close() error {
	g.closeOnce.Do(func() {
		close(g.closed)
		for _, c := range g.backlogConns {
			_ = c.Close()
		}
	})
	return g.TCPListener.Close()
}

// backlogDialTimeout is how long a connection may take on loopback before the queue of the
// listener counts as full.
const backlogDialTimeout = 50 * time.Millisecond

// hang has new connections hang: nobody accepts any more, and the queue of the
// listener is as short as it can be, and full.
func (g *faultyListener) hang() {
	g.hangOnce.Do(func() {
		close(g.hung)
		_ = g.SetDeadline(time.Now())
		if r, err := g.SyscallConn(); err == nil {
			_ = r.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
		}
		for range 8 {
			c, err := net.DialTimeout("tcp", g.Addr().String(), backlogDialTimeout)
			if err != nil {
				return
			}
			g.backlogConns = append(g.backlogConns, c)
		}
	})
}
