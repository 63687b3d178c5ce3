package common

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// Stream is an answer that goes on for as long as its connection stands.
type Stream struct {
	Status  int
	body    io.ReadCloser
	attempt *attempt
}

// Stream sends one request and returns the answer once it has begun. The answer
// breaks off when a call to the same address shows that its connection may have gone
// silent. A stream has to be closed.
func (x HTTPClient) Stream(ctx context.Context, q Request) (*Stream, error) {
	a := newStream(ctx, x.conns, q)
	res, err := x.open(a) //nolint:bodyclose // the Stream closes it
	if err != nil {
		defer a.end()
		return nil, a.wrapError(err)
	}
	return &Stream{Status: res.StatusCode, body: res.Body, attempt: a}, nil
}

// open sends the request and returns the answer once it has begun.
func (x HTTPClient) open(a *attempt) (*http.Response, error) {
	if a.plain {
		return x.plain.open(a)
	}
	req, err := a.httpRequest(a.tracedContext())
	if err != nil {
		return nil, err
	}
	return x.encrypted.Do(req)
}

// Read reads from the answer.
func (s *Stream) Read(b []byte) (int, error) {
	n, err := s.body.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		err = s.attempt.wrapError(err)
	}
	return n, err
}

// Close ends the call.
func (s *Stream) Close() error {
	s.attempt.end()
	return s.body.Close()
}

func (q Request) httpRequest(ctx context.Context) (*http.Request, error) {
	var body io.Reader
	if q.Body != nil {
		b, err := json.Marshal(q.Body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(b)
	}
	base := cmp.Or(q.BaseURL, "http://"+q.Address.String())
	r, err := http.NewRequestWithContext(ctx, q.Method, base+q.Path, body)
	if err != nil {
		return nil, err
	}
	for k, v := range q.Header {
		r.Header[k] = v
	}
	// Each call would name the HTTP client, thirty bytes that nobody reads.
	r.Header.Set("User-Agent", "")
	if q.Body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}
