package request

import (
	"errors"
	"io"
	"os"
	"time"
)

const (
	// bodyTimeout and minBodyRate, in bytes a second, bound the time of a body: a body of the
	// largest size of a job gets twice bodyTimeout.
	bodyTimeout = 10 * time.Second
	minBodyRate = 26 << 10
	// deadlineStep is the least change of a body's deadline that is worth a system call.
	deadlineStep = time.Second
	// writeTimeout bounds the wait until the client takes more of an answer.
	writeTimeout = 10 * time.Second
)

// bodyPace is how fast the body of a request arrives.
type bodyPace struct {
	began time.Time
	// received counts the bytes since began.
	received int64
	// readBy is when the handler gives up; zero if it does not.
	readBy time.Time
	// deadline is the deadline of reads that is set.
	deadline time.Time
}

// due returns when the next part of the body has to have arrived. It moves with each part.
func (p bodyPace) due() time.Time {
	t := p.began.Add(bodyTimeout + time.Duration(p.received)*time.Second/minBodyRate)
	if !p.readBy.IsZero() && p.readBy.Before(t) {
		return p.readBy
	}
	return t
}

// applyPace records that a read begins, and sets its deadline while a body arrives.
func (k *callerConn) applyPace() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reading = true
	if k.phase != phaseBody || k.evicted {
		return
	}
	t := k.pace.due()
	if t.Sub(k.pace.deadline).Abs() < deadlineStep {
		return
	}
	k.pace.deadline = t
	// It fails only on a closed connection, which the next read reports.
	_ = k.TCPConn.SetReadDeadline(t)
}

// readBy has reads of the body fail from the given time on.
func (k *callerConn) readBy(t time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pace.readBy = t
}

// countTimeout counts a read of a body that has come to its deadline.
func (k *callerConn) countTimeout() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.phase == phaseBody && !k.evicted {
		k.conns.slowBodies.Add(1)
	}
}

// Write writes to the connection, for as long as the client takes part of it within
// writeTimeout.
func (k *callerConn) Write(b []byte) (int, error) {
	total := 0
	for {
		now := time.Now()
		k.markWriting(now)
		if err := k.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			return total, err
		}
		n, err := k.TCPConn.Write(b[total:])
		total += n
		late := errors.Is(err, os.ErrDeadlineExceeded)
		if late && n > 0 {
			continue
		}
		if late {
			k.conns.unreadAnswers.Add(1)
		}
		k.markWriting(time.Time{})
		return total, err
	}
}

// markWriting records since when the connection writes, or that it does not.
func (k *callerConn) markWriting(since time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writingSince = since
}

// ReadFrom copies from the reader with Write.
func (k *callerConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{k}, r)
}
