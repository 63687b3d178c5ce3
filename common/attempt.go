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

// attempt is one attempt at a call.
type attempt struct {
	InFlightCall
	Request
	// plain says that the call is not encrypted; address is then where it goes.
	address string
	plain   bool
	ctx     context.Context
	// cancel ends the call with a cause. It does nothing for a call that only its context
	// can end.
	cancel context.CancelCauseFunc
	conns  *Connections
	// connectedAt is when the call got its connection; until then it is zero.
	connectedAt time.Time
	// reused says that the connection has served earlier calls.
	reused bool
	// streaming says that the answer goes on for as long as the connection is open.
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

// newStream returns the attempt of a call whose answer goes on until it is closed.
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

// makeCancellable makes it possible to end the attempt before its context ends.
func (a *attempt) makeCancellable() {
	a.ctx, a.cancel = context.WithCancelCause(a.ctx)
}

// tracedContext returns the attempt's context with the hooks by which net/http reports the
// connection and the start of the answer.
func (a *attempt) tracedContext() context.Context {
	return httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{GotConn: a.gotConn, GotFirstResponseByte: a.stopTimer})
}

// gotConn records the call's connection and starts its timer. net/http calls it again if
// the connection turned out to be closed before anything was sent.
func (a *attempt) gotConn(i httptrace.GotConnInfo) {
	a.stopTimer()
	a.connectedAt, a.reused = time.Now(), i.Reused
	var onDistrust func()
	if a.streaming || (i.Reused && a.failsEarly()) {
		onDistrust = func() { a.cancel(errDistrusted) }
	}
	a.conns.Begin(&a.InFlightCall, i.Conn, onDistrust)
	deadline, bounded := a.ctx.Deadline()
	timeout := a.reusedTimeout(deadline.Sub(a.connectedAt))
	if !i.Reused && a.StallTimeout > 0 {
		timeout, bounded = a.Wait+a.StallTimeout, true
	} else if !i.Reused {
		timeout = 0
	}
	if bounded && timeout > 0 {
		a.startTimer(timeout)
	}
}

// startTimer ends the call after d unless the timer is stopped or reset. Only a reused
// connection that receives nothing counts as silent: on a new one, the other side is slow.
func (a *attempt) startTimer(d time.Duration) {
	why := errStalled
	if a.reused {
		why = errOverdue
	}
	a.timer.Store(time.AfterFunc(d, func() { a.cancel(why) }))
}

// stallingBody returns a reader of the answer's body that ends the call once it has
// received nothing for StallTimeout.
func (a *attempt) stallingBody(r io.Reader) io.Reader {
	if a.StallTimeout == 0 {
		return r
	}
	a.startTimer(a.StallTimeout)
	return &progressReader{Reader: r, attempt: a}
}

// progressReader reads a body and restarts the attempt's timer whenever data arrive.
type progressReader struct {
	io.Reader
	attempt *attempt
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if t := p.attempt.timer.Load(); t != nil && n > 0 {
		t.Reset(p.attempt.StallTimeout)
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

// wrapError returns the error of a call without an answer. If its connection was silent,
// it also closes the idle connections and abandons the calls that may be affected as well.
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

// checkSilence returns why the call's connection counts as silent, or nil. If it is this call
// that got no answer in time, other connections to its address are distrusted too. An
// overdue answer on a new connection is no silence.
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
