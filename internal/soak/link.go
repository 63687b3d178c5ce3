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

// Trouble is what is wrong with a Link.
type Trouble int

// The troubles of a link.
const (
	// Sound passes all bytes on.
	Sound Trouble = iota
	// Slow holds each read back by slowBy.
	Slow
	// Silent passes nothing on, either way.
	Silent
	// OneWay passes requests on and no answers.
	OneWay
	// Reset breaks all connections, and each new one.
	Reset
	troubles
)

// slowBy is how long a slow link holds bytes back: as long as an answer of a slow
// store takes.
const slowBy = 120 * time.Millisecond

// Way is where connections lead to.
type Way string

// The ways out of an entry host. Connections to workers have no links: they fall
// silent at the workers.
const (
	wayStore    Way = "store"
	wayMachines Way = "machines"
	wayWorkers  Way = "workers"
)

// links are an entry host's.
type links map[Way]*Link

// Link passes connections on to an address, over loopback.
type Link struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	trouble  Trouble
	// bytes bounds what the link carries, both ways together, while it is narrow.
	bytes   *rate.Limiter
	changed chan struct{}
	open    map[*joint]bool
}

// joint is a connection and the one that passes it on. What it loses is lost for
// good, and neither side learns of the other's end.
type joint struct {
	caller, server    net.Conn
	requests, answers atomic.Bool
}

func (j *joint) close() {
	reset(j.caller)
	reset(j.server)
}

// loses reports whether what goes one way is lost.
func (j *joint) loses(answers bool) bool {
	if answers {
		return j.answers.Load()
	}
	return j.requests.Load()
}

// NewLink returns a sound link to the address.
func NewLink(to string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, to: to, changed: make(chan struct{}), open: map[*joint]bool{}}
	go k.accept()
	return k, nil
}

// Address is where the link listens.
func (k *Link) Address() string {
	return k.listener.Addr().String()
}

// Set switches what is wrong with the link.
func (k *Link) Set(t Trouble) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.trouble = t
	close(k.changed)
	k.changed = make(chan struct{})
	if t == Reset {
		k.breakAll()
	}
}

// Narrow has the link carry no more than the limiter allows, which other links may
// share; nil is no bound.
func (k *Link) Narrow(l *rate.Limiter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bytes = l
}

// squeeze waits until so many bytes may pass.
func (k *Link) squeeze(n int) {
	k.mu.Lock()
	l := k.bytes
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
	k.breakAll()
}

func (k *Link) breakAll() {
	for j := range k.open {
		j.close()
	}
	clear(k.open)
}

// Silence has all open connections lose what they carry from now on, for good:
// answers, and requests as well unless oneWay. New connections are sound.
func (k *Link) Silence(oneWay bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for j := range k.open {
		j.answers.Store(true)
		j.requests.Store(!oneWay || j.requests.Load())
	}
}

// reset closes a connection so that the other side gets a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (k *Link) state() (Trouble, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.trouble, k.changed
}

func (k *Link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		if t, _ := k.state(); t == Reset {
			reset(c)
			continue
		}
		go k.join(c)
	}
}

func (k *Link) join(c net.Conn) {
	d, err := net.Dial("tcp", k.to)
	if err != nil {
		reset(c)
		return
	}
	j := &joint{caller: c, server: d}
	k.mu.Lock()
	k.open[j] = true
	k.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { k.pass(j, c, d, false) })
	k.pass(j, d, c, true)
	wg.Wait()
	k.mu.Lock()
	delete(k.open, j)
	k.mu.Unlock()
}

// pass copies bytes one way until either side closes.
func (k *Link) pass(j *joint, from, to net.Conn, answers bool) {
	defer k.end(j, from, answers)
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			k.hold(answers)
			k.squeeze(n)
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
			time.Sleep(slowBy)
			return
		}
	}
}

// end closes both sides, or only the one that has ended if the other is not to
// learn of it.
func (*Link) end(j *joint, from net.Conn, answers bool) {
	if j.loses(answers) {
		reset(from)
		return
	}
	j.close()
}

// hold waits while the link lets nothing through.
func (k *Link) hold(answers bool) {
	for {
		t, changed := k.state()
		switch {
		case t == Silent, t == OneWay && answers:
			<-changed
		case t == Slow:
			time.Sleep(slowBy)
			return
		default:
			return
		}
	}
}
