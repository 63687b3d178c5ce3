package common

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
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
	maxReply int64 = 4 << 20
	// idleTimeout closes connections that carry nothing.
	idleTimeout = 30 * time.Second
	// usualAnswerTime is what an answer takes at most when all goes well, beyond the
	// time that the other side was asked to wait. A connection that brings
	// something later than that after another's call is not silent as the other is.
	usualAnswerTime = 100 * time.Millisecond
	// minSilence is the least time without an answer that shows silence, where a
	// call has no more time: a store that is slow takes a quarter of a second.
	minSilence = 250 * time.Millisecond
)

// Errors of an Exchange.
var (
	// ErrNotSent says that the other side was not reached and has done nothing.
	ErrNotSent = errors.New("not reached")
	// ErrUnknownOutcome says that the answer was lost: what was asked may be done.
	ErrUnknownOutcome = errors.New("answer lost")
	// ErrSilent is an ErrUnknown of a connection that was kept from earlier calls
	// and brought no answer in time. The next call goes on a new one.
	ErrSilent = fmt.Errorf("%w: kept connection is silent", ErrUnknownOutcome)
	// errOverdue ends a call whose own connection has brought nothing in time.
	errOverdue = fmt.Errorf("%w: answer overdue", ErrSilent)
	// errStalled ends a call whose new connection has brought nothing for its Stall.
	errStalled = fmt.Errorf("%w: answer stalled", ErrUnknownOutcome)
	// errDistrusted ends a call whose connection is no newer than a silent one.
	errDistrusted = fmt.Errorf("%w, as another to its address is", ErrSilent)
)

// HTTPClient makes HTTP calls with JSON bodies and tells calls that were never
// sent from those whose answer was lost.
type HTTPClient struct {
	// encrypted makes the encrypted calls, caller the others.
	encrypted *http.Client
	plain     *plainClient
	conns     *Connections
}

// Limits bound the connections of an Exchange.
type Limits struct {
	// MaxIdlePerAddress is the most idle connections kept to one address.
	MaxIdlePerAddress int
	// MaxIdle is the most kept to all; zero is no bound.
	MaxIdle int
	// KeepAliveInterval is the time between TCP's own probes; zero is none. They end
	// connections to a host that is gone while nothing is sent to it.
	KeepAliveInterval time.Duration
}

// NewHTTPClient returns an Exchange without connections yet.
func NewHTTPClient(l Limits) HTTPClient {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: l.KeepAliveInterval}
	if l.KeepAliveInterval == 0 {
		d.KeepAlive = -1
	}
	o := NewConnections(func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialWithReset(ctx, d, network, address)
	})
	t := &http.Transport{
		DialContext:         o.Dial,
		MaxIdleConnsPerHost: l.MaxIdlePerAddress,
		MaxIdleConns:        l.MaxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     2 << 10,
		ReadBufferSize:      2 << 10,
	}
	return HTTPClient{encrypted: &http.Client{Transport: t}, plain: newPlainClient(o, l), conns: o}
}

// Connections returns the exchange's connections, to be joined with others.
func (x HTTPClient) Connections() *Connections {
	return x.conns
}

// dialWithReset opens a connection that is reset when it is closed: what a cut has
// held up must not arrive after its call was given up.
func dialWithReset(ctx context.Context, d *net.Dialer, network, address string) (net.Conn, error) {
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
	Method  string
	Address netip.AddrPort
	// BaseURL is the scheme and host where the other side is known by these; it goes
	// before At.
	BaseURL string
	// Path is the path and query.
	Path string
	// Body is sent as JSON; nil is none.
	Body   any
	Header http.Header
	// Wait is how long the other side is asked to wait before it answers.
	Wait time.Duration
	// CallerResolves says that the caller finds out what became of a call without an
	// answer, and goes on: such a call is given up early on a kept connection.
	CallerResolves bool
	// StallTimeout is how long the answer may bring nothing, once it has begun as well as
	// before: a long one on a narrow link is not silent while it goes on. Zero leaves
	// that to the context.
	StallTimeout time.Duration
	// MaxReplyBytes is the most bytes of an answer; zero is maxReply.
	MaxReplyBytes int64
	// repeatable says that the exchange repeats the call if its connection is not trusted.
	repeatable bool
}

// failsEarly reports whether the call is given up on a kept connection before its time:
// it is made again, or settled by the caller.
func (q Request) failsEarly() bool {
	return q.repeatable || q.CallerResolves
}

// reusedTimeout returns how long a kept connection may bring nothing: beyond the wait,
// half of the time that is left, so that a new one has the other half. It is zero
// where only the context ends the call.
func (q Request) reusedTimeout(left time.Duration) time.Duration {
	switch {
	case !q.failsEarly():
		return 0
	case q.StallTimeout > 0:
		return q.Wait + q.StallTimeout/2
	}
	return q.Wait + max(0, left-q.Wait)/2
}

// Reply is one whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decode reads the answer's body into v.
func (r Reply) Decode(v any) error {
	if err := json.Unmarshal(r.Body, v); err != nil {
		return fmt.Errorf("%w: answer with status %d: %w", ErrUnknownOutcome, r.Status, err)
	}
	return nil
}

// CallIdempotent makes a call that may be done twice. Where its connection was kept from
// earlier calls and is silent, it makes the second call, which asks the same, at
// once on a new one, within the time of the context.
func (x HTTPClient) CallIdempotent(ctx context.Context, first, second Request) (Reply, error) {
	first.repeatable, second.repeatable = true, true
	a := newAttempt(ctx, x.conns, first)
	r, err := x.do(a)
	if !errors.Is(err, ErrSilent) {
		return r, err
	}
	for errors.Is(err, ErrSilent) && ctx.Err() == nil {
		r, err = x.do(newAttempt(ctx, x.conns, second))
	}
	if err == nil && errors.Is(context.Cause(a.ctx), errOverdue) {
		x.conns.group.reportSilence(first.Address.String(), a.due(), time.Now())
	}
	return r, err
}

// Call sends one request. Its error is ErrNotSent where the request cannot have
// arrived, and ErrUnknown where it may have.
func (x HTTPClient) Call(ctx context.Context, q Request) (Reply, error) {
	return x.do(newAttempt(ctx, x.conns, q))
}

func (x HTTPClient) do(a *attempt) (Reply, error) {
	defer a.end()
	if a.plain {
		r, err := x.plain.call(a)
		if err != nil {
			err = a.wrapError(err)
		}
		return r, err
	}
	res, err := x.open(a)
	if err != nil {
		return Reply{}, a.wrapError(err)
	}
	r, _, err := a.readReply(res)
	if err != nil {
		return Reply{}, a.wrapError(err)
	}
	return r, nil
}
