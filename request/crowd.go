package request

import (
	"iter"
	"net"
	"time"
)

// answerGrace is how long a client may leave its answer unread before its connection may be
// closed to make room for another one.
const answerGrace = time.Second

// arrivalGrace is how long a new connection or a request that has begun to arrive is not closed
// to make room for another one.
const arrivalGrace = 250 * time.Millisecond

// closeRank says how soon a connection is closed to make room for another one.
type closeRank int

const (
	// closeNever is the rank of connections that do not wait for their clients.
	closeNever closeRank = iota
	// closeAnnounced is the rank of idle connections that their callers may still use, as
	// the announced timeout has not passed.
	closeAnnounced
	// closeFresh is the rank of connections whose request may be arriving: there is room once
	// arrivalGrace has passed or the request has been answered.
	closeFresh
	// closeOverdue is the rank of other idle connections, and of those whose client has not
	// sent the rest of a request, or not read its answer.
	closeOverdue
	// closeAtOnce is the rank of connections whose request has been given up.
	closeAtOnce
)

// clientWait says how a connection waits for its client, and since when.
type clientWait struct {
	rank  closeRank
	since time.Time
}

// chooseClosed returns the key of the connection to close first, or false if none waits for
// its client.
func chooseClosed[K any](l iter.Seq2[K, clientWait]) (chosen K, found bool) {
	var first clientWait
	for k, w := range l {
		if w.rank > first.rank || (w.rank == first.rank && w.rank != closeNever && w.since.Before(first.since)) {
			chosen, first, found = k, w, true
		}
	}
	return chosen, found
}

// clientWaits returns the open connections with how they wait. The caller must hold o.mu.
func (o *callerConns) clientWaits(now time.Time) iter.Seq2[*callerConn, clientWait] {
	return func(yield func(*callerConn, clientWait) bool) {
		for k := range o.open {
			if !yield(k, k.clientWait(now)) {
				return
			}
		}
	}
}

func (k *callerConn) clientWait(now time.Time) clientWait {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.clientWaitLocked(now)
}

// clientWaitLocked is clientWait for a caller that holds k.mu.
func (k *callerConn) clientWaitLocked(now time.Time) clientWait {
	switch {
	case k.closing:
		return clientWait{}
	case k.evicted:
		return clientWait{closeAtOnce, k.since}
	case k.phase == phaseIdle && now.Before(k.keepUntil):
		return clientWait{closeAnnounced, k.idleSince}
	case k.phase == phaseIdle && k.keepUntil.IsZero() && now.Sub(k.idleSince) < arrivalGrace:
		return clientWait{closeFresh, k.idleSince}
	case k.phase == phaseIdle:
		return clientWait{closeOverdue, k.idleSince}
	case k.phase.sending() && now.Sub(k.since) < arrivalGrace:
		return clientWait{closeFresh, k.since}
	case k.phase.sending() && k.reading:
		return clientWait{closeOverdue, k.since}
	case !k.writingSince.IsZero() && now.Sub(k.writingSince) > answerGrace:
		return clientWait{closeOverdue, k.writingSince}
	default:
		return clientWait{}
	}
}

// makeRoom closes connections that wait for their clients until there is room for one more,
// and waits if there are not enough of them.
func (o *callerConns) makeRoom() {
	if o.maxOpen == 0 {
		return
	}
	o.full.Store(true)
	defer o.full.Store(false)
	for o.closeExcess(time.Now()) {
		select {
		case <-o.changed:
		case <-time.After(quietPollInterval):
		}
	}
}

// notify tells makeRoom that a connection has been closed or become idle.
func (o *callerConns) notify() {
	if !o.full.Load() {
		return
	}
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// closeExcess closes connections until there is room for one more, and reports whether too
// many are still open.
func (o *callerConns) closeExcess(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.open) < o.maxOpen {
		return false
	}
	for n := len(o.open) - o.closingCount() - o.maxOpen; n >= 0; n-- {
		k, ok := chooseClosed(o.clientWaits(now))
		if !ok {
			break
		}
		if k.closeForOther(now) {
			delete(o.open, k)
		}
	}
	return len(o.open) >= o.maxOpen
}

// closingCount returns how many connections are being closed by their readers. The caller
// must hold o.mu.
func (o *callerConns) closingCount() int {
	n := 0
	for k := range o.open {
		k.mu.Lock()
		if k.closing {
			n++
		}
		k.mu.Unlock()
	}
	return n
}

// closeForOther closes a connection that waits for its client, and reports whether it is
// closed. The reader of an idle one closes it, unless a request has arrived.
func (k *callerConn) closeForOther(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	rank := k.clientWaitLocked(now).rank
	switch {
	case rank == closeNever || rank == closeFresh:
		return false
	case k.phase == phaseIdle:
		k.askToClose()
		k.conns.closedForOthers.Add(1)
		return false
	case !k.evicted:
		k.giveUp()
	}
	k.conns.closedForOthers.Add(1)
	// Its reader and its writer find it closed, whatever Close returns.
	_ = k.TCPConn.Close()
	return true
}

// trackingListener wraps each accepted connection in a callerConn, and makes room for it.
type trackingListener struct {
	*CallerListener
	conns *callerConns
}

// Accept returns the next connection.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.CallerListener.Accept()
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	l.conns.makeRoom()
	return l.conns.add(t), nil
}
