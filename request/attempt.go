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

// attempt is one try to run a request on one target, with its use of a connection. It has
// its own context, so that it can outlast its caller.
type attempt struct {
	common.InFlightCall
	conns  *common.Connections
	cancel context.CancelFunc
	// conn describes the connection; nil until there is one.
	conn atomic.Pointer[connInfo]
	// phase says whether the body is being sent or the attempt was abandoned. Whichever
	// comes first excludes the other.
	phase atomic.Int32
	// done is closed once reply or err is set.
	done  chan struct{}
	reply *Reply
	err   error
}

// connInfo says when a request got its connection and whether the connection was reused.
type connInfo struct {
	at time.Time
	// reused says that the connection has carried earlier requests.
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

// trace records when the request gets a connection.
func (t *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		t.conns.Begin(&t.InFlightCall, i.Conn, nil)
		t.conn.Store(&connInfo{at: time.Now(), reused: i.Reused})
	}}
}

// sent reports whether the target may have received any of the request.
func (t *attempt) sent() bool {
	return t.conn.Load() != nil
}

// distrustConn closes the target's idle connections that have received nothing since this
// request was sent, if the request was sent on a reused connection and its deadline has
// passed without an answer. Nothing but the deadline distinguishes a silent connection
// from a long run. The request is not sent again, but later ones do not use another
// silent connection.
func (t *attempt) distrustConn(ctx context.Context) {
	c := t.conn.Load()
	if c != nil && c.reused && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		t.conns.Distrust(&t.InFlightCall, c.at, true)
	}
}

// release ends the use of the connection and cancels the attempt's context.
func (t *attempt) release() {
	t.conns.End(&t.InFlightCall)
	t.cancel()
}

// startWriting reports whether the request may be written.
func (t *attempt) startWriting() bool {
	return t.phase.CompareAndSwap(phasePending, phaseWriting) || t.phase.Load() == phaseWriting
}

// abandon reports whether the request will not be written: the target gets its headers at
// most, and does not run it.
func (t *attempt) abandon() bool {
	return t.phase.CompareAndSwap(phasePending, phaseAbandoned) || t.phase.Load() == phaseAbandoned
}

// errAbandoned ends the writing of a request whose attempt was abandoned.
var errAbandoned = merry.New("given up before it was written")

// requestBody is the body of a request. net/http still writes a request if its connection
// is established just as its context ends, so the body checks whether it may be sent.
type requestBody struct {
	*bytes.Reader
	attempt *attempt
}

// Read implements io.Reader.
func (b requestBody) Read(p []byte) (int, error) {
	if !b.attempt.startWriting() {
		return 0, errAbandoned
	}
	return b.Reader.Read(p)
}

// Close implements io.Closer.
func (b requestBody) Close() error {
	return nil
}

// newBody returns a new reader of the request's body. A request without a body is written
// with its headers, and so counts as written from the start.
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

// checkAnswerID returns an error if the answer belongs to another request.
func checkAnswerID(res *http.Response, id string) error {
	if got := res.Header.Get(common.HeaderRequestID); got != "" && got != id {
		return merry.Errorf("answer is for request %s", got)
	}
	return nil
}

// result returns the attempt's reply or error. A long answer that is still being read is
// cut off when the caller's context ends.
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

// detach lets the attempt go on without its caller. The Done channel of the returned
// error is closed once the attempt has ended.
func (t *attempt) detach(ctx context.Context) error {
	ended := make(chan struct{})
	timeout := time.AfterFunc(detachedRunTimeout, t.cancel)
	go func() {
		defer close(ended)
		<-t.done
		t.discard()
		timeout.Stop()
		t.release()
	}()
	return &AttemptError{Sent: true, Cause: context.Cause(ctx), Done: ended}
}

// discard reads the remainder of an answer that nobody waits for.
func (t *attempt) discard() {
	if t.reply == nil || t.reply.Rest == nil {
		return
	}
	_, _ = io.Copy(io.Discard, t.reply.Rest)
	_ = t.reply.Rest.Close()
}

// restReader is the remainder of an answer. Closing it ends the attempt.
type restReader struct {
	io.ReadCloser
	done func()
}

// Close ends the attempt.
func (r *restReader) Close() error {
	defer r.done()
	return r.ReadCloser.Close()
}
