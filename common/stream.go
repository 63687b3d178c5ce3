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

// Stream is an answer that goes on until its connection or its context ends.
type Stream struct {
	Status  int
	body    io.ReadCloser
	attempt *attempt
}

// Stream sends one request and returns the answer once its head has arrived. Reading
// fails if another call finds that the stream's connection may be silent. The stream must
// be closed.
func (h HTTPClient) Stream(ctx context.Context, q Request) (*Stream, error) {
	a := newStream(ctx, h.conns, q)
	res, err := h.open(a) //nolint:bodyclose // the Stream closes it
	if err != nil {
		defer a.end()
		return nil, a.wrapError(err)
	}
	return &Stream{Status: res.StatusCode, body: res.Body, attempt: a}, nil
}

// open sends the request and returns the answer once its head has arrived.
func (h HTTPClient) open(a *attempt) (*http.Response, error) {
	if a.plain {
		return h.plain.open(a)
	}
	req, err := a.httpRequest(a.tracedContext())
	if err != nil {
		return nil, err
	}
	return h.encrypted.Do(req)
}

// Read implements io.Reader.
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
	// Suppresses the default User-Agent: thirty bytes in each call that nobody reads.
	r.Header.Set("User-Agent", "")
	if q.Body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}
