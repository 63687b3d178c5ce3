// Package proxy forwards TCP connections over loopback, for tests of connections that are
// silent or held up.
package proxy

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Direction says which bytes of a silenced connection are lost.
type Direction int

// The directions in which Silence loses bytes.
const (
	// Both loses requests and answers.
	Both Direction = iota
	// AnswersOnly forwards requests and loses answers.
	AnswersOnly
)

// Proxy forwards connections to an address. Open connections can be silenced for
// good, without a reset, while new ones work. All can be held up for a time.
type Proxy struct {
	listener net.Listener
	upstream netip.AddrPort
	opened   atomic.Int64
	mu       sync.Mutex
	links    map[*link]bool
	steps    []Step
	// held is closed by Release. It is nil unless something is held up. holdsNew says that only
	// new connections are.
	held     chan struct{}
	holdsNew bool
}

// maxSteps is how many steps a Proxy records at most: those of the setup of a few connections.
const maxSteps = 200

// bufferSize is how many bytes are forwarded at once.
const bufferSize = 32 << 10

// Step is something that a Proxy did, and when.
type Step struct {
	At   time.Time
	What string
}

// Steps returns the first steps, for tests that report why an answer was late.
func (p *Proxy) Steps() []Step {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.steps)
}

func (p *Proxy) notef(format string, a ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.steps) < maxSteps {
		p.steps = append(p.steps, Step{At: time.Now(), What: fmt.Sprintf(format, a...)})
	}
}

// link is one connection that is forwarded.
type link struct {
	number         int64
	client, server net.Conn
	// silent says whether the bytes from the client, and those from the server, are lost.
	silent [2]atomic.Bool
}

// New returns a running proxy that forwards to the address.
func New(to netip.AddrPort) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, upstream: to, links: map[*link]bool{}}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// Opened returns how many connections have been forwarded so far.
func (p *Proxy) Opened() int64 {
	return p.opened.Load()
}

// Silence loses what the open connections carry in the direction from now on, and
// returns how many those are.
func (p *Proxy) Silence(d Direction) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent[0].Store(d == Both)
		l.silent[1].Store(true)
	}
	return len(p.links)
}

// Hold holds up what is forwarded until Release: bytes stay in the proxy, and connections
// that are accepted are opened to the upstream address only then.
func (p *Proxy) Hold() {
	p.hold(false)
}

// HoldNew is a Hold of connections that are accepted from now on. The first bytes on them are
// forwarded after Release even if the client has closed them meanwhile.
func (p *Proxy) HoldNew() {
	p.hold(true)
}

func (p *Proxy) hold(onlyNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held == nil {
		p.held, p.holdsNew = make(chan struct{}), onlyNew
	}
}

// Release ends a Hold or HoldNew.
func (p *Proxy) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != nil {
		close(p.held)
		p.held = nil
	}
}

// heldUp returns a channel that is closed once a new connection, or the bytes of an open one, are
// no longer held up. It is nil if they are not.
func (p *Proxy) heldUp(newConn bool) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holdsNew && !newConn {
		return nil
	}
	return p.held
}

// waitReleased returns once the bytes of open connections are not held up.
func (p *Proxy) waitReleased() {
	if held := p.heldUp(false); held != nil {
		<-held
	}
}

// receiveHeld receives the first bytes of a new connection and returns them once it is not held up.
func (p *Proxy) receiveHeld(c net.Conn) []byte {
	held := p.heldUp(true)
	if held == nil {
		return nil
	}
	b := make([]byte, bufferSize)
	n, err := c.Read(b)
	p.notef("held up: request of %d bytes, error %v", n, err)
	<-held
	return b[:n]
}

// exchangeHeld forwards the first bytes of a connection that was held up, and waits for the answer, also
// if the client has closed the connection.
func (p *Proxy) exchangeHeld(c, s net.Conn, first []byte) {
	if len(first) == 0 {
		return
	}
	_, _ = s.Write(first)
	b := make([]byte, bufferSize)
	n, err := s.Read(b)
	p.notef("held up: answer of %d bytes, error %v", n, err)
	_, _ = c.Write(b[:n])
}

// Close closes the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Release()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.close()
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.notef("accepted a connection")
		go p.open(c)
	}
}

// open opens the connection to the upstream address that belongs to an accepted one.
func (p *Proxy) open(c net.Conn) {
	first := p.receiveHeld(c)
	s, err := net.Dial("tcp", p.upstream.String())
	if err != nil {
		p.notef("upstream not dialled: %v", err)
		_ = c.Close()
		return
	}
	number := p.opened.Add(1)
	p.notef("connection %d: upstream dialled", number)
	p.exchangeHeld(c, s, first)
	l := &link{number: number, client: c, server: s}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	go p.forward(l, "request", c, s, &l.silent[0])
	go p.forward(l, "answer", s, c, &l.silent[1])
}

// forward copies bytes, or discards them while the link is silent. The end of one
// side ends the other, except on a silent link, where it is lost as well.
func (p *Proxy) forward(l *link, what string, from, to net.Conn, silent *atomic.Bool) {
	b := make([]byte, bufferSize)
	for {
		n, err := from.Read(b)
		p.notef("connection %d: %s of %d bytes, lost %t, error %v", l.number, what, n, silent.Load(), err)
		p.waitReleased()
		if n > 0 && !silent.Load() {
			_, _ = to.Write(b[:n])
		}
		if err != nil {
			break
		}
	}
	if silent.Load() {
		return
	}
	l.close()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}
