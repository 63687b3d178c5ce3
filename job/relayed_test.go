package job

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
)

// TestRelayedJobWithManyStepsTakesFewTimesItsSize guards against bodies at the peers' listener that take hundreds of
// times their size when they are decoded.
func TestRelayedJobWithManyStepsTakesFewTimesItsSize(t *testing.T) {
	const most = 32
	n := newTestNode(t, newStoreFixture(t))
	steps := strings.Repeat("{},", 1<<20/4)
	for name, body := range map[string]string{
		"steps":             `{"w":[` + steps + `{}]}`,
		"steps named twice": `{"w":[` + steps + `{}],"w":[{"n":1}]}`,
		"steps in capitals": `{"W":[` + steps + `{}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			r := httptest.NewRequest(http.MethodPost, "http://h/jobs/"+idA, strings.NewReader(body)).WithContext(ctx)
			w := httptest.NewRecorder()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			n.Peers().ServeHTTP(w, r)
			runtime.ReadMemStats(&after)
			require.Equal(t, http.StatusBadRequest, w.Code)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(most*len(body)))
		})
	}
}

// TestRelayedJobWithoutMemoryForItsRecordIsRefused guards against decoded jobs of other entry hosts that take memory
// uncounted.
func TestRelayedJobWithoutMemoryForItsRecordIsRefused(t *testing.T) {
	n := newTestNode(t, newStoreFixture(t))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	body := fullServerBody{strings.NewReader(`{"q":"quick","w":[{"n":1,"cpu":1000}]}`)}
	w := httptest.NewRecorder()
	n.Peers().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://h/jobs/"+idA, body).WithContext(ctx))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.Equal(t, common.NotRun.String(), w.Header().Get(common.HeaderVerdict))
}

// TestLateBodyOfARelayedJobIsRefused guards against an answer that blames an entry host whose body has not arrived.
func TestLateBodyOfARelayedJobIsRefused(t *testing.T) {
	n := newTestNode(t, newStoreFixture(t))
	b := &lateBody{}
	w := httptest.NewRecorder()
	n.Peers().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://h/jobs/"+idA, b))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.False(t, b.by.IsZero())
}
