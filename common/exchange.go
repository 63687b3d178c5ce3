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
)

// Errors of an Exchange.
var (
	// ErrNotSent says that the other side was not reached and has done nothing.
	ErrNotSent = errors.New("not reached")
	// ErrUnknown says that the answer was lost: what was asked may be done.
	ErrUnknown = errors.New("answer lost")
)

// Exchange makes HTTP calls with JSON bodies and tells calls that were never
// sent from those whose answer was lost.
type Exchange struct {
	client *http.Client
}

// NewExchange returns an Exchange that keeps at most conns idle connections to
// one address, and total to all; 0 is no bound.
func NewExchange(conns, total int) Exchange {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialAbrupt(ctx, d, network, address)
		},
		MaxIdleConnsPerHost: conns,
		MaxIdleConns:        total,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     2 << 10,
		ReadBufferSize:      2 << 10,
	}
	return Exchange{client: &http.Client{Transport: t}}
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

// Call sends one request. Its error is ErrNotSent where the request cannot have
// arrived, and ErrUnknown where it may have.
func (x Exchange) Call(ctx context.Context, method string, at netip.AddrPort, path string, q any, header http.Header) (Reply, error) {
	var body io.Reader
	if q != nil {
		b, err := json.Marshal(q)
		if err != nil {
			return Reply{}, fmt.Errorf("%w: %s: %w", ErrNotSent, path, err)
		}
		body = bytes.NewReader(b)
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+path, body)
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %s: %w", ErrNotSent, path, err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if q != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := x.client.Do(req)
	if err != nil && (!sent.Load() || errors.Is(err, syscall.ECONNREFUSED)) {
		return Reply{}, fmt.Errorf("%w: %s: %w", ErrNotSent, path, err)
	}
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %s: %w", ErrUnknown, path, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %s: %w", ErrUnknown, path, err)
	}
	return Reply{Status: res.StatusCode, Body: b}, nil
}
