package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// LinkState is the state of a Link.
type LinkState int

// The states of a link.
const (
	// Healthy forwards all bytes.
	Healthy LinkState = iota
	// Slow delays each read by slowDelay.
	Slow
	// Blocked holds all bytes back until the state changes.
	Blocked
	// AnswersBlocked forwards requests and holds answers back.
	AnswersBlocked
	// Reset resets all connections, new ones as well.
	Reset
	linkStates
)

// slowDelay is the delay of a slow link, and of the answers of a slow store.
const slowDelay = 120 * time.Millisecond

// Upstream is what an entry host's connections lead to.
type Upstream string

// The upstreams of an entry host. Connections to workers have no links: they are silenced at
// the workers.
const (
	upstreamStore    Upstream = "store"
	upstreamMachines Upstream = "machines"
	upstreamWorkers  Upstream = "workers"
)

// links are the links of one entry host.
type links map[Upstream]*Link

// Link is a TCP proxy on loopback to one upstream address.
type Link struct {
	listener  net.Listener
	upstream  string
	mu        sync.Mutex
	linkState LinkState
	// limiter limits the bytes per second in both directions together, unless it is nil.
	limiter      *rate.Limiter
	stateChanged chan struct{}
	conns        map[*proxiedConn]bool
}

// proxiedConn is a client's connection and the one to the upstream server. Either direction can
// begin to lose all bytes, for good. A close is then not passed on in that direction either.
type proxiedConn struct {
	client, server            net.Conn
	loseRequests, loseAnswers atomic.Bool
}

func (p *proxiedConn) close() {
	resetConn(p.client)
	resetConn(p.server)
}

// loses reports whether the bytes of a direction are lost.
func (p *proxiedConn) loses(answers bool) bool {
	if answers {
		return p.loseAnswers.Load()
	}
	return p.loseRequests.Load()
}

// NewLink returns a healthy link to the address.
func NewLink(address string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, upstream: address, stateChanged: make(chan struct{}), conns: map[*proxiedConn]bool{}}
	go k.accept()
	return k, nil
}

// Address returns the address that the link listens on.
func (k *Link) Address() string {
	return k.listener.Addr().String()
}

// SetState changes the state of the link.
func (k *Link) SetState(s LinkState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.linkState = s
	close(k.stateChanged)
	k.stateChanged = make(chan struct{})
	if s == Reset {
		k.resetAll()
	}
}

// SetLimiter limits the bandwidth of the link; nil removes the limit. Several links may share
// one limiter.
func (k *Link) SetLimiter(l *rate.Limiter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limiter = l
}

// throttle waits until the limiter admits n bytes.
func (k *Link) throttle(n int) {
	k.mu.Lock()
	l := k.limiter
	k.mu.Unlock()
	if l == nil {
		return
	}
	for n > 0 {
		part := min(n, l.Burst())
		time.Sleep(l.ReserveN(time.Now(), part).Delay())
		n -= part
	}
}

// Close closes the listener and resets all connections.
func (k *Link) Close() {
	_ = k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.resetAll()
}

func (k *Link) resetAll() {
	for p := range k.conns {
		p.close()
	}
	clear(k.conns)
}

// Silence has all open connections lose their bytes from now on, for good: answers, and
// requests as well unless oneWay. New connections work.
func (k *Link) Silence(oneWay bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.conns {
		p.loseAnswers.Store(true)
		p.loseRequests.Store(!oneWay || p.loseRequests.Load())
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// state returns the state and a channel that is closed when it changes.
func (k *Link) state() (LinkState, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.linkState, k.stateChanged
}

func (k *Link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		if s, _ := k.state(); s == Reset {
			resetConn(c)
			continue
		}
		go k.serve(c)
	}
}

func (k *Link) serve(c net.Conn) {
	d, err := net.Dial("tcp", k.upstream)
	if err != nil {
		resetConn(c)
		return
	}
	p := &proxiedConn{client: c, server: d}
	k.mu.Lock()
	k.conns[p] = true
	k.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { k.forward(p, c, d, false) })
	k.forward(p, d, c, true)
	wg.Wait()
	k.mu.Lock()
	delete(k.conns, p)
	k.mu.Unlock()
}

// forward copies the bytes of one direction until either side closes.
func (k *Link) forward(p *proxiedConn, from, to net.Conn, answers bool) {
	defer k.closeConns(p, from, answers)
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			k.delay(answers)
			k.throttle(n)
		}
		if n > 0 && !p.loses(answers) {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return
			}
			// Let the other direction finish what is in transit.
			time.Sleep(slowDelay)
			return
		}
	}
}

// closeConns closes both sides after one has ended, or only that one if the direction is lost,
// so that the other does not learn of it.
func (*Link) closeConns(p *proxiedConn, from net.Conn, answers bool) {
	if p.loses(answers) {
		resetConn(from)
		return
	}
	p.close()
}

// delay waits until the state of the link lets the bytes of a direction pass.
func (k *Link) delay(answers bool) {
	for {
		s, changed := k.state()
		switch {
		case s == Blocked, s == AnswersBlocked && answers:
			<-changed
		case s == Slow:
			time.Sleep(slowDelay)
			return
		default:
			return
		}
	}
}
