package common

import (
	"bufio"
	"container/list"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxRequestTransit is how long a request may take to reach the other side on a reused
// connection.
const maxRequestTransit = 500 * time.Millisecond

// pooledConn is an open connection with its read buffer.
type pooledConn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// peer is the process that has answered on the connection, or zero if no answer has told.
	peer atomic.Int64
	// idleUntil is when the connection is closed unless it is used.
	idleUntil time.Time
	// element is its place in the pool's list of idle connections.
	element *list.Element
}

// pool holds idle connections by address. It reuses the most recently used first, so
// that surplus ones time out.
type pool struct {
	Limits
	mu        sync.Mutex
	byAddress map[string][]*pooledConn
	// idle lists all idle connections, the most recently used first.
	idle *list.List
}

func newPool(l Limits) *pool {
	return &pool{Limits: l, byAddress: map[string][]*pooledConn{}, idle: list.New()}
}

// take removes and returns an idle connection to the address that matches, has not timed out
// and is usable, or returns nil.
func (p *pool) take(address string, match func(*pooledConn) bool, now time.Time) *pooledConn {
	for {
		conn := p.takeNewest(address, match)
		if conn == nil || (now.Before(conn.idleUntil) && conn.usable()) {
			return conn
		}
		_ = conn.Close()
	}
}

// takeNewest removes and returns the most recently used connection to the address that
// matches, or returns nil.
func (p *pool) takeNewest(address string, match func(*pooledConn) bool) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range slices.Backward(p.byAddress[address]) {
		if match(conn) {
			p.remove(conn)
			return conn
		}
	}
	return nil
}

// remove removes the connection from the pool. The caller holds mu.
func (p *pool) remove(conn *pooledConn) {
	p.idle.Remove(conn.element)
	l := slices.DeleteFunc(p.byAddress[conn.address], func(o *pooledConn) bool { return o == conn })
	p.byAddress[conn.address] = l
	if len(l) == 0 {
		delete(p.byAddress, conn.address)
	}
}

// put returns the connection to the pool, where it may be idle for the given time, and
// closes those that exceed the pool's limits or have timed out.
func (p *pool) put(conn *pooledConn, now time.Time, idle time.Duration) {
	for _, o := range p.insert(conn, now, idle) {
		_ = o.Close()
	}
}

// insert adds the connection and returns those to close: the ones evicted, or the
// connection itself if the pool holds enough to its address.
func (p *pool) insert(conn *pooledConn, now time.Time, idle time.Duration) []*pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byAddress[conn.address]) >= max(1, p.MaxIdlePerAddress) {
		return []*pooledConn{conn}
	}
	conn.idleUntil = now.Add(idle)
	conn.element = p.idle.PushFront(conn)
	p.byAddress[conn.address] = append(p.byAddress[conn.address], conn)
	var evicted []*pooledConn
	for e := p.idle.Back(); e != nil; e = p.idle.Back() {
		o, ok := e.Value.(*pooledConn)
		if !ok || (now.Before(o.idleUntil) && (p.MaxIdle == 0 || p.idle.Len() <= p.MaxIdle)) {
			break
		}
		p.remove(o)
		evicted = append(evicted, o)
	}
	return evicted
}

// usable reports whether the connection is open and has received nothing since its last
// answer. Nobody reads from an idle connection, so this check is what finds that the
// other side has closed it.
func (conn *pooledConn) usable() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	c, ok := conn.Conn.(interface {
		NetConn() net.Conn
	})
	if !ok {
		return true
	}
	s, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// reuseTimeout returns for how long a connection may be reused after an answer with the
// headers. They may say when the other side closes it (RFC 2068, section 19.7.1.1), and a
// request must arrive before that.
func reuseTimeout(h http.Header) time.Duration {
	for p := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(p), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.ParseUint(v, 10, 16); err == nil {
			return min(idleTimeout, max(0, time.Duration(n)*time.Second-maxRequestTransit))
		}
	}
	return idleTimeout
}
