package job

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// fullServerBody is the body of a request at a server without memory for decoded jobs.
type fullServerBody struct {
	io.Reader
}

func (fullServerBody) Close() error   { return nil }
func (fullServerBody) Hold(int) error { return common.ErrOverload }

// brokenOffBody is the rest of the body of a request that was given up.
type brokenOffBody struct{}

func (brokenOffBody) Read([]byte) (int, error) { return 0, common.ErrOverload }

// TestJobWithoutMemoryForItIsRefused guards against an answer that calls a request of a legal
// size wrong when the host has no memory for it.
func TestJobWithoutMemoryForItIsRefused(t *testing.T) {
	n := newTestNode(t, newStoreFixture(t))
	n.routes.Store(newRoutes(testConfig()))
	n.configCurrentAt.Set(n.now())
	for name, body := range map[string]io.Reader{
		"body is given up":      io.MultiReader(strings.NewReader(`{"spec":"`), brokenOffBody{}),
		"no memory for the job": strings.NewReader(`{"spec":"s","steps":[{"count":1}]}`),
	} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			n.Callers().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://h/q/"+idA, fullServerBody{body}))
			require.Equal(t, http.StatusServiceUnavailable, w.Code, w.Body)
			require.NotEmpty(t, w.Header().Get("Retry-After"))
			require.Equal(t, "not-run", w.Header().Get(common.HeaderVerdict))
		})
	}
}

// lateBody is the rest of a body that does not arrive before the deadline for it.
type lateBody struct {
	by time.Time
}

func (b *lateBody) Read([]byte) (int, error) {
	if b.by.IsZero() {
		return 0, io.ErrUnexpectedEOF
	}
	return 0, os.ErrDeadlineExceeded
}

func (b *lateBody) Close() error       { return nil }
func (b *lateBody) ReadBy(t time.Time) { b.by = t }

// TestLateBodyIsRefusedAtTheDeadlineOfItsCaller guards against a caller that hears nothing in time
// because its body has not arrived.
func TestLateBodyIsRefusedAtTheDeadlineOfItsCaller(t *testing.T) {
	n := newTestNode(t, newStoreFixture(t))
	n.routes.Store(newRoutes(testConfig()))
	n.configCurrentAt.Set(n.now())
	b := &lateBody{}
	r := httptest.NewRequest(http.MethodPost, "http://h/q/"+idA, b)
	r.Header.Set(platform.HeaderDeadline, "1000")
	w := httptest.NewRecorder()
	n.Callers().ServeHTTP(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code, w.Body)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.WithinDuration(t, n.now(), b.by, time.Second)
}

// TestUnreadBodyOfACancelEndsAtTheDeadlineOfItsCaller guards against an answer that waits for a body
// that nobody reads.
func TestUnreadBodyOfACancelEndsAtTheDeadlineOfItsCaller(t *testing.T) {
	n := newTestNode(t, newStoreFixture(t))
	n.routes.Store(newRoutes(testConfig()))
	n.configCurrentAt.Set(n.now())
	b := &lateBody{}
	r := httptest.NewRequest(http.MethodDelete, "http://h/q/"+idA, b)
	r.Header.Set(platform.HeaderDeadline, "1000")
	n.Callers().ServeHTTP(httptest.NewRecorder(), r)
	require.WithinDuration(t, n.now(), b.by, time.Second)
}

// TestRelayedJobWithoutMemoryForItIsRefusedWithARetryTime guards against a refusal that does not
// say when to come back.
func TestRelayedJobWithoutMemoryForItIsRefusedWithARetryTime(t *testing.T) {
	n := newTestNode(t, newStoreFixture(t))
	w := httptest.NewRecorder()
	n.Peers().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://h/jobs/"+idA, fullServerBody{brokenOffBody{}}))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
}
