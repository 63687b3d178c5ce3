package request

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"amberway/common"
)

// Limits of the connections to targets.
const (
	// dialTimeout bounds the setup of a connection.
	dialTimeout = time.Second
	// targetIdleTimeout closes a connection that nothing uses.
	targetIdleTimeout = 30 * time.Second
	// detachedRunTimeout is how long a run may hold its slot after its caller has gone. A
	// run that hangs delays the reboot of its host; this is a tenth of the five minutes
	// that a reboot takes.
	detachedRunTimeout = 30 * time.Second
	// maxBufferedAnswer is the size in bytes up to which an answer is read completely
	// before any of it is passed on.
	maxBufferedAnswer = 64 << 10
)

// Call is one request to be sent to a target.
type Call struct {
	ID         string
	AtMostOnce bool
	Method     string
	// Path is the path and query for the target.
	Path   string
	Header http.Header
	Body   []byte
	// RunsToCompletion says that a target which has received the request runs it to its
	// end, even if nobody waits for it: Run lets the attempt go on after its caller has
	// gone.
	RunsToCompletion bool
}

// Reply is the start of a target's answer. Rest is nil if Buffered is the whole body.
type Reply struct {
	Status   int
	Header   http.Header
	Buffered []byte
	Rest     io.ReadCloser
}

// AttemptError is the error of an attempt that got no answer.
type AttemptError struct {
	// Sent says that the target may have received some of the request.
	Sent  bool
	Cause error
	// Done is closed once the run has ended on the target; nil if it cannot still be
	// going on.
	Done <-chan struct{}
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
	pooled *http.Transport
	// unpooled opens a connection for each request. It sends those that may run at most
	// once: net/http resends a request only if it was sent on a reused connection.
	unpooled *http.Transport
}

// NewForwarder returns a forwarder that keeps at most maxIdle idle connections to each
// target.
func NewForwarder(maxIdle int) *Forwarder {
	o := common.NewConnections((&net.Dialer{Timeout: dialTimeout}).DialContext)
	t := &http.Transport{
		DialContext:         o.Dial,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     targetIdleTimeout,
		DisableCompression:  true,
	}
	s := t.Clone()
	s.DisableKeepAlives = true
	return &Forwarder{conns: o, pooled: t, unpooled: s}
}

// Run sends the call to the target once and reads the start of its answer. Its error is
// always an *AttemptError.
func (f *Forwarder) Run(ctx context.Context, a netip.AddrPort, c Call) (*Reply, error) {
	attemptCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t := newAttempt(f.conns, cancel)
	req, err := t.request(attemptCtx, a, c)
	if err != nil {
		cancel()
		return nil, &AttemptError{Cause: err}
	}
	go t.send(f.transport(c), req, c.ID)
	select {
	case <-t.done:
		return t.result(ctx)
	case <-ctx.Done():
	}
	t.distrustConn(ctx)
	if !c.RunsToCompletion || t.abandon() {
		cancel()
		<-t.done
		return t.result(ctx)
	}
	return nil, t.detach(ctx)
}

func (f *Forwarder) transport(c Call) *http.Transport {
	if c.AtMostOnce {
		return f.unpooled
	}
	return f.pooled
}

// request returns the HTTP request of the attempt.
func (t *attempt) request(ctx context.Context, a netip.AddrPort, c Call) (*http.Request, error) {
	u := "http://" + a.String() + c.Path
	//nolint:gosec // The address is the host list's; the caller chooses the path only.
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, t.trace()), c.Method, u, http.NoBody)
	if err != nil {
		return nil, err
	}
	copyHeader(req.Header, c.Header)
	req.Header.Set(common.HeaderRequestID, c.ID)
	req.ContentLength = int64(len(c.Body))
	req.Body = t.newBody(c.Body)
	req.GetBody = func() (io.ReadCloser, error) { return t.newBody(c.Body), nil }
	return req, nil
}

// bufferAnswer reads up to maxBufferedAnswer bytes of the answer, so that most answers
// are known to be complete before they are passed on.
func bufferAnswer(res *http.Response) (*Reply, error) {
	r := &Reply{Status: res.StatusCode, Header: res.Header}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxBufferedAnswer))
	if err != nil {
		return nil, err
	}
	r.Buffered = b
	if len(b) == maxBufferedAnswer {
		r.Rest = res.Body
		return r, nil
	}
	return r, res.Body.Close()
}

// hopByHop are the headers that belong to one connection (RFC 9110).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyHeader copies all headers but those that belong to one connection.
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
