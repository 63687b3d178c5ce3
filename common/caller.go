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

// caller makes HTTP/1.1 calls, each whole in the goroutine of who asks for it. The
// client of net/http hands each call to two goroutines of its connection, and the answer
// back: of an owner's processor time under load, 64 % went into that, 296 to 373 us for
// each start. BenchmarkCall says what one call takes either way.
type caller struct {
	conns *Connections
	pool  *pool
}

func newCaller(o *Connections, l Limits) *caller {
	return &caller{conns: o, pool: newPool(l)}
}

// readAhead is the buffer of each connection, in bytes: most answers fit in it.
const readAhead = 2 << 10

// connect returns a kept connection or a new one, and begins the call on it.
func (c *caller) connect(a *attempt) (*kept, error) {
	k := c.pool.take(a.address, time.Now())
	reused := k != nil
	if !reused {
		n, err := c.conns.Dial(a.ctx, "tcp", a.address)
		if err != nil {
			return nil, err
		}
		k = &kept{Conn: n, reader: bufio.NewReaderSize(n, readAhead), address: a.address}
	}
	a.got(httptrace.GotConnInfo{Conn: k.Conn, Reused: reused})
	return k, nil
}

// send sends the request and returns the answer once it has begun, with its connection.
// That is closed as the context ends, so that what has not been carried out by then is not
// carried out after it, if that can be helped; release ends this, and reports false where
// the context has ended.
func (c *caller) send(a *attempt) (on *kept, answer *http.Response, release func() bool, err error) {
	b := buffers.Get().(*bytes.Buffer) //nolint:forcetypeassert // the pool holds nothing else
	defer buffers.Put(b)
	b.Reset()
	if err := a.write(b); err != nil {
		return nil, nil, nil, err
	}
	k, err := c.connect(a)
	if err != nil {
		return nil, nil, nil, err
	}
	// It may run after this has returned: k is never set again.
	release = context.AfterFunc(a.ctx, func() { _ = k.Close() })
	res, err := k.begin(a, b.Bytes())
	if err != nil {
		release()
		_ = k.Close()
		return nil, nil, nil, errors.Join(err, context.Cause(a.ctx))
	}
	return k, res, release, nil
}

// call makes the call, and keeps its connection where another may follow.
func (c *caller) call(a *attempt) (Reply, error) {
	k, res, release, err := c.send(a)
	if err != nil {
		return Reply{}, err
	}
	r, reusable, err := a.read(res)
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
		c.pool.put(k, time.Now(), usableIdle(r.Header))
	}
	return r, nil
}

// open makes the call until its answer has begun.
func (c *caller) open(a *attempt) (*http.Response, error) {
	_, res, _, err := c.send(a)
	return res, err
}

// buffers hold requests until they are sent.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// plainAddress returns where a call goes that is not encrypted, or false for one that is.
func (q Request) plainAddress() (string, bool) {
	if q.Base == "" {
		return q.At.String(), true
	}
	return strings.CutPrefix(q.Base, "http://")
}

// write writes the request as it goes over the connection.
func (a *attempt) write(b *bytes.Buffer) error {
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

// begin sends the request and reads the head of the answer.
func (k *kept) begin(a *attempt, request []byte) (*http.Response, error) {
	if _, err := k.Write(request); err != nil {
		return nil, err
	}
	if _, err := k.reader.Peek(1); err != nil {
		return nil, err
	}
	a.stopTimer()
	return k.answer()
}

// read reads the answer. It reports whether its connection may carry another call.
func (a *attempt) read(res *http.Response) (Reply, bool, error) {
	defer res.Body.Close()
	most := cmp.Or(a.Most, maxReply)
	b, err := readBody(a.body(res.Body), res.ContentLength, most)
	if err != nil {
		return Reply{}, false, err
	}
	whole := int64(len(b)) < most
	return Reply{Status: res.StatusCode, Header: res.Header, Body: b}, whole && !res.Close, nil
}

// answer reads the head of the answer, and passes over those before it.
func (k *kept) answer() (*http.Response, error) {
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
