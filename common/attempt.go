package common

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"
)

// attempt is one call on its way.
type attempt struct {
	InFlightCall
	Request
	// address is where a call goes that is not encrypted, which plain says.
	address string
	plain   bool
	ctx     context.Context
	// cancel ends the call with a reason. It does nothing where only the context does.
	cancel context.CancelCauseFunc
	conns  *Connections
	// connectedAt is when the call had its connection, the zero time before.
	connectedAt time.Time
	// reused says that the connection has served earlier calls.
	reused bool
	// streaming says that the answer goes on for as long as the connection stands.
	streaming bool
	timer     atomic.Pointer[time.Timer]
}

func newAttempt(ctx context.Context, o *Connections, q Request) *attempt {
	a := prepare(ctx, o, q)
	if q.failsEarly() || q.StallTimeout > 0 {
		a.makeCancellable()
	}
	return a
}

// newStream returns the attempt of a call whose answer goes on until it is ended.
func newStream(ctx context.Context, o *Connections, q Request) *attempt {
	a := prepare(ctx, o, q)
	a.streaming = true
	a.makeCancellable()
	return a
}

func prepare(ctx context.Context, o *Connections, q Request) *attempt {
	a := &attempt{Request: q, conns: o, ctx: ctx, cancel: func(error) {}}
	a.kind = callKind(q.Path)
	a.address, a.plain = q.plainAddress()
	return a
}

// makeCancellable lets the attempt end by other reasons than its context's.
func (a *attempt) makeCancellable() {
	a.ctx, a.cancel = context.WithCancelCause(a.ctx)
}

// tracedContext returns the attempt's context with what a client of net/http has to tell of.
func (a *attempt) tracedContext() context.Context {
	return httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{GotConn: a.gotConn, GotFirstResponseByte: a.stopTimer})
}

// gotConn begins the call on a connection. It is called again where that turned out to
// be closed before anything was sent.
func (a *attempt) gotConn(i httptrace.GotConnInfo) {
	a.stopTimer()
	a.connectedAt, a.reused = time.Now(), i.Reused
	var giveUp func()
	if a.streaming || (i.Reused && a.failsEarly()) {
		giveUp = func() { a.cancel(errDistrusted) }
	}
	a.conns.Begin(&a.InFlightCall, i.Conn, giveUp)
	end, bounded := a.ctx.Deadline()
	p := a.reusedTimeout(end.Sub(a.connectedAt))
	if !i.Reused && a.StallTimeout > 0 {
		p, bounded = a.Wait+a.StallTimeout, true
	} else if !i.Reused {
		p = 0
	}
	if bounded && p > 0 {
		a.startTimer(p)
	}
}

// startTimer ends the call after a time. A new connection that brings nothing is not
// silent: the other side is slow.
func (a *attempt) startTimer(d time.Duration) {
	why := errStalled
	if a.reused {
		why = errOverdue
	}
	a.timer.Store(time.AfterFunc(d, func() { a.cancel(why) }))
}

// stallingBody returns what reads the answer's body and ends the call once nothing comes for
// its Stall.
func (a *attempt) stallingBody(r io.Reader) io.Reader {
	if a.StallTimeout == 0 {
		return r
	}
	a.startTimer(a.StallTimeout)
	return &progressReader{Reader: r, attempt: a}
}

// progressReader is a body that is read for as long as it goes on.
type progressReader struct {
	io.Reader
	attempt *attempt
}

// Read reads, and puts the end of the call off.
func (m *progressReader) Read(b []byte) (int, error) {
	n, err := m.Reader.Read(b)
	if t := m.attempt.timer.Load(); t != nil && n > 0 {
		t.Reset(m.attempt.StallTimeout)
	}
	return n, err
}

func (a *attempt) stopTimer() {
	if t := a.timer.Swap(nil); t != nil {
		t.Stop()
	}
}

func (a *attempt) end() {
	a.stopTimer()
	a.conns.End(&a.InFlightCall)
	a.cancel(nil)
}

// wrapError returns the error of a call without an answer, and gives up what is not
// newer than its connection where that was silent.
func (a *attempt) wrapError(err error) error {
	kind := ErrUnknownOutcome
	if a.connectedAt.IsZero() || errors.Is(err, syscall.ECONNREFUSED) {
		kind = ErrNotSent
	} else if silent := a.checkSilence(); silent != nil {
		kind = silent
	}
	return fmt.Errorf("%w: %s: %w", kind, a.Path, err)
}

// due is when the answer should have come.
func (a *attempt) due() time.Time {
	return a.connectedAt.Add(a.Wait)
}

// checkSilence returns why the call's connection counts as silent, or nil.
func (a *attempt) checkSilence() error {
	why := context.Cause(a.ctx)
	if errors.Is(why, errDistrusted) {
		return errDistrusted
	}
	overdue := !a.streaming && errors.Is(why, context.DeadlineExceeded) && time.Since(a.due()) >= minSilence
	if !overdue && !errors.Is(why, errOverdue) {
		return nil
	}
	a.conns.Distrust(&a.InFlightCall, a.due().Add(usualAnswerTime), a.reused)
	if !a.reused {
		return nil
	}
	return ErrSilent
}
