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

// Timeouts and limits of an HTTPClient.
const (
	// dialTimeout bounds the opening of a connection. That takes a few milliseconds, but
	// TCP resends a lost opening packet only after one second.
	dialTimeout = 1200 * time.Millisecond
	// maxReplyBytes bounds the body of one answer, in bytes: a page of the platform's
	// store is at most one megabyte of values, which base64 makes a third
	// longer.
	maxReplyBytes int64 = 4 << 20
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 30 * time.Second
	// usualAnswerTime is the longest time that an answer takes when nothing is wrong,
	// beyond the time that the other side was asked to wait. When a call has got no answer
	// by then, other connections that have received something since are still trusted.
	usualAnswerTime = 100 * time.Millisecond
	// minSilence is how long an answer must be overdue at the call's deadline for the
	// connection to count as silent: a slow store takes a quarter of a second to answer.
	minSilence = 250 * time.Millisecond
)

// Errors of an HTTPClient.
var (
	// ErrNotSent says that the other side was not reached and has done nothing.
	ErrNotSent = errors.New("not reached")
	// ErrUnknownOutcome says that the answer was lost: the request may have been carried
	// out.
	ErrUnknownOutcome = errors.New("answer lost")
	// ErrSilent is an ErrUnknownOutcome on a reused connection that got no answer in
	// time. The next call uses a new connection.
	ErrSilent = fmt.Errorf("%w: reused connection is silent", ErrUnknownOutcome)
	// errOverdue ends a call whose reused connection has received nothing in time.
	errOverdue = fmt.Errorf("%w: answer overdue", ErrSilent)
	// errStalled ends a call whose new connection has received nothing for its StallTimeout.
	errStalled = fmt.Errorf("%w: answer stalled", ErrUnknownOutcome)
	// errDistrusted ends a call whose connection has received nothing since another one
	// became silent.
	errDistrusted = fmt.Errorf("%w, like another one", ErrSilent)
)

// HTTPClient makes HTTP calls with JSON bodies and distinguishes calls that were never
// sent from those whose answer was lost.
type HTTPClient struct {
	// encrypted makes the calls over TLS, plain the others.
	encrypted *http.Client
	plain     *plainClient
	conns     *Connections
}

// Limits bound the connections of an HTTPClient.
type Limits struct {
	// MaxIdlePerAddress is the maximum number of idle connections to one address.
	MaxIdlePerAddress int
	// MaxIdle is the maximum number of idle connections in total; zero is no limit.
	MaxIdle int
	// KeepAliveInterval is the time between TCP keep-alive probes; zero disables them.
	// They close connections to a host that has gone while nothing is sent to it.
	KeepAliveInterval time.Duration
}

// NewHTTPClient returns a client without connections.
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

// Connections returns the client's connections, for example for JoinConnections.
func (h HTTPClient) Connections() *Connections {
	return h.conns
}

// dialWithReset opens a connection that is reset when it is closed: a request that a
// network failure has delayed must not arrive after its call was abandoned.
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
	// BaseURL is the scheme and host of the other side. If set, it is used instead of
	// Address.
	BaseURL string
	// Path is the path and query.
	Path string
	// Body is sent as JSON; nil is none.
	Body   any
	Header http.Header
	// Wait is how long the other side is asked to wait before it answers (long polling).
	Wait time.Duration
	// CallerResolves says that the caller can find out by itself whether a call without an
	// answer was carried out. On a silent reused connection, such a call fails early.
	CallerResolves bool
	// StallTimeout is the longest time for which the answer may make no progress, both
	// before and after its start: a long answer on a narrow link is not silent as long as
	// it makes progress. Zero leaves the limit to the context.
	StallTimeout time.Duration
	// MaxReplyBytes bounds the body of the Reply; zero means maxReply.
	MaxReplyBytes int64
	// repeatable says that the client repeats the call if its connection is not trusted.
	repeatable bool
	// on is the connection to use; nil takes an idle or a new one.
	on *pooledConn
	// reserves says that the connection must have no known peer, and is not put into the pool
	// after the answer.
	reserves bool
}

// failsEarly reports whether the call is abandoned on a silent reused connection before
// its deadline, because it is repeated or its caller resolves it.
func (q Request) failsEarly() bool {
	return q.repeatable || q.CallerResolves
}

// reusedTimeout returns how long a reused connection may receive nothing: Wait, and half of
// the time left after it, so that a new connection gets the other half. It is zero if only
// the context ends the call.
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
	// conn is the connection of an unencrypted call, and reusable says whether it may carry
	// another one.
	conn     *pooledConn
	reusable bool
}

// Decode decodes the answer's JSON body into v.
func (r Reply) Decode(v any) error {
	if err := json.Unmarshal(r.Body, v); err != nil {
		return fmt.Errorf("%w: answer with status %d: %w", ErrUnknownOutcome, r.Status, err)
	}
	return nil
}

// CallIdempotent makes a call that may be carried out twice. If it fails because a reused
// connection is silent, the second call, which must ask for the same, is made at once on a
// new connection, within the deadline of the context.
func (h HTTPClient) CallIdempotent(ctx context.Context, first, second Request) (Reply, error) {
	first.repeatable, second.repeatable = true, true
	a := newAttempt(ctx, h.conns, first)
	r, err := h.do(a)
	if !errors.Is(err, ErrSilent) {
		return r, err
	}
	for errors.Is(err, ErrSilent) && ctx.Err() == nil {
		r, err = h.do(newAttempt(ctx, h.conns, second))
	}
	if err == nil && errors.Is(context.Cause(a.ctx), errOverdue) {
		h.conns.group.reportSilence(first.Address.String(), a.due(), time.Now())
	}
	return r, err
}

// Call makes one call. Its error is ErrNotSent if the request cannot have arrived, and
// ErrUnknownOutcome if it may have.
func (h HTTPClient) Call(ctx context.Context, q Request) (Reply, error) {
	return h.do(newAttempt(ctx, h.conns, q))
}

func (h HTTPClient) do(a *attempt) (Reply, error) {
	defer a.end()
	if a.plain {
		r, err := h.plain.call(a)
		if err != nil {
			err = a.wrapError(err)
		}
		return r, err
	}
	res, err := h.open(a)
	if err != nil {
		return Reply{}, a.wrapError(err)
	}
	r, _, err := a.readReply(res)
	if err != nil {
		return Reply{}, a.wrapError(err)
	}
	return r, nil
}
