package common

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Connections are the open connections of one client, by address. A connection may
// go silent for good without a reset while new ones work. All that were opened
// before the silence may be as dead as the one that showed it, so that they are
// given up together.
type Connections struct {
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	createdAt time.Time
	// group is nil where no other client's connections are joined.
	group   *ConnectionGroup
	traffic Traffic
	mu      sync.Mutex
	open    map[string]map[*connection]bool
}

// Traffic returns the counts of what the calls on the connections carry.
func (o *Connections) Traffic() *Traffic {
	return &o.traffic
}

// NewConnections returns none yet. They are opened by dial.
func NewConnections(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Connections {
	return &Connections{dial: dial, createdAt: time.Now(), open: map[string]map[*connection]bool{}}
}

// connection is one open connection.
type connection struct {
	net.Conn
	conns   *Connections
	address string
	// lastActive is when it was opened or last brought something, as the time since the
	// epoch: that is read and written without a lock.
	lastActive atomic.Int64
	// sent and received count its bytes.
	sent, received atomic.Int64
	// calls are those under way on it. The next may begin just before the last
	// has been noted to be over.
	calls map[*InFlightCall]bool
}

// InFlightCall is one call on its way over a connection.
type InFlightCall struct {
	conn *connection
	// kind is the call's in the counts of traffic; sent and received are what its
	// connection had carried when it began.
	kind                       string
	sentBefore, receivedBefore int64
	// abandon ends the call on a connection that is no longer trusted, where it may
	// be repeated; nil where it may not.
	abandon func()
}

// Dial opens a connection. It has the form that http.Transport wants.
func (o *Connections) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n, err := o.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: n, conns: o, address: address, calls: map[*InFlightCall]bool{}}
	c.markActive()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open[address] == nil {
		o.open[address] = map[*connection]bool{}
	}
	o.open[address][c] = true
	return c, nil
}

// Read reads, and notes that the connection is alive.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.markActive()
		c.received.Add(int64(n))
	}
	return n, err
}

// Write writes, and counts what is written.
func (c *connection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// NetConn returns the connection below.
func (c *connection) NetConn() net.Conn {
	return c.Conn
}

func (c *connection) markActive() {
	c.lastActive.Store(int64(time.Since(c.conns.createdAt)))
}

func (c *connection) activeSince(t time.Time) bool {
	return c.lastActive.Load() > int64(t.Sub(c.conns.createdAt))
}

// Close closes the connection.
func (c *connection) Close() error {
	c.conns.remove(c)
	return c.Conn.Close()
}

func (o *Connections) remove(c *connection) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.open[c.address]
	delete(l, c)
	if len(l) == 0 {
		delete(o.open, c.address)
	}
}

// Begin notes that the call is on its way over the connection, which Dial has
// opened, plain or below TLS, and no longer over an earlier one. A call that can be
// made again is ended by giveUp once the connection is no longer trusted; others have
// none.
func (o *Connections) Begin(u *InFlightCall, n net.Conn, giveUp func()) {
	c, ok := n.(*connection)
	if t, below := n.(interface{ NetConn() net.Conn }); !ok && below {
		c, ok = t.NetConn().(*connection)
	}
	if !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	u.detach()
	u.conn, u.abandon = c, giveUp
	u.sentBefore, u.receivedBefore = c.sent.Load(), c.received.Load()
	c.calls[u] = true
}

// End notes that the call is over.
func (o *Connections) End(u *InFlightCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	u.detach()
}

func (u *InFlightCall) detach() {
	c := u.conn
	if c == nil {
		return
	}
	c.conns.traffic.add(u.kind, c.sent.Load()-u.sentBefore, c.received.Load()-u.receivedBefore)
	delete(c.calls, u)
	u.conn = nil
}

// Distrust closes the idle connections to the address of a call that was not
// answered, but for those that have brought something since the time. Where its own
// connection was kept, it has gone silent, and so may have those of other calls: the
// ones that can be made again are given up. Other calls go on, and their connections
// are kept if they still answer.
func (o *Connections) Distrust(u *InFlightCall, since time.Time, kept bool) {
	idle, calls := o.silentWith(u, since)
	if !kept {
		// The other side may be slow, and no more calls are to be put to it.
		calls = nil
	}
	closeAndAbandon(idle, calls)
}

// distrustAll does the same for every address.
func (o *Connections) distrustAll(since time.Time) {
	o.mu.Lock()
	var idle []*connection
	var calls []func()
	for _, l := range o.open {
		i, c := silentSince(l, since)
		idle, calls = append(idle, i...), append(calls, c...)
	}
	o.mu.Unlock()
	closeAndAbandon(idle, calls)
}

func closeAndAbandon(idle []*connection, calls []func()) {
	for _, c := range idle {
		_ = c.Close()
	}
	for _, f := range calls {
		f()
	}
}

func (o *Connections) silentWith(of *InFlightCall, since time.Time) ([]*connection, []func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if of.conn == nil {
		return nil, nil
	}
	return silentSince(o.open[of.conn.address], since)
}

// silentSince returns those of the connections that are idle and have brought nothing
// since the time, and what ends the calls on the others.
func silentSince(l map[*connection]bool, since time.Time) ([]*connection, []func()) {
	var idle []*connection
	var calls []func()
	for c := range l {
		if c.activeSince(since) {
			continue
		}
		if len(c.calls) == 0 {
			idle = append(idle, c)
		}
		for u := range c.calls {
			if u.abandon != nil {
				calls = append(calls, u.abandon)
			}
		}
	}
	return idle, calls
}
