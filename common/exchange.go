package common

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits of one Exchange.
const (
	// dialTimeout is how long a connection may take. Links take a few
	// milliseconds; a lost opening packet is sent again after one second.
	dialTimeout = 1200 * time.Millisecond
	// maxReply bounds the body of one answer, in bytes: a page of the platform's
	// store is at most one megabyte of values, which base64 makes a third
	// longer.
	maxReply = 4 << 20
	// idleTimeout closes connections that carry nothing.
	idleTimeout = 30 * time.Second
	// answerWithin is what an answer takes at most when all goes well, beyond the
	// time that the other side was asked to wait. A connection that brings
	// something later than that after another's call is not silent as the other is.
	answerWithin = 100 * time.Millisecond
	// leastSilence is the least time without an answer that shows silence, where a
	// call has no more time: a store that is slow takes a quarter of a second.
	leastSilence = 250 * time.Millisecond
)

// Errors of an Exchange.
var (
	// ErrNotSent says that the other side was not reached and has done nothing.
	ErrNotSent = errors.New("not reached")
	// ErrUnknown says that the answer was lost: what was asked may be done.
	ErrUnknown = errors.New("answer lost")
	// ErrSilent is an ErrUnknown of a connection that was kept from earlier calls
	// and brought no answer in time. The next call goes on a new one.
	ErrSilent = fmt.Errorf("%w: kept connection is silent", ErrUnknown)
	// errDistrusted ends a call whose connection is no newer than a silent one.
	errDistrusted = fmt.Errorf("%w, as another to its address is", ErrSilent)
)

// Exchange makes HTTP calls with JSON bodies and tells calls that were never
// sent from those whose answer was lost.
type Exchange struct {
	client *http.Client
	conns  *Connections
}

// NewExchange returns an Exchange that keeps at most conns idle connections to
// one address, and total to all; 0 is no bound.
func NewExchange(conns, total int) Exchange {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	o := NewConnections(func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialAbrupt(ctx, d, network, address)
	})
	t := &http.Transport{
		DialContext:         o.Dial,
		MaxIdleConnsPerHost: conns,
		MaxIdleConns:        total,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     2 << 10,
		ReadBufferSize:      2 << 10,
	}
	return Exchange{client: &http.Client{Transport: t}, conns: o}
}

// dialAbrupt opens a connection that is reset when it is closed: what a cut has
// held up must not arrive after its call was given up.
func dialAbrupt(ctx context.Context, d *net.Dialer, network, address string) (net.Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetLinger(0); err != nil {
			_ = t.Close()
			return nil, err
		}
	}
	return c, nil
}

// Request is one call.
type Request struct {
	Method string
	At     netip.AddrPort
	// Path is the path and query.
	Path string
	// Body is sent as JSON; nil is none.
	Body   any
	Header http.Header
	// Wait is how long the other side is asked to wait before it answers.
	Wait time.Duration
	// Settled says that the caller finds out what became of a call without an
	// answer, and goes on: such a call is given up early on a kept connection.
	Settled bool
	// again says that the call is repeated if its connection is not trusted.
	again bool
}

// patience returns how long a kept connection may bring nothing: beyond the wait,
// half of the time that is left, so that a new one has the other half. It is zero
// where only the context ends the call.
func (q Request) patience(left time.Duration) time.Duration {
	if !q.again && !q.Settled {
		return 0
	}
	return q.Wait + max(0, left-q.Wait)/2
}

// Reply is one whole answer.
type Reply struct {
	Status int
	Body   []byte
}

// Decode reads the answer's body into v.
func (r Reply) Decode(v any) error {
	if err := json.Unmarshal(r.Body, v); err != nil {
		return fmt.Errorf("%w: answer with status %d: %w", ErrUnknown, r.Status, err)
	}
	return nil
}

// Repeat makes a call that may be done twice. Where its connection was kept from
// earlier calls and is silent, it makes the second call, which asks the same, at
// once on a new one, within the time of the context.
func (x Exchange) Repeat(ctx context.Context, first, second Request) (Reply, error) {
	first.again, second.again = true, true
	r, err := x.Call(ctx, first)
	for errors.Is(err, ErrSilent) && ctx.Err() == nil {
		r, err = x.Call(ctx, second)
	}
	return r, err
}

// Call sends one request. Its error is ErrNotSent where the request cannot have
// arrived, and ErrUnknown where it may have.
func (x Exchange) Call(ctx context.Context, q Request) (Reply, error) {
	a := newAttempt(ctx, x.conns, q)
	defer a.end()
	req, err := q.request(a.ctx)
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %s: %w", ErrNotSent, q.Path, err)
	}
	res, err := x.client.Do(req)
	if err != nil {
		return Reply{}, a.failed(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return Reply{}, a.failed(err)
	}
	return Reply{Status: res.StatusCode, Body: b}, nil
}

func (q Request) request(ctx context.Context) (*http.Request, error) {
	var body io.Reader
	if q.Body != nil {
		b, err := json.Marshal(q.Body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+q.At.String()+q.Path, body)
	if err != nil {
		return nil, err
	}
	for k, v := range q.Header {
		r.Header[k] = v
	}
	if q.Body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

// attempt is one call on its way.
type attempt struct {
	Usage
	Request
	ctx    context.Context
	cancel context.CancelCauseFunc
	conns  *Connections
	// began is when the call had its connection, the zero time before.
	began time.Time
	// kept says that the connection has served earlier calls.
	kept  bool
	timer atomic.Pointer[time.Timer]
}

func newAttempt(ctx context.Context, o *Connections, q Request) *attempt {
	a := &attempt{Request: q, conns: o}
	ctx, a.cancel = context.WithCancelCause(ctx)
	a.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.got, GotFirstResponseByte: a.stopTimer})
	return a
}

// got begins the call on a connection. It is called again where that turned out to
// be closed before anything was sent.
func (a *attempt) got(i httptrace.GotConnInfo) {
	a.stopTimer()
	a.began, a.kept = time.Now(), i.Reused
	var giveUp func()
	if i.Reused && a.again {
		giveUp = func() { a.cancel(errDistrusted) }
	}
	a.conns.Begin(&a.Usage, i.Conn, giveUp)
	end, bounded := a.ctx.Deadline()
	if p := a.patience(end.Sub(a.began)); i.Reused && bounded && p > 0 {
		a.timer.Store(time.AfterFunc(p, func() { a.cancel(ErrSilent) }))
	}
}

func (a *attempt) stopTimer() {
	if t := a.timer.Swap(nil); t != nil {
		t.Stop()
	}
}

func (a *attempt) end() {
	a.stopTimer()
	a.conns.End(&a.Usage)
	a.cancel(nil)
}

// failed returns the error of a call without an answer, and gives up what is not
// newer than its connection where that was silent.
func (a *attempt) failed(err error) error {
	kind := ErrUnknown
	if a.began.IsZero() || errors.Is(err, syscall.ECONNREFUSED) {
		kind = ErrNotSent
	} else if silent := a.silence(); silent != nil {
		kind = silent
	}
	return fmt.Errorf("%w: %s: %w", kind, a.Path, err)
}

// silence returns why the call's connection counts as silent, or nil.
func (a *attempt) silence() error {
	why := context.Cause(a.ctx)
	if errors.Is(why, errDistrusted) {
		return errDistrusted
	}
	due := a.began.Add(a.Wait)
	overdue := errors.Is(why, context.DeadlineExceeded) && time.Since(due) >= leastSilence
	if !overdue && !errors.Is(why, ErrSilent) {
		return nil
	}
	a.conns.Distrust(a.At.String(), due.Add(answerWithin))
	if !a.kept {
		return nil
	}
	return ErrSilent
}
