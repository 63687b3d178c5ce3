package request

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"amberway/common"
)

// attempt is one request on its way to one target, and its use of a connection. It
// has a context of its own, so that it can outlast its caller.
type attempt struct {
	common.Usage
	conns  *common.Connections
	cancel context.CancelFunc
	// conn tells of the connection, nil before there is one.
	conn atomic.Pointer[connInfo]
	// phase settles once whether the request is written or given up.
	phase atomic.Int32
	// done closes once reply or err is there.
	done  chan struct{}
	reply *Reply
	err   error
}

// connInfo is how a request got its connection.
type connInfo struct {
	at time.Time
	// reused says that the connection has served earlier requests.
	reused bool
}

func newAttempt(o *common.Connections, cancel context.CancelFunc) *attempt {
	return &attempt{conns: o, cancel: cancel, done: make(chan struct{})}
}

// Phases of an attempt.
const (
	phasePending int32 = iota
	phaseWriting
	phaseAbandoned
)

// trace notes when the request has a connection.
func (t *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		t.conns.Begin(&t.Usage, i.Conn, nil)
		t.conn.Store(&connInfo{at: time.Now(), reused: i.Reused})
	}}
}

// sent reports whether the target may have got some of the request.
func (t *attempt) sent() bool {
	return t.conn.Load() != nil
}

// distrustConn notes that the caller's time has ended without an answer. Only that tells
// silence from work; the request is not sent a second time for it, but those after it do
// not meet another connection that has brought nothing since this one was sent.
func (t *attempt) distrustConn(ctx context.Context) {
	c := t.conn.Load()
	if c != nil && c.reused && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		t.conns.Distrust(&t.Usage, c.at, true)
	}
}

// release ends the use of the connection and the attempt's context.
func (t *attempt) release() {
	t.conns.End(&t.Usage)
	t.cancel()
}

// startWriting reports whether the request may be written.
func (t *attempt) startWriting() bool {
	return t.phase.CompareAndSwap(phasePending, phaseWriting) || t.phase.Load() == phaseWriting
}

// abandon reports whether the request will not be written: a target gets no more
// than its headers, and does not run it.
func (t *attempt) abandon() bool {
	return t.phase.CompareAndSwap(phasePending, phaseAbandoned) || t.phase.Load() == phaseAbandoned
}

// errAbandoned ends the writing of a request whose caller has gone.
var errAbandoned = merry.New("given up before it was written")

// requestBody is the body of a request. net/http writes a request to a connection that
// comes at the very end of its context, so that the body asks whether it may.
type requestBody struct {
	*bytes.Reader
	attempt *attempt
}

// Read is part of io.Reader.
func (b requestBody) Read(p []byte) (int, error) {
	if !b.attempt.startWriting() {
		return 0, errAbandoned
	}
	return b.Reader.Read(p)
}

// Close is part of io.Closer.
func (b requestBody) Close() error {
	return nil
}

// newBody returns a new reader of the request's body. One without any is written
// with its headers, and so counts as written.
func (t *attempt) newBody(b []byte) io.ReadCloser {
	if len(b) == 0 {
		t.startWriting()
		return http.NoBody
	}
	return requestBody{Reader: bytes.NewReader(b), attempt: t}
}

// send sends the request and reads the start of the answer.
func (t *attempt) send(r http.RoundTripper, req *http.Request, id string) {
	defer close(t.done)
	res, err := r.RoundTrip(req)
	if err != nil {
		t.err = &AttemptError{Sent: t.sent(), Cause: err}
		return
	}
	t.reply, err = bufferAnswer(res)
	if err == nil {
		err = checkAnswerID(res, id)
	}
	if err != nil {
		_ = res.Body.Close()
		t.err = &AttemptError{Sent: true, Cause: err}
	}
}

// checkAnswerID returns an error for an answer to another request.
func checkAnswerID(res *http.Response, id string) error {
	if got := res.Header.Get(common.HeaderID); got != "" && got != id {
		return merry.Errorf("answer is for request %s", got)
	}
	return nil
}

// result returns what the attempt came to. What is left of a long answer is cut
// off at the end of the caller's context.
func (t *attempt) result(ctx context.Context) (*Reply, error) {
	if t.err != nil {
		t.release()
		return nil, t.err
	}
	if t.reply.Rest == nil {
		t.release()
		return t.reply, nil
	}
	stop := context.AfterFunc(ctx, t.cancel)
	t.reply.Rest = &restReader{ReadCloser: t.reply.Rest, done: func() { stop(); t.release() }}
	return t.reply, nil
}

// detach lets the attempt run on without its caller. The error says when it is
// over.
func (t *attempt) detach(ctx context.Context) error {
	over := make(chan struct{})
	end := time.AfterFunc(detachedRunTimeout, t.cancel)
	go func() {
		defer close(over)
		<-t.done
		t.discard()
		end.Stop()
		t.release()
	}()
	return &AttemptError{Sent: true, Cause: context.Cause(ctx), Done: over}
}

// discard reads what is left of an answer that nobody waits for.
func (t *attempt) discard() {
	if t.reply == nil || t.reply.Rest == nil {
		return
	}
	_, _ = io.Copy(io.Discard, t.reply.Rest)
	_ = t.reply.Rest.Close()
}

// restReader is what is left of an answer. It ends the attempt when it is closed.
type restReader struct {
	io.ReadCloser
	done func()
}

// Close ends the attempt.
func (r *restReader) Close() error {
	defer r.done()
	return r.ReadCloser.Close()
}
