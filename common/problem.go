package common

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers that amberway reads and writes on the callers' listener.
const (
	// HeaderVerdict carries the Verdict of every answer.
	HeaderVerdict = "Amberway-Verdict"
	// HeaderClass carries the Class a caller asks for.
	HeaderClass = "Amberway-Class"
	// HeaderRepeatable carries "false" where a request may not be repeated.
	HeaderRepeatable = "Amberway-Repeatable"
	// HeaderDeadline carries the point in time, as RFC 3339, after which the
	// caller has no use for the answer.
	HeaderDeadline = "Amberway-Deadline"
	// HeaderRequestID carries the id of the request to the target and back.
	HeaderRequestID = "Amberway-Request-Id"
	// HeaderHop marks a request that another data centre has passed on.
	HeaderHop = "Amberway-Hop"
	// HeaderIdempotencyKey carries the caller's id of a request, by the convention of the
	// IETF draft on idempotency keys.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ProblemError is an RFC 9457 problem with the verdict on the request.
type ProblemError struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Verdict Verdict `json:"-"`
	// RetryAt is when to come back; zero where coming back does not help.
	RetryAt time.Time `json:"-"`
}

// Error returns title and detail.
func (p *ProblemError) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

// Write sends the problem as the whole answer.
func (p *ProblemError) Write(w http.ResponseWriter, now time.Time) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderVerdict, p.Verdict.String())
	if !p.RetryAt.IsZero() {
		h.Set("Retry-After", retryAfter(p.RetryAt, now))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(struct {
		*ProblemError
		Verdict string `json:"verdict"`
	}{p, p.Verdict.String()})
}

// retryAfter returns whole seconds, at least one, as RFC 9110 has it.
func retryAfter(at, now time.Time) string {
	s := math.Ceil(at.Sub(now).Seconds())
	return strconv.Itoa(int(max(1, s)))
}
