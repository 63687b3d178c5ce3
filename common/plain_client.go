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

// plainClient makes unencrypted HTTP/1.1 calls, each entirely in the goroutine of its
// caller. The client of net/http passes each call to two goroutines of its connection, and
// the answer back: 64 % of an owner's CPU time under load went into that, 296 to 373 us for
// each start. BenchmarkCall compares the two.
type plainClient struct {
	conns *Connections
	pool  *pool
}

func newPlainClient(o *Connections, l Limits) *plainClient {
	return &plainClient{conns: o, pool: newPool(l)}
}

// readBufferSize is the read buffer of each connection, in bytes: most answers fit in it.
const readBufferSize = 2 << 10

// acquireConn returns the connection of the call, a pooled one or a new one, and begins the call
// on it.
func (c *plainClient) acquireConn(a *attempt) (*pooledConn, error) {
	conn := a.on
	switch {
	case conn != nil:
	case a.reserves:
		conn = c.pool.take(a.address, Peer(0).is, time.Now())
	default:
		conn = c.pool.take(a.address, anyPeer, time.Now())
	}
	reused := conn != nil
	if !reused {
		n, err := c.conns.Dial(a.ctx, "tcp", a.address)
		if err != nil {
			return nil, err
		}
		conn = &pooledConn{Conn: n, reader: bufio.NewReaderSize(n, readBufferSize), address: a.address}
	}
	a.gotConn(httptrace.GotConnInfo{Conn: conn.Conn, Reused: reused})
	return conn, nil
}

// send sends the request and returns the answer once its head has arrived, with its
// connection. The connection is closed when the context ends, so that a request that has
// not been carried out by then is not carried out later, as far as this can be prevented.
// release stops that, and reports false if the context has already ended.
func (c *plainClient) send(a *attempt) (conn *pooledConn, answer *http.Response, release func() bool, err error) {
	b := buffers.Get().(*bytes.Buffer) //nolint:forcetypeassert // the pool holds nothing else
	defer buffers.Put(b)
	b.Reset()
	if err := a.writeRequest(b); err != nil {
		if a.on != nil {
			_ = a.on.Close()
		}
		return nil, nil, nil, err
	}
	k, err := c.acquireConn(a)
	if err != nil {
		return nil, nil, nil, err
	}
	// The function may run after a return has assigned nil to conn, so it uses k, which is
	// not assigned again.
	release = context.AfterFunc(a.ctx, func() { _ = k.Close() })
	res, err := k.roundTrip(a, b.Bytes())
	if err != nil {
		release()
		_ = k.Close()
		return nil, nil, nil, errors.Join(err, context.Cause(a.ctx))
	}
	return k, res, release, nil
}

// call makes the call, and puts its connection into the pool if it can be reused and is not
// reserved.
func (c *plainClient) call(a *attempt) (Reply, error) {
	conn, res, release, err := c.send(a)
	if err != nil {
		return Reply{}, err
	}
	r, reusable, err := a.readReply(res)
	if !release() {
		reusable = false
	}
	if !reusable {
		_ = conn.Close()
	}
	if err != nil {
		return Reply{}, errors.Join(err, context.Cause(a.ctx))
	}
	r.conn, r.reusable = conn, reusable
	if reusable && !a.reserves {
		c.pool.put(conn, time.Now(), reuseTimeout(r.Header))
	}
	return r, nil
}

// open sends the request and returns the answer once its head has arrived.
func (c *plainClient) open(a *attempt) (*http.Response, error) {
	_, res, _, err := c.send(a)
	return res, err
}

// buffers hold encoded requests until they are sent.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// plainAddress returns the address of an unencrypted call, or false for an encrypted one.
func (q Request) plainAddress() (string, bool) {
	if q.BaseURL == "" {
		return q.Address.String(), true
	}
	return strings.CutPrefix(q.BaseURL, "http://")
}

// writeRequest encodes the request.
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
func (conn *pooledConn) roundTrip(a *attempt, request []byte) (*http.Response, error) {
	if _, err := conn.Write(request); err != nil {
		return nil, err
	}
	if _, err := conn.reader.Peek(1); err != nil {
		return nil, err
	}
	a.stopTimer()
	return conn.readHead()
}

// readReply reads the rest of the answer. It reports whether its connection may be reused.
func (a *attempt) readReply(res *http.Response) (Reply, bool, error) {
	defer res.Body.Close()
	limit := cmp.Or(a.MaxReplyBytes, maxReplyBytes)
	b, err := readBody(a.stallingBody(res.Body), res.ContentLength, limit)
	if err != nil {
		return Reply{}, false, err
	}
	whole := int64(len(b)) < limit
	return Reply{Status: res.StatusCode, Header: res.Header, Body: b}, whole && !res.Close, nil
}

// readHead reads the head of the answer, and skips informational (1xx) ones before it.
func (conn *pooledConn) readHead() (*http.Response, error) {
	for {
		res, err := http.ReadResponse(conn.reader, nil)
		if err != nil || res.StatusCode >= http.StatusOK {
			return res, err
		}
	}
}

// readBody reads at most limit bytes of the body. A negative length is an unknown one.
func readBody(r io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 || length > limit {
		return io.ReadAll(io.LimitReader(r, limit))
	}
	b := make([]byte, length)
	_, err := io.ReadFull(r, b)
	return b, err
}
