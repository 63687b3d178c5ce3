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
	"syscall"
	"time"
)

// maxRequestTransit is what a request may take to the other side on a kept connection.
const maxRequestTransit = 500 * time.Millisecond

// pooledConn is an open connection with what is read ahead of it.
type pooledConn struct {
	net.Conn
	reader *bufio.Reader
	// address is where it leads, idleUntil when it is closed unless it is used.
	address   string
	idleUntil time.Time
	// element is its place among the idle ones.
	element *list.Element
}

// pool keeps idle connections by address. Those that were used last are used next, so
// that the others end.
type pool struct {
	Limits
	mu        sync.Mutex
	byAddress map[string][]*pooledConn
	// idle are all of them, the one that was used last in front.
	idle *list.List
}

func newPool(l Limits) *pool {
	return &pool{Limits: l, byAddress: map[string][]*pooledConn{}, idle: list.New()}
}

// take returns an idle connection to the address whose time has not passed and on which
// nothing has come since, or nil.
func (p *pool) take(address string, now time.Time) *pooledConn {
	for {
		k := p.takeNewest(address)
		if k == nil || (now.Before(k.idleUntil) && k.usable()) {
			return k
		}
		_ = k.Close()
	}
}

// takeNewest takes the connection to the address that was used last, or returns nil.
func (p *pool) takeNewest(address string) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.byAddress[address]
	if len(l) == 0 {
		return nil
	}
	k := l[len(l)-1]
	p.remove(k)
	return k
}

// remove takes the connection off the lists.
func (p *pool) remove(k *pooledConn) {
	p.idle.Remove(k.element)
	l := slices.DeleteFunc(p.byAddress[k.address], func(o *pooledConn) bool { return o == k })
	p.byAddress[k.address] = l
	if len(l) == 0 {
		delete(p.byAddress, k.address)
	}
}

// put keeps the connection for a time, and closes those that are beyond the pool's limits
// or their time.
func (p *pool) put(k *pooledConn, now time.Time, idle time.Duration) {
	for _, o := range p.insert(k, now, idle) {
		_ = o.Close()
	}
}

// insert returns the connections that are kept no more.
func (p *pool) insert(k *pooledConn, now time.Time, idle time.Duration) []*pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byAddress[k.address]) >= max(1, p.MaxIdlePerAddress) {
		return []*pooledConn{k}
	}
	k.idleUntil = now.Add(idle)
	k.element = p.idle.PushFront(k)
	p.byAddress[k.address] = append(p.byAddress[k.address], k)
	var over []*pooledConn
	for e := p.idle.Back(); e != nil; e = p.idle.Back() {
		o, ok := e.Value.(*pooledConn)
		if !ok || (now.Before(o.idleUntil) && (p.MaxIdle == 0 || p.idle.Len() <= p.MaxIdle)) {
			break
		}
		p.remove(o)
		over = append(over, o)
	}
	return over
}

// usable reports whether the connection is open and nothing has come on it: nobody reads
// from an idle one, so that its end shows only to who looks.
func (k *pooledConn) usable() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	c, ok := k.Conn.(interface {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// reuseTimeout returns for how long a connection may be used again after an answer with the
// headers, which may tell when the other side closes it (RFC 2068, section 19.7.1.1). A
// request has to arrive before that.
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
