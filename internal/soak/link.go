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

// LinkState is what is wrong with a Link.
type LinkState int

// The troubles of a link.
const (
	// Healthy passes all bytes on.
	Healthy LinkState = iota
	// Slow holds each read back by slowBy.
	Slow
	// Blocked passes nothing on, either way.
	Blocked
	// AnswersBlocked passes requests on and no answers.
	AnswersBlocked
	// Reset breaks all connections, and each new one.
	Reset
	linkStates
)

// slowDelay is how long a slow link holds bytes back: as long as an answer of a slow
// store takes.
const slowDelay = 120 * time.Millisecond

// Upstream is where connections lead to.
type Upstream string

// The ways out of an entry host. Connections to workers have no links: they fall
// silent at the workers.
const (
	upstreamStore    Upstream = "store"
	upstreamMachines Upstream = "machines"
	upstreamWorkers  Upstream = "workers"
)

// links are an entry host's.
type links map[Upstream]*Link

// Link passes connections on to an address, over loopback.
type Link struct {
	listener  net.Listener
	upstream  string
	mu        sync.Mutex
	linkState LinkState
	// limiter bounds what the link carries, both ways together, while it is narrow.
	limiter      *rate.Limiter
	stateChanged chan struct{}
	conns        map[*proxiedConn]bool
}

// proxiedConn is a connection and the one that passes it on. What it loses is lost for
// good, and neither side learns of the other's end.
type proxiedConn struct {
	client, server            net.Conn
	loseRequests, loseAnswers atomic.Bool
}

func (j *proxiedConn) close() {
	resetConn(j.client)
	resetConn(j.server)
}

// loses reports whether what goes one way is lost.
func (j *proxiedConn) loses(answers bool) bool {
	if answers {
		return j.loseAnswers.Load()
	}
	return j.loseRequests.Load()
}

// NewLink returns a sound link to the address.
func NewLink(to string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, upstream: to, stateChanged: make(chan struct{}), conns: map[*proxiedConn]bool{}}
	go k.accept()
	return k, nil
}

// Address is where the link listens.
func (k *Link) Address() string {
	return k.listener.Addr().String()
}

// SetState switches what is wrong with the link.
func (k *Link) SetState(t LinkState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.linkState = t
	close(k.stateChanged)
	k.stateChanged = make(chan struct{})
	if t == Reset {
		k.resetAll()
	}
}

// SetLimiter has the link carry no more than the limiter allows, which other links may
// share; nil is no bound.
func (k *Link) SetLimiter(l *rate.Limiter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limiter = l
}

// throttle waits until so many bytes may pass.
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

// Close ends the link.
func (k *Link) Close() {
	_ = k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.resetAll()
}

func (k *Link) resetAll() {
	for j := range k.conns {
		j.close()
	}
	clear(k.conns)
}

// Silence has all open connections lose what they carry from now on, for good:
// answers, and requests as well unless oneWay. New connections are sound.
func (k *Link) Silence(oneWay bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for j := range k.conns {
		j.loseAnswers.Store(true)
		j.loseRequests.Store(!oneWay || j.loseRequests.Load())
	}
}

// resetConn closes a connection so that the other side gets a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

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
		if t, _ := k.state(); t == Reset {
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
	j := &proxiedConn{client: c, server: d}
	k.mu.Lock()
	k.conns[j] = true
	k.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { k.forward(j, c, d, false) })
	k.forward(j, d, c, true)
	wg.Wait()
	k.mu.Lock()
	delete(k.conns, j)
	k.mu.Unlock()
}

// forward copies bytes one way until either side closes.
func (k *Link) forward(j *proxiedConn, from, to net.Conn, answers bool) {
	defer k.closeConns(j, from, answers)
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			k.delay(answers)
			k.throttle(n)
		}
		if n > 0 && !j.loses(answers) {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return
			}
			// Let the other direction finish what is under way.
			time.Sleep(slowDelay)
			return
		}
	}
}

// closeConns closes both sides, or only the one that has ended if the other is not to
// learn of it.
func (*Link) closeConns(j *proxiedConn, from net.Conn, answers bool) {
	if j.loses(answers) {
		resetConn(from)
		return
	}
	j.close()
}

// delay waits while the link lets nothing through.
func (k *Link) delay(answers bool) {
	for {
		t, changed := k.state()
		switch {
		case t == Blocked, t == AnswersBlocked && answers:
			<-changed
		case t == Slow:
			time.Sleep(slowDelay)
			return
		default:
			return
		}
	}
}
