package request

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"amberway/common"
	"amberway/config"
)

// MaxBody is the largest body of a request, in bytes.
const MaxBody = 8 << 20

// acceptedRequest is a caller's request, with what is known so far of its claim and its
// attempts.
type acceptedRequest struct {
	service    config.Service
	job        config.Job
	class      common.Class
	atMostOnce bool
	id         uuid.UUID
	deadline   time.Time
	call       Call
	// issued is set if only the process that issued the id may run the request.
	issued *IssuedID
	// hasKey says that the caller chose the id, so that there may be copies of the
	// request.
	hasKey bool
	// relayed says that another entry host relayed the request.
	relayed bool
	// claimed says that this process, and no other, may run the request.
	claimed bool
	// sent says that a target may have received some of the request.
	sent bool
}

// refusalVerdict returns the verdict of an answer that refuses the request or gives it
// up. It is NotRun only if nothing was sent to a target and no copy of the request can
// run: either the caller chose no id for it, or this process has claimed it.
func (q *acceptedRequest) refusalVerdict() common.Verdict {
	if q.sent || (q.hasKey && !q.claimed) {
		return common.MayHaveRun
	}
	return common.NotRun
}

// problem returns a problem with the verdict that fits the request's state.
func (q *acceptedRequest) problem(status int, title, detail string, retryAt time.Time) *common.ProblemError {
	return &common.ProblemError{
		Type: "about:blank", Title: title, Status: status, Detail: detail, Verdict: q.refusalVerdict(), RetryAt: retryAt,
	}
}

// accept reads a request and checks it against the configuration.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*acceptedRequest, *common.ProblemError) {
	q := &acceptedRequest{hasKey: r.Header.Get(common.HeaderIdempotencyKey) != ""}
	for _, f := range []func(*http.Request, *acceptedRequest) *common.ProblemError{
		s.acceptHop, s.acceptJob, s.acceptClass, s.acceptID, s.acceptDeadline,
	} {
		if p := f(r, q); p != nil {
			return nil, p
		}
	}
	b, p := s.readBody(w, r, q)
	if p != nil {
		return nil, p
	}
	q.call = Call{ID: q.id.String(), AtMostOnce: q.atMostOnce, Method: r.Method, Path: r.URL.RequestURI(), Header: targetHeader(r), Body: b}
	return q, nil
}

// targetHeader returns the headers that are sent to the target.
func targetHeader(r *http.Request) http.Header {
	h := http.Header{}
	copyHeader(h, r.Header)
	for _, k := range []string{common.HeaderHop, common.HeaderIdempotencyKey, common.HeaderRequestID, "Content-Length"} {
		h.Del(k)
	}
	return h
}

func (s *Server) acceptHop(r *http.Request, q *acceptedRequest) *common.ProblemError {
	v := r.Header.Get(common.HeaderHop)
	if v == "" {
		return nil
	}
	if !s.isHopToken(v) {
		return q.problem(http.StatusForbidden, "wrong hop token", "", time.Time{})
	}
	q.relayed = true
	return nil
}

// acceptJob finds the service and the job, the first two parts of the path.
func (s *Server) acceptJob(r *http.Request, q *acceptedRequest) *common.ProblemError {
	p := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(p) < 2 {
		return q.problem(http.StatusNotFound, "no such job", "the path begins with /{service}/{job}", time.Time{})
	}
	d := s.Config().Document
	v, ok := d.Service(p[0])
	if !ok {
		return q.problem(http.StatusNotFound, "no such service", fmt.Sprintf("there is no service %q", p[0]), time.Time{})
	}
	j, ok := v.Job(p[1])
	if !ok {
		return q.problem(http.StatusNotFound, "no such job", fmt.Sprintf("service %q has no job %q", p[0], p[1]), time.Time{})
	}
	q.service = v
	q.job = j
	return nil
}

func (s *Server) acceptClass(r *http.Request, q *acceptedRequest) *common.ProblemError {
	q.class = q.job.Class
	v := r.Header.Get(common.HeaderClass)
	if v == "" {
		return nil
	}
	c, err := common.ParseClass(v)
	if err != nil {
		return q.problem(http.StatusBadRequest, "bad "+common.HeaderClass, err.Error(), time.Time{})
	}
	q.class = effectiveClass(q.job.Class, c)
	return nil
}

// acceptID determines the id and whether the request may run more than once. A caller may
// forbid the repetition of a request whose job is repeatable, but cannot allow it for
// another job.
func (s *Server) acceptID(r *http.Request, q *acceptedRequest) *common.ProblemError {
	q.atMostOnce = !q.job.Repeatable
	switch v := r.Header.Get(common.HeaderRepeatable); v {
	case "", "true":
	case "false":
		q.atMostOnce = true
	default:
		return q.problem(http.StatusBadRequest, "bad "+common.HeaderRepeatable, fmt.Sprintf("%q is neither true nor false", v), time.Time{})
	}
	if !q.atMostOnce && !q.hasKey {
		q.id = s.newID(r, q)
		return nil
	}
	key := strings.Trim(r.Header.Get(common.HeaderIdempotencyKey), `"`)
	if v, ok := ParseIssued(key); ok && q.atMostOnce {
		q.issued = &v
		q.id = v.ID
		return nil
	}
	id, err := uuid.Parse(key)
	if q.atMostOnce && (err != nil || id.Version() != 7) {
		return q.problem(http.StatusBadRequest, "bad "+common.HeaderIdempotencyKey,
			"a request that may not be repeated needs an issued id or a UUID of version 7 (RFC 9562)", time.Time{})
	}
	if err != nil {
		id = uuid.Must(uuid.NewV7())
	}
	q.id = id
	return nil
}

// newID returns the id that the relaying entry host gave the request, or a new one.
func (s *Server) newID(r *http.Request, q *acceptedRequest) uuid.UUID {
	if id, err := uuid.Parse(r.Header.Get(common.HeaderRequestID)); q.relayed && err == nil {
		return id
	}
	return uuid.Must(uuid.NewV7())
}

// acceptDeadline sets the deadline: the one that the caller names, or else the job's
// timeout from now, and config.MaxTimeout from now at most.
func (s *Server) acceptDeadline(r *http.Request, q *acceptedRequest) *common.ProblemError {
	now := s.deps.Now()
	q.deadline = now.Add(q.job.Timeout)
	if v := r.Header.Get(common.HeaderDeadline); v != "" {
		d, err := time.Parse(time.RFC3339Nano, v)
		if err != nil {
			return q.problem(http.StatusBadRequest, "bad "+common.HeaderDeadline, "it is no point in time of RFC 3339", time.Time{})
		}
		q.deadline = d
	}
	if latest := now.Add(config.MaxTimeout); q.deadline.After(latest) {
		q.deadline = latest
	}
	if !q.deadline.After(now) {
		return q.problem(http.StatusGatewayTimeout, "the deadline has passed", "", time.Time{})
	}
	return nil
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request, q *acceptedRequest) ([]byte, *common.ProblemError) {
	if l, ok := r.Body.(common.DeadlineReader); ok {
		l.ReadBy(q.deadline)
	}
	b, err := common.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, q.problem(http.StatusRequestEntityTooLarge, "the body is too large", fmt.Sprintf("at most %d bytes", MaxBody), time.Time{})
	}
	if errors.Is(err, common.ErrOverload) {
		return nil, q.overloadProblem(s.deps.Now())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, q.problem(http.StatusServiceUnavailable, "the body did not arrive in time", "", s.deps.Now().Add(defaultRetryDelay))
	}
	if err != nil {
		return nil, q.problem(http.StatusBadRequest, "the body broke off", "", time.Time{})
	}
	return b, nil
}
