package request

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"amberway/common"
)

// Limits of the connections to targets.
const (
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// idleTimeout closes a connection that nothing uses.
	idleTimeout = 30 * time.Second
	// wholeBelow is the size in bytes up to which an answer is read to its
	// end before any of it is passed on.
	wholeBelow = 64 << 10
)

// Call is one request on its way to a target.
type Call struct {
	ID     string
	Once   bool
	Method string
	// Path is the path and query for the target.
	Path   string
	Header http.Header
	Body   []byte
}

// Reply is the start of a target's answer. Rest is nil where Head is all of it.
type Reply struct {
	Status int
	Header http.Header
	Head   []byte
	Rest   io.ReadCloser
}

// AttemptError is an attempt without an answer.
type AttemptError struct {
	// Sent says that the target may have got some of the request.
	Sent  bool
	Cause error
}

// Error returns the cause and whether anything was sent.
func (e *AttemptError) Error() string {
	if e.Sent {
		return fmt.Sprintf("target may have run it: %v", e.Cause)
	}
	return fmt.Sprintf("target not reached: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error {
	return e.Cause
}

// Forwarder runs requests on targets over HTTP/1.1.
type Forwarder struct {
	conns  *common.Connections
	shared *http.Transport
	// single opens a connection for each request: net/http sends a request a
	// second time only on a connection that it has used before.
	single *http.Transport
}

// NewForwarder returns a forwarder with at most so many idle connections to
// each target.
func NewForwarder(idle int) *Forwarder {
	o := common.NewConnections((&net.Dialer{Timeout: dialTimeout}).DialContext)
	t := &http.Transport{
		DialContext:         o.Dial,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	s := t.Clone()
	s.DisableKeepAlives = true
	return &Forwarder{conns: o, shared: t, single: s}
}

// Run sends the call to the target once and reads the start of its answer. The
// error, if any, is an *AttemptError.
func (f *Forwarder) Run(ctx context.Context, a netip.AddrPort, c Call) (*Reply, error) {
	s := &sending{conns: f.conns}
	t := &httptrace.ClientTrace{GotConn: s.got}
	req, err := f.request(httptrace.WithClientTrace(ctx, t), a, c)
	if err != nil {
		return nil, &AttemptError{Cause: err}
	}
	r, err := f.send(req, c)
	if err != nil {
		s.failed(ctx)
		return nil, &AttemptError{Sent: !s.began.IsZero(), Cause: err}
	}
	if r.Rest == nil {
		s.end()
		return r, nil
	}
	r.Rest = &rest{ReadCloser: r.Rest, of: s}
	return r, nil
}

func (f *Forwarder) send(req *http.Request, c Call) (*Reply, error) {
	res, err := f.transport(c).RoundTrip(req)
	if err != nil {
		return nil, err
	}
	r, err := readHead(res)
	if id := res.Header.Get(common.HeaderID); err == nil && id != "" && id != c.ID {
		err = merry.Errorf("answer is for request %s", id)
	}
	if err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return r, nil
}

// sending is one request's use of a connection.
type sending struct {
	common.Usage
	conns *common.Connections
	// began is when the request had its connection, the zero time before.
	began time.Time
	// kept says that the connection has served earlier requests.
	kept bool
}

func (s *sending) got(i httptrace.GotConnInfo) {
	s.began, s.kept = time.Now(), i.Reused
	s.conns.Begin(&s.Usage, i.Conn, nil)
}

func (s *sending) end() {
	s.conns.End(&s.Usage)
}

// failed notes a request without an answer. Only its deadline tells silence from
// work; no request is sent a second time for it, but those after it do not meet
// another connection that has brought nothing since this one was sent.
func (s *sending) failed(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && s.kept {
		s.conns.Distrust(&s.Usage, s.began, true)
	}
	s.end()
}

// rest is the part of an answer that is passed on as it comes.
type rest struct {
	io.ReadCloser
	of *sending
}

// Close ends the use of the connection.
func (r *rest) Close() error {
	r.of.end()
	return r.ReadCloser.Close()
}

func (f *Forwarder) transport(c Call) *http.Transport {
	if c.Once {
		return f.single
	}
	return f.shared
}

func (f *Forwarder) request(ctx context.Context, a netip.AddrPort, c Call) (*http.Request, error) {
	u := "http://" + a.String() + c.Path
	//nolint:gosec // The address is the host list's; the caller chooses the path only.
	req, err := http.NewRequestWithContext(ctx, c.Method, u, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	copyHeader(req.Header, c.Header)
	req.Header.Set(common.HeaderID, c.ID)
	return req, nil
}

// readHead reads up to wholeBelow bytes of the answer, so that most answers are
// known to be whole before they are passed on.
func readHead(res *http.Response) (*Reply, error) {
	r := &Reply{Status: res.StatusCode, Header: res.Header}
	b, err := io.ReadAll(io.LimitReader(res.Body, wholeBelow))
	if err != nil {
		return nil, err
	}
	r.Head = b
	if len(b) == wholeBelow {
		r.Rest = res.Body
		return r, nil
	}
	return r, res.Body.Close()
}

// hopByHop are the headers of RFC 9110 that belong to one connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyHeader copies all headers that do not belong to one connection.
func copyHeader(to, from http.Header) {
	drop := map[string]bool{}
	for _, v := range from.Values("Connection") {
		drop[http.CanonicalHeaderKey(v)] = true
	}
	for k, l := range from {
		if hopByHop[k] || drop[k] {
			continue
		}
		to[k] = append([]string(nil), l...)
	}
}
