package request

import (
	"bytes"
	"iter"
	"sync/atomic"
	"time"

	"amberway/common"
)

// Limits bound what the clients of a server can make it hold.
type Limits struct {
	// Bytes bounds the bytes of all requests that are being read or answered.
	Bytes int64
	// Conns bounds the open connections; 0 is no bound.
	Conns int
}

const (
	// freeBytes are the bytes that each request may hold: the number of connections bounds
	// them.
	freeBytes = 8 << 10
	// headerLineBytes is the memory of a decoded header without its text.
	headerLineBytes = 128
)

// MaxHeaderBytes bounds the headers of a request that http.Server reads: twice what callers
// are promised. Smaller limits of the configuration are enforced by the handlers.
const MaxHeaderBytes = 32 << 10

// phase is what a connection is doing.
type phase int

const (
	// phaseIdle means that nothing of the next request has been read.
	phaseIdle phase = iota
	// phaseHeaders means that part of a request's headers has been read.
	phaseHeaders
	// phaseBody means that the headers have been read, and not all of the body.
	phaseBody
	// phaseComplete means that a request has been read completely and is being answered.
	phaseComplete
)

// sending reports whether the rest of a request has yet to arrive.
func (p phase) sending() bool {
	return p == phaseHeaders || p == phaseBody
}

// holding is what a connection holds for its request.
type holding struct {
	phase phase
	bytes int64
	// since is when the first part of the request was read.
	since time.Time
}

// mayEvict reports whether the request may be given up to make room for others. One that
// has been read completely has to be answered.
func (h holding) mayEvict() bool {
	return h.phase.sending() && h.bytes > freeBytes
}

// evictBefore reports whether the request is to be given up before the other.
func (h holding) evictBefore(o holding) bool {
	if h.bytes != o.bytes {
		return h.bytes > o.bytes
	}
	return h.since.Before(o.since)
}

// chooseEvicted returns the key of the request to give up first, or false if there is none.
func chooseEvicted[K any](l iter.Seq2[K, holding]) (chosen K, found bool) {
	var most holding
	for k, h := range l {
		if h.mayEvict() && (!found || h.evictBefore(most)) {
			chosen, most, found = k, h, true
		}
	}
	return chosen, found
}

// budget counts the bytes that the requests of all connections hold.
type budget struct {
	limit int64
	used  atomic.Int64
	// evicted counts the requests that were given up.
	evicted atomic.Int64
}

// headerMemory returns the memory of a part of a request's headers.
func headerMemory(b []byte) int64 {
	headers, _, _ := bytes.Cut(b, []byte("\r\n\r\n"))
	return int64(len(b) + headerLineBytes*bytes.Count(headers, []byte{'\n'}))
}

// isExceeded reports whether requests hold more than the limit.
func (b *budget) isExceeded() bool {
	return b.used.Load() > b.limit
}

// enforceBudget gives up unfinished requests until the others are within the budget, or
// none is left that may be given up. It reports whether there is room.
func (o *callerConns) enforceBudget() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.budget.isExceeded() {
		k, ok := chooseEvicted(o.holdings())
		if !ok {
			return false
		}
		if k.evict() {
			o.budget.evicted.Add(1)
		}
	}
	return true
}

// holdings returns the open connections with what they hold. The caller must hold o.mu.
func (o *callerConns) holdings() iter.Seq2[*callerConn, holding] {
	return func(yield func(*callerConn, holding) bool) {
		for k := range o.open {
			if !yield(k, k.currentHolding()) {
				return
			}
		}
	}
}

func (k *callerConn) currentHolding() holding {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.evicted {
		return holding{}
	}
	return k.holding
}

// markBodyRead records that n bytes of the body have been read. It returns false if the
// request has been given up.
func (k *callerConn) markBodyRead(n int) bool {
	k.mu.Lock()
	exceeded := k.charge(int64(n))
	k.mu.Unlock()
	if exceeded {
		k.conns.enforceBudget()
	}
	return !k.isEvicted()
}

// charge counts n bytes for the request, and reports whether that exceeds the budget. The
// caller must hold k.mu.
func (k *callerConn) charge(n int64) bool {
	if k.evicted {
		return false
	}
	k.bytes += n
	return k.conns.budget.used.Add(n) > k.conns.budget.limit
}

// hold counts n more bytes for a request, or returns common.ErrOverload if requests that
// were read completely leave no room for them.
func (k *callerConn) hold(n int64) error {
	k.mu.Lock()
	exceeded := k.charge(n)
	k.mu.Unlock()
	fits := !exceeded || k.conns.enforceBudget()
	k.mu.Lock()
	defer k.mu.Unlock()
	if fits && !k.evicted {
		return nil
	}
	if !k.evicted {
		k.charge(-n)
	}
	return common.ErrOverload
}

// release returns what the request held to the budget.
func (k *callerConn) release() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns.budget.used.Add(-k.bytes)
	k.bytes = 0
}

// evict gives the request up, unless it has been read completely.
func (k *callerConn) evict() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.evicted || !k.phase.sending() {
		return false
	}
	k.giveUp()
	return true
}

// giveUp has all reads fail from now on. The caller must hold k.mu.
func (k *callerConn) giveUp() {
	k.evicted = true
	k.conns.budget.used.Add(-k.bytes)
	k.bytes = 0
	// It fails only on a closed connection, whose reader ends on its own.
	_ = k.TCPConn.SetReadDeadline(time.Unix(1, 0))
}
