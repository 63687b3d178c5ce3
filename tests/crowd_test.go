package tests

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"amberway/internal/local"
)

// Limits of the entry hosts in these tests. The crowds are chosen to exceed them.
const (
	crowdMemoryMB       = 96
	crowdMaxDescriptors = 512
	// crowdMaxBody is the limit on bodies that callers of jobs are promised.
	crowdMaxBody = 262144
	// crowdTimeout bounds the wait for an answer beside a crowd. Refusals may come before.
	crowdTimeout = 30 * time.Second
	// crowdSendTimeout bounds the wait until a crowd has sent what it sends. A host need not
	// read all of it.
	crowdSendTimeout = 10 * time.Second
	// crowdStays is how long a crowd stays after an ordinary answer, so that the host can read
	// what is still under way.
	crowdStays = 2 * time.Second
)

// watchedProcess is an entry host whose use of memory and descriptors is watched.
type watchedProcess struct {
	*local.Process
	addresses []netip.AddrPort
	mu        sync.Mutex
	peak      local.Usage
	// held is the most memory that the process and the bytes that it had not yet read took together.
	held int64
}

// watch watches the process, which listens at the given addresses, until the test ends.
func watch(t *testing.T, p *local.Process, at ...netip.AddrPort) *watchedProcess {
	t.Helper()
	w := &watchedProcess{Process: p, addresses: at}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			w.sample()
			select {
			case <-done:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	t.Cleanup(func() {
		close(done)
		wg.Wait()
	})
	return w
}

// sample takes the present usage into account. After the end of the process, it does nothing.
func (w *watchedProcess) sample() {
	u, err := w.Usage()
	if err != nil {
		return
	}
	unread, err := local.UnreadBytes(w.addresses...)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak.PeakResidentBytes = max(w.peak.PeakResidentBytes, u.PeakResidentBytes)
	w.peak.Descriptors = max(w.peak.Descriptors, u.Descriptors)
	w.held = max(w.held, u.ResidentBytes+unread)
}

// checkWithin checks that the process lives and has stayed within the limits of these tests.
func (w *watchedProcess) checkWithin(t *testing.T) {
	t.Helper()
	w.sample()
	w.mu.Lock()
	defer w.mu.Unlock()
	t.Logf("peak %d MB, with bytes not yet read %d MB, %d descriptors", w.peak.PeakResidentBytes>>20, w.held>>20, w.peak.Descriptors)
	assert.False(t, w.Ended(), "the process has ended")
	assert.Positive(t, w.held, "no sample was taken")
	assert.LessOrEqual(t, w.peak.PeakResidentBytes, int64(crowdMemoryMB<<20), "peak of the resident memory")
	assert.LessOrEqual(t, w.held, int64(crowdMemoryMB<<20), "resident memory and bytes that are not yet read")
	assert.Less(t, w.peak.Descriptors, crowdMaxDescriptors, "open descriptors")
}

// crowd is a number of connections that stay open until the test ends, unless the host closes them.
type crowd struct {
	address netip.AddrPort
	size    int
	// send sends what connection i sends.
	send func(i int, c io.Writer) error
	// control sets options of each connection before it is opened; nil sets none.
	control func(network, address string, c syscall.RawConn) error
	// readsNothing says that the answers are left unread.
	readsNothing bool

	mu       sync.Mutex
	conns    []net.Conn
	ended    bool
	sent     int
	statuses map[int]int
	// withoutRetry counts the refusals that did not say when to come back.
	withoutRetry int
	senders      sync.WaitGroup
}

// open opens the connections and waits until each has sent what it sends, for crowdSendTimeout at most.
func (c *crowd) open(t *testing.T) {
	t.Helper()
	c.statuses = map[int]int{}
	for i := range c.size {
		c.senders.Go(func() { c.run(i) })
	}
	t.Cleanup(c.close)
	sent := make(chan struct{})
	go func() {
		c.senders.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-time.After(crowdSendTimeout):
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	require.NotEmpty(t, c.conns, "no connection was accepted")
}

// run opens connection i and sends. Errors are ignored, as a host may close connections.
func (c *crowd) run(i int) {
	d := net.Dialer{Timeout: crowdSendTimeout, Control: c.control}
	n, err := d.Dial("tcp", c.address.String())
	if err != nil || !c.add(n) {
		return
	}
	if !c.readsNothing {
		go c.read(n)
	}
	if c.send(i, n) == nil {
		c.mu.Lock()
		c.sent++
		c.mu.Unlock()
	}
}

// add records a connection. After close, it closes it and returns false.
func (c *crowd) add(n net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		_ = n.Close()
		return false
	}
	c.conns = append(c.conns, n)
	return true
}

// read counts the answers until the host closes the connection.
func (c *crowd) read(n net.Conn) {
	r := bufio.NewReader(n)
	for {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, res.Body)
		c.mu.Lock()
		c.statuses[res.StatusCode]++
		if isRefusal(res.StatusCode) && res.Header.Get("Retry-After") == "" {
			c.withoutRetry++
		}
		c.mu.Unlock()
	}
}

func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func (c *crowd) close() {
	c.mu.Lock()
	c.ended = true
	for _, n := range c.conns {
		_ = n.Close()
	}
	c.mu.Unlock()
	c.senders.Wait()
}

// check checks that refusals said when to come back, and logs what the crowd has seen.
func (c *crowd) check(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	t.Logf("crowd of %d: %d connected, %d sent all, answers by status %v", c.size, len(c.conns), c.sent, c.statuses)
	assert.Zero(t, c.withoutRetry, "refusals without Retry-After")
}
