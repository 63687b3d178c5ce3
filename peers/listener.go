package peers

import (
	"iter"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// boundedListener is a listener with a bounded number of open connections. At the bound, the
// one that has sent nothing for longest is closed for a new one: entry hosts probe each
// other.
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
		k, _ := mostSilent(b.lastReads())
		delete(b.open, k)
		// Its reader finds it closed, whatever Close returns.
		_ = k.Conn.Close()
	}
	k := &boundedConn{Conn: c, listener: b}
	k.readAt.Store(time.Now().UnixNano())
	b.open[k] = struct{}{}
	return k, nil
}

// lastReads returns the open connections with when their last bytes were read. The caller
// must hold b.mu.
func (b *boundedListener) lastReads() iter.Seq2[*boundedConn, int64] {
	return func(yield func(*boundedConn, int64) bool) {
		for k := range b.open {
			if !yield(k, k.readAt.Load()) {
				return
			}
		}
	}
}

// mostSilent returns the key with the earliest time, or false if there is none.
func mostSilent[K any](l iter.Seq2[K, int64]) (chosen K, found bool) {
	var first int64
	for k, at := range l {
		if !found || at < first {
			chosen, first, found = k, at, true
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
}

// Read reads from the connection.
func (k *boundedConn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if n > 0 {
		k.readAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close closes the connection.
func (k *boundedConn) Close() error {
	k.listener.mu.Lock()
	delete(k.listener.open, k)
	k.listener.mu.Unlock()
	return k.Conn.Close()
}
