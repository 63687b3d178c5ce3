package request

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"amberway/common"
)

// guardedBody is the body of a request. It records when the request has been read
// completely.
type guardedBody struct {
	io.ReadCloser
	conn *callerConn
}

// Read reads from the body. Its error is common.ErrOverload if the request was given up.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.markComplete()
	}
	if !b.conn.markBodyRead(n) {
		return n, common.ErrOverload
	}
	return n, err
}

// Hold counts n more bytes until the request is answered.
func (b *guardedBody) Hold(n int) error {
	return b.conn.hold(int64(n))
}

// ReadBy has reads fail from the given time on.
func (b *guardedBody) ReadBy(t time.Time) {
	b.conn.readBy(t)
}

// guard returns the request with a body that is guarded, or false if there is no room for
// the request.
func (k *callerConn) guard(r *http.Request) (*http.Request, bool) {
	hasBody := r.Body != nil && r.Body != http.NoBody
	if !k.beginRequest(hasBody) {
		return r, false
	}
	if !hasBody {
		return r, true
	}
	// http.Server looks at the type of the body of its own request.
	guarded := *r
	guarded.Body = &guardedBody{ReadCloser: r.Body, conn: k}
	return &guarded, true
}

// overloadAnswer answers a request whose headers were not read completely.
var overloadAnswer = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", defaultRetryDelay/time.Second)

// lingerTime is how long a connection stays open after its request was given up.
const lingerTime = 500 * time.Millisecond

// refuseTimeout bounds the sending of overloadAnswer.
const refuseTimeout = time.Second

// refuseHeaders answers a request that was given up before its headers were read, as
// http.Server would call a cut line a fault of the caller.
func (k *callerConn) refuseHeaders() {
	k.mu.Lock()
	unanswered := k.phase == phaseHeaders
	k.phase = phaseComplete
	k.mu.Unlock()
	if !unanswered || k.SetWriteDeadline(time.Now().Add(refuseTimeout)) != nil {
		return
	}
	// The connection is closed next, so the result does not matter.
	_, _ = io.WriteString(k.TCPConn, overloadAnswer)
	_ = k.CloseWrite()
}

// refuse answers a request for which there is no room.
func refuse(w http.ResponseWriter, r *http.Request) {
	q := acceptedRequest{hasKey: r.Header.Get(common.HeaderIdempotencyKey) != ""}
	now := time.Now()
	w.Header().Set("Connection", "close")
	q.overloadProblem(now).Write(w, now)
}

// overloadProblem returns the answer to a request for which there is no room.
func (q *acceptedRequest) overloadProblem(now time.Time) *common.ProblemError {
	return q.problem(http.StatusServiceUnavailable, "too many bodies are held", "", now.Add(defaultRetryDelay))
}
