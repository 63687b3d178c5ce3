package request

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"amberway/common"
)

// callerConn is a caller's connection. While it is idle, only the goroutine that reads it
// closes it: no other can tell whether part of a request has just been read.
type callerConn struct {
	*net.TCPConn
	conns *callerConns
	mu    sync.Mutex
	holding
	idleSince time.Time
	// keepUntil is the end of the Keep-Alive timeout that was announced to the caller:
	// until then it may use the idle connection.
	keepUntil time.Time
	// closing asks the reader to close the connection unless a request has arrived.
	closing bool
	// evicted says that the request was given up before it was read completely. Nothing
	// more is read.
	evicted bool
	// reading says that a read waits for the client.
	reading bool
	// lingering says that the connection is closed soon.
	lingering bool
	pace      bodyPace
	// writingSince is when the write in progress began.
	writingSince time.Time
}

// Read reads from the connection. If an idle connection's read deadline passes, it checks
// once more for a request.
func (k *callerConn) Read(b []byte) (int, error) {
	k.applyPace()
	n, err := k.TCPConn.Read(b)
	late := n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && k.isIdle()
	if late {
		n, err = k.readOrShutdown(b)
	}
	if n > 0 && k.markReceived(b[:n], late) {
		k.conns.enforceBudget()
	}
	if k.endRead() {
		k.refuseHeaders()
		return 0, common.ErrOverload
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		k.countTimeout()
	}
	return n, err
}

// readOrShutdown returns what has arrived. If that is nothing, it shuts the connection
// down in the very next system call, which leaves next to no time for a request to arrive
// in between.
func (k *callerConn) readOrShutdown(b []byte) (n int, err error) {
	r, err := k.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := r.Control(func(fd uintptr) {
		n, err = syscall.Read(int(fd), b)
		if n <= 0 {
			// The connection is closed next, so the result does not matter.
			_ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR)
		}
	})
	if controlErr != nil {
		return 0, controlErr
	}
	if n <= 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return n, nil
}

// SetReadDeadline sets the deadline of reads, unless the connection is closing. http.Server
// clears the deadline after the headers of a request, and at the end of its body before it
// reads ahead.
func (k *callerConn) SetReadDeadline(t time.Time) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t.IsZero() && k.phase == phaseIdle {
		// The headers were in the buffer of http.Server already.
		k.markBusy(time.Now())
	}
	if t.IsZero() && k.phase == phaseBody {
		k.phase = phaseComplete
	}
	if k.closing || k.evicted {
		return nil
	}
	return k.TCPConn.SetReadDeadline(t)
}

// markBusy records that a request has begun. The caller must hold k.mu.
func (k *callerConn) markBusy(now time.Time) {
	k.phase, k.since = phaseHeaders, now
	if k.closing {
		k.closing = false
		k.conns.servedLate.Add(1)
	}
}

// Close closes the connection. One whose request was given up is closed a little later: closing
// it with unread bytes would reset it, and its client would lose the answer.
func (k *callerConn) Close() error {
	k.mu.Lock()
	later := k.evicted && !k.lingering
	k.lingering = true
	k.mu.Unlock()
	if later && k.CloseWrite() == nil {
		time.AfterFunc(lingerTime, func() { _ = k.Close() })
		return nil
	}
	k.conns.remove(k)
	k.release()
	return k.TCPConn.Close()
}

func (k *callerConn) isIdle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.phase == phaseIdle
}

// endRead records that a read has ended, and reports whether the request was given up.
func (k *callerConn) endRead() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reading = false
	return k.evicted
}

func (k *callerConn) isEvicted() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.evicted
}

// markIdle records that the connection waits for its next request, which the caller may
// send within the announced timeout.
func (k *callerConn) markIdle(keepAlive time.Duration) {
	k.release()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.phase, k.idleSince = phaseIdle, time.Now()
	k.keepUntil = k.idleSince.Add(keepAlive)
	k.conns.notify()
}

// markReceived records that part of a request has been read, and reports whether its headers
// exceed the budget. A request that arrived after the deadline, or on a closing connection,
// gets as much time for its headers as any other.
func (k *callerConn) markReceived(b []byte, late bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if late || k.closing {
		// It fails only on a closed connection, which the next read reports.
		_ = k.TCPConn.SetReadDeadline(time.Now().Add(headerTimeout))
	}
	if k.phase == phaseIdle {
		k.markBusy(time.Now())
	}
	if k.phase == phaseBody {
		k.pace.received += int64(len(b))
	}
	return k.phase == phaseHeaders && k.charge(headerMemory(b))
}

// beginRequest records that the headers of a request have been read. It returns false if
// there is no room for the request.
func (k *callerConn) beginRequest(hasBody bool) bool {
	full := k.conns.budget.isExceeded() && !k.conns.enforceBudget()
	k.mu.Lock()
	defer k.mu.Unlock()
	if full && (hasBody || k.bytes > freeBytes) && !k.evicted {
		k.giveUp()
		k.conns.budget.evicted.Add(1)
	}
	if k.evicted {
		return false
	}
	k.phase = phaseComplete
	if hasBody {
		k.phase = phaseBody
		k.pace = bodyPace{began: time.Now()}
	}
	return true
}

// markComplete records that the request has been read completely, unless it was given up
// before.
func (k *callerConn) markComplete() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.evicted {
		k.phase = phaseComplete
	}
}

// closeIfIdle asks the reader to close the connection if it is idle and the timeout
// announced to its caller has passed. If so, it returns when the connection became idle,
// and true.
func (k *callerConn) closeIfIdle(now time.Time) (since time.Time, idle bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.phase != phaseIdle || k.closing || now.Before(k.keepUntil) {
		return time.Time{}, false
	}
	k.askToClose()
	return k.idleSince, true
}

// askToClose asks the reader to close the connection unless a request has arrived. The
// caller must hold k.mu.
func (k *callerConn) askToClose() {
	k.closing = true
	// It fails only on a closed connection, whose reader ends on its own.
	_ = k.TCPConn.SetReadDeadline(time.Unix(1, 0))
}
