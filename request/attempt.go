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
	// on tells of the connection, nil before there is one.
	on atomic.Pointer[connected]
	// phase settles once whether the request is written or given up.
	phase atomic.Int32
	// over closes once reply or err is there.
	over  chan struct{}
	reply *Reply
	err   error
}

// connected is how a request got its connection.
type connected struct {
	at time.Time
	// kept says that the connection has served earlier requests.
	kept bool
}

func newAttempt(o *common.Connections, cancel context.CancelFunc) *attempt {
	return &attempt{conns: o, cancel: cancel, over: make(chan struct{})}
}

// Phases of an attempt.
const (
	phaseWaiting int32 = iota
	phaseWriting
	phaseGivenUp
)

// trace notes when the request has a connection.
func (t *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		t.conns.Begin(&t.Usage, i.Conn, nil)
		t.on.Store(&connected{at: time.Now(), kept: i.Reused})
	}}
}

// sent reports whether the target may have got some of the request.
func (t *attempt) sent() bool {
	return t.on.Load() != nil
}

// doubt notes that the caller's time has ended without an answer. Only that tells
// silence from work; the request is not sent a second time for it, but those after it do
// not meet another connection that has brought nothing since this one was sent.
func (t *attempt) doubt(ctx context.Context) {
	c := t.on.Load()
	if c != nil && c.kept && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		t.conns.Distrust(&t.Usage, c.at, true)
	}
}

// release ends the use of the connection and the attempt's context.
func (t *attempt) release() {
	t.conns.End(&t.Usage)
	t.cancel()
}

// write reports whether the request may be written.
func (t *attempt) write() bool {
	return t.phase.CompareAndSwap(phaseWaiting, phaseWriting) || t.phase.Load() == phaseWriting
}

// giveUp reports whether the request will not be written: a target gets no more
// than its headers, and does not run it.
func (t *attempt) giveUp() bool {
	return t.phase.CompareAndSwap(phaseWaiting, phaseGivenUp) || t.phase.Load() == phaseGivenUp
}

// errGivenUp ends the writing of a request whose caller has gone.
var errGivenUp = merry.New("given up before it was written")

// body is the body of a request. net/http writes a request to a connection that
// comes at the very end of its context, so that the body asks whether it may.
type body struct {
	*bytes.Reader
	attempt *attempt
}

// Read is part of io.Reader.
func (b body) Read(p []byte) (int, error) {
	if !b.attempt.write() {
		return 0, errGivenUp
	}
	return b.Reader.Read(p)
}

// Close is part of io.Closer.
func (b body) Close() error {
	return nil
}

// bodyOf returns a new reader of the request's body. One without any is written
// with its headers, and so counts as written.
func (t *attempt) bodyOf(b []byte) io.ReadCloser {
	if len(b) == 0 {
		t.write()
		return http.NoBody
	}
	return body{Reader: bytes.NewReader(b), attempt: t}
}

// run sends the request and reads the start of the answer.
func (t *attempt) run(r http.RoundTripper, req *http.Request, id string) {
	defer close(t.over)
	res, err := r.RoundTrip(req)
	if err != nil {
		t.err = &AttemptError{Sent: t.sent(), Cause: err}
		return
	}
	t.reply, err = readHead(res)
	if err == nil {
		err = crossed(res, id)
	}
	if err != nil {
		_ = res.Body.Close()
		t.err = &AttemptError{Sent: true, Cause: err}
	}
}

// crossed returns an error for an answer to another request.
func crossed(res *http.Response, id string) error {
	if got := res.Header.Get(common.HeaderID); got != "" && got != id {
		return merry.Errorf("answer is for request %s", got)
	}
	return nil
}

// outcome returns what the attempt came to. What is left of a long answer is cut
// off at the end of the caller's context.
func (t *attempt) outcome(ctx context.Context) (*Reply, error) {
	if t.err != nil {
		t.release()
		return nil, t.err
	}
	if t.reply.Rest == nil {
		t.release()
		return t.reply, nil
	}
	stop := context.AfterFunc(ctx, t.cancel)
	t.reply.Rest = &rest{ReadCloser: t.reply.Rest, done: func() { stop(); t.release() }}
	return t.reply, nil
}

// leave lets the attempt run on without its caller. The error says when it is
// over.
func (t *attempt) leave(ctx context.Context) error {
	over := make(chan struct{})
	end := time.AfterFunc(runOut, t.cancel)
	go func() {
		defer close(over)
		<-t.over
		t.discard()
		end.Stop()
		t.release()
	}()
	return &AttemptError{Sent: true, Cause: context.Cause(ctx), Over: over}
}

// discard reads what is left of an answer that nobody waits for.
func (t *attempt) discard() {
	if t.reply == nil || t.reply.Rest == nil {
		return
	}
	_, _ = io.Copy(io.Discard, t.reply.Rest)
	_ = t.reply.Rest.Close()
}

// rest is what is left of an answer. It ends the attempt when it is closed.
type rest struct {
	io.ReadCloser
	done func()
}

// Close ends the attempt.
func (r *rest) Close() error {
	defer r.done()
	return r.ReadCloser.Close()
}
