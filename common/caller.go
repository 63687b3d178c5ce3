package common

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

// plainClient makes HTTP/1.1 calls, each whole in the goroutine of who asks for it. The
// client of net/http hands each call to two goroutines of its connection, and the answer
// back: of an owner's processor time under load, 64 % went into that, 296 to 373 us for
// each start. BenchmarkCall says what one call takes either way.
type plainClient struct {
	conns *Connections
	pool  *pool
}

func newPlainClient(o *Connections, l Limits) *plainClient {
	return &plainClient{conns: o, pool: newPool(l)}
}

// readBufferSize is the buffer of each connection, in bytes: most answers fit in it.
const readBufferSize = 2 << 10

// acquireConn returns a kept connection or a new one, and begins the call on it.
func (c *plainClient) acquireConn(a *attempt) (*pooledConn, error) {
	k := c.pool.take(a.address, time.Now())
	reused := k != nil
	if !reused {
		n, err := c.conns.Dial(a.ctx, "tcp", a.address)
		if err != nil {
			return nil, err
		}
		k = &pooledConn{Conn: n, reader: bufio.NewReaderSize(n, readBufferSize), address: a.address}
	}
	a.gotConn(httptrace.GotConnInfo{Conn: k.Conn, Reused: reused})
	return k, nil
}

// send sends the request and returns the answer once it has begun, with its connection.
// That is closed as the context ends, so that what has not been carried out by then is not
// carried out after it, if that can be helped; release ends this, and reports false where
// the context has ended.
func (c *plainClient) send(a *attempt) (on *pooledConn, answer *http.Response, release func() bool, err error) {
	b := buffers.Get().(*bytes.Buffer) //nolint:forcetypeassert // the pool holds nothing else
	defer buffers.Put(b)
	b.Reset()
	if err := a.writeRequest(b); err != nil {
		return nil, nil, nil, err
	}
	k, err := c.acquireConn(a)
	if err != nil {
		return nil, nil, nil, err
	}
	// It may run after this has returned: k is never set again.
	release = context.AfterFunc(a.ctx, func() { _ = k.Close() })
	res, err := k.roundTrip(a, b.Bytes())
	if err != nil {
		release()
		_ = k.Close()
		return nil, nil, nil, errors.Join(err, context.Cause(a.ctx))
	}
	return k, res, release, nil
}

// call makes the call, and keeps its connection where another may follow.
func (c *plainClient) call(a *attempt) (Reply, error) {
	k, res, release, err := c.send(a)
	if err != nil {
		return Reply{}, err
	}
	r, reusable, err := a.readReply(res)
	if !release() {
		reusable = false
	}
	if !reusable {
		_ = k.Close()
	}
	if err != nil {
		return Reply{}, errors.Join(err, context.Cause(a.ctx))
	}
	if reusable {
		c.pool.put(k, time.Now(), reuseTimeout(r.Header))
	}
	return r, nil
}

// open makes the call until its answer has begun.
func (c *plainClient) open(a *attempt) (*http.Response, error) {
	_, res, _, err := c.send(a)
	return res, err
}

// buffers hold requests until they are sent.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// plainAddress returns where a call goes that is not encrypted, or false for one that is.
func (q Request) plainAddress() (string, bool) {
	if q.BaseURL == "" {
		return q.Address.String(), true
	}
	return strings.CutPrefix(q.BaseURL, "http://")
}

// writeRequest writes the request as it goes over the connection.
func (a *attempt) writeRequest(b *bytes.Buffer) error {
	var body []byte
	if a.Body != nil {
		var err error
		if body, err = json.Marshal(a.Body); err != nil {
			return err
		}
	}
	b.WriteString(a.Method)
	b.WriteByte(' ')
	b.WriteString(a.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(a.address)
	b.WriteString("\r\n")
	for k, l := range a.Header {
		for _, v := range l {
			b.WriteString(k)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if a.Body != nil {
		b.WriteString("Content-Type: application/json\r\n")
	}
	if a.Body != nil || (a.Method != http.MethodGet && a.Method != http.MethodDelete) {
		b.WriteString("Content-Length: ")
		b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(len(body)), 10))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(body)
	return nil
}

// roundTrip sends the request and reads the head of the answer.
func (k *pooledConn) roundTrip(a *attempt, request []byte) (*http.Response, error) {
	if _, err := k.Write(request); err != nil {
		return nil, err
	}
	if _, err := k.reader.Peek(1); err != nil {
		return nil, err
	}
	a.stopTimer()
	return k.readHead()
}

// readReply reads the answer. It reports whether its connection may carry another call.
func (a *attempt) readReply(res *http.Response) (Reply, bool, error) {
	defer res.Body.Close()
	most := cmp.Or(a.MaxReplyBytes, maxReply)
	b, err := readBody(a.stallingBody(res.Body), res.ContentLength, most)
	if err != nil {
		return Reply{}, false, err
	}
	whole := int64(len(b)) < most
	return Reply{Status: res.StatusCode, Header: res.Header, Body: b}, whole && !res.Close, nil
}

// readHead reads the head of the answer, and passes over those before it.
func (k *pooledConn) readHead() (*http.Response, error) {
	for {
		res, err := http.ReadResponse(k.reader, nil)
		if err != nil || res.StatusCode >= http.StatusOK {
			return res, err
		}
	}
}

// readBody reads the body, whose length may be known, up to the most bytes.
func readBody(r io.Reader, length, most int64) ([]byte, error) {
	if length < 0 || length > most {
		return io.ReadAll(io.LimitReader(r, most))
	}
	b := make([]byte, length)
	_, err := io.ReadFull(r, b)
	return b, err
}
