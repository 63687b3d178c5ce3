package peers

import (
	"context"
	"iter"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/peer"
)

// boundedListener is a listener with a bounded number of open connections. At the bound, one is
// closed for a new one: first those without a call that had the token, then the one that has
// sent nothing for longest. Entry hosts probe each other.
type boundedListener struct {
	net.Listener
	max  int
	mu   sync.Mutex
	open map[*boundedConn]struct{}
}

// BoundConnections returns a listener that has at most so many connections open.
func BoundConnections(l net.Listener, most int) net.Listener {
	return &boundedListener{Listener: l, max: most, open: map[*boundedConn]struct{}{}}
}

// Accept returns the next connection.
func (b *boundedListener) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.open) >= b.max {
		k, _ := chooseClosed(b.lastReads())
		delete(b.open, k)
		// Its reader finds it closed, whatever Close returns.
		_ = k.Conn.Close()
	}
	k := &boundedConn{Conn: c, listener: b}
	k.readAt.Store(time.Now().UnixNano())
	b.open[k] = struct{}{}
	return k, nil
}

// lastRead says when the last bytes of a connection were read, and whether a call on it had the
// token.
type lastRead struct {
	authorized bool
	at         int64
}

func (r lastRead) closeBefore(o lastRead) bool {
	if r.authorized != o.authorized {
		return o.authorized
	}
	return r.at < o.at
}

// lastReads returns the open connections with their last reads. The caller must hold b.mu.
func (b *boundedListener) lastReads() iter.Seq2[*boundedConn, lastRead] {
	return func(yield func(*boundedConn, lastRead) bool) {
		for k := range b.open {
			if !yield(k, lastRead{k.authorized.Load(), k.readAt.Load()}) {
				return
			}
		}
	}
}

// chooseClosed returns the key of the connection to close first, or false if there is none.
func chooseClosed[K any](l iter.Seq2[K, lastRead]) (chosen K, found bool) {
	var first lastRead
	for k, r := range l {
		if !found || r.closeBefore(first) {
			chosen, first, found = k, r, true
		}
	}
	return chosen, found
}

// boundedConn is a connection of a boundedListener.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	// readAt is when the last bytes were read, in nanoseconds of Unix time.
	readAt atomic.Int64
	// authorized says that a call on it had the token.
	authorized atomic.Bool
}

// Read reads from the connection.
func (k *boundedConn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if n > 0 {
		k.readAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// connAddr is the remote address of a boundedConn, by which a call finds its connection.
type connAddr struct {
	net.Addr
	conn *boundedConn
}

// RemoteAddr returns the remote address.
func (k *boundedConn) RemoteAddr() net.Addr {
	return connAddr{k.Conn.RemoteAddr(), k}
}

// markAuthorized records that a call had the token.
func markAuthorized(ctx context.Context) {
	if p, ok := peer.FromContext(ctx); ok {
		if a, ok := p.Addr.(connAddr); ok {
			a.conn.authorized.Store(true)
		}
	}
}

// Close closes the connection.
func (k *boundedConn) Close() error {
	k.listener.mu.Lock()
	delete(k.listener.open, k)
	k.listener.mu.Unlock()
	return k.Conn.Close()
}
