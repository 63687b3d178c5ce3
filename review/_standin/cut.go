package main

import (
	"net"
	"sync"
)

// cutListener is a listener whose connections can be cut off for a time: nothing passes in either direction, and what
// was sent meanwhile is lost.
type cutListener struct {
	net.Listener
	mu sync.Mutex
	// healed is closed at the end of a cut. It is nil unless there is one.
	healed chan struct{}
	conns  map[*cutConn]bool
}

func newCutListener(l net.Listener) *cutListener {
	return &cutListener{Listener: l, conns: map[*cutConn]bool{}}
}

// cut begins a cut.
func (l *cutListener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
	for c := range l.conns {
		c.lost = true
	}
}

// heal ends the cut. Connections from before or during it do not work any more.
func (l *cutListener) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.healed)
	l.healed = nil
	for c := range l.conns {
		if c.lost {
			_ = c.Conn.Close()
		}
	}
}

// Accept returns the next connection.
func (l *cutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := &cutConn{Conn: c, of: l, lost: l.healed != nil}
	l.conns[k] = true
	return k, nil
}

// cutConn is a connection of a cutListener.
type cutConn struct {
	net.Conn
	of *cutListener
	// lost says that the connection was open during a cut.
	lost bool
}

// wait waits for the end of a cut, and reports whether the connection was lost in one.
func (c *cutConn) wait() bool {
	c.of.mu.Lock()
	lost, healed := c.lost, c.of.healed
	c.of.mu.Unlock()
	if lost && healed != nil {
		<-healed
	}
	return lost
}

// Read reads what has come while the connection is not cut.
func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.wait() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes while the connection is not cut.
func (c *cutConn) Write(b []byte) (int, error) {
	if c.wait() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *cutConn) Close() error {
	c.of.mu.Lock()
	delete(c.of.conns, c)
	c.of.mu.Unlock()
	return c.Conn.Close()
}
