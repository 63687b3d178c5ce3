package common

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Connections are the open connections of one client, by address. A connection may
// become silent for good, without a reset, while new ones work. All that have received
// nothing since may be as dead as the one that is found silent, so they are abandoned
// together.
type Connections struct {
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	createdAt time.Time
	// group is nil unless JoinConnections was called.
	group   *ConnectionGroup
	traffic Traffic
	mu      sync.Mutex
	open    map[string]map[*connection]bool
}

// Traffic returns the byte counts of the calls on the connections.
func (o *Connections) Traffic() *Traffic {
	return &o.traffic
}

// NewConnections returns an empty set, whose connections dial opens.
func NewConnections(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Connections {
	return &Connections{dial: dial, createdAt: time.Now(), open: map[string]map[*connection]bool{}}
}

// connection is one open connection.
type connection struct {
	net.Conn
	conns   *Connections
	address string
	// lastActive is when it was opened or last received something, as a duration since
	// conns.createdAt, so that it is read and written without a lock.
	lastActive atomic.Int64
	// sent and received count its bytes.
	sent, received atomic.Int64
	// calls are those in flight on it. There may be two for a moment: the next can begin
	// just before the end of the last one is recorded.
	calls map[*InFlightCall]bool
}

// InFlightCall is one call in flight on a connection.
type InFlightCall struct {
	conn *connection
	// kind is the kind by which Traffic counts the call.
	kind string
	// sentBefore and receivedBefore are the bytes that its connection had carried when the
	// call began.
	sentBefore, receivedBefore int64
	// abandon ends the call if its connection is no longer trusted. It is nil for a call
	// that has to go on.
	abandon func()
}

// Dial opens a connection. It fits http.Transport.DialContext.
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

// Read implements io.Reader, and records that the connection is alive.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.markActive()
		c.received.Add(int64(n))
	}
	return n, err
}

// Write implements io.Writer, and counts the bytes.
func (c *connection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// NetConn returns the underlying connection.
func (c *connection) NetConn() net.Conn {
	return c.Conn
}

func (c *connection) markActive() {
	c.lastActive.Store(int64(time.Since(c.conns.createdAt)))
}

func (c *connection) activeSince(t time.Time) bool {
	return c.lastActive.Load() > int64(t.Sub(c.conns.createdAt))
}

// Close closes the connection and removes it from the set.
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

// Begin records that the call is in flight on the connection n, and no longer on an
// earlier one. n was opened by Dial, or is a TLS connection over one that was. onDistrust
// is called once the connection is no longer trusted; it is nil for a call that has to go
// on.
func (o *Connections) Begin(call *InFlightCall, n net.Conn, onDistrust func()) {
	c, ok := n.(*connection)
	if t, wraps := n.(interface{ NetConn() net.Conn }); !ok && wraps {
		c, ok = t.NetConn().(*connection)
	}
	if !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	call.detach()
	call.conn, call.abandon = c, onDistrust
	call.sentBefore, call.receivedBefore = c.sent.Load(), c.received.Load()
	c.calls[call] = true
}

// End records that the call is over.
func (o *Connections) End(call *InFlightCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	call.detach()
}

func (call *InFlightCall) detach() {
	c := call.conn
	if c == nil {
		return
	}
	c.conns.traffic.add(call.kind, c.sent.Load()-call.sentBefore, c.received.Load()-call.receivedBefore)
	delete(c.calls, call)
	call.conn = nil
}

// Distrust closes the idle connections to the address of a call that got no answer,
// except those that have received something since the given time. If the call's own
// connection was reused, it has become silent, and the connections of other calls may
// be silent too: those calls that have an abandon function are abandoned. The others go
// on, and their connections stay open if they still get answers.
func (o *Connections) Distrust(call *InFlightCall, since time.Time, reused bool) {
	idle, calls := o.silentWith(call, since)
	if !reused {
		// The other side may only be slow; repeated calls would add to its load.
		calls = nil
	}
	closeAndAbandon(idle, calls)
}

// distrustAll distrusts the connections to every address, as Distrust does for a reused
// connection.
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

// silentWith returns the silent connections to the address of the call, as silentSince
// does.
func (o *Connections) silentWith(call *InFlightCall, since time.Time) ([]*connection, []func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if call.conn == nil {
		return nil, nil
	}
	return silentSince(o.open[call.conn.address], since)
}

// silentSince considers the connections that have received nothing since the given time.
// It returns the idle ones, and the abandon functions of the calls on the others.
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
		for call := range c.calls {
			if call.abandon != nil {
				calls = append(calls, call.abandon)
			}
		}
	}
	return idle, calls
}
