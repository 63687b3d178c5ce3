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
	// HeaderRepeatable carries "false" if a request may not be repeated.
	HeaderRepeatable = "Amberway-Repeatable"
	// HeaderDeadline carries the time, as RFC 3339, after which the caller has no use
	// for the answer.
	HeaderDeadline = "Amberway-Deadline"
	// HeaderRequestID carries the id of the request to the target and back.
	HeaderRequestID = "Amberway-Request-Id"
	// HeaderHop marks a request that another entry host has relayed.
	HeaderHop = "Amberway-Hop"
	// HeaderIdempotencyKey carries the caller's id of a request, as in the IETF draft on
	// idempotency keys.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ProblemError holds problem details (RFC 9457), with the verdict on the request.
type ProblemError struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Verdict Verdict `json:"-"`
	// RetryAt is when to retry; zero if retrying does not help.
	RetryAt time.Time `json:"-"`
}

// Error returns the title and the detail.
func (p *ProblemError) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

// Write writes the problem as the whole answer.
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

// retryAfter returns the value of Retry-After in whole seconds (RFC 9110), at least one.
func retryAfter(at, now time.Time) string {
	s := math.Ceil(at.Sub(now).Seconds())
	return strconv.Itoa(int(max(1, s)))
}
