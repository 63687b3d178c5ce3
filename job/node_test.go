package job

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
)

func newTestNode(t *testing.T, s storeFixture) *Node {
	n, err := NewNode(Settings{Name: "entry", Size: Size{Cores: 1}}, Clients{KV: s.kv}, nil, common.NopDeps(), http.NotFoundHandler())
	require.NoError(t, err)
	return n
}

func TestLoadingOwnerReportsNoCount(t *testing.T) {
	s := newStoreFixture(t)
	n := newTestNode(t, s)
	n.owner = s.claim(t, "entry")
	_, owns := n.localWaiting("quick")
	require.False(t, owns)
	_, _, owns = n.localState(idA)
	require.False(t, owns)
	n.owner.core.Step(time.Now(), Batch{Inherited{Config: testConfig()}, loadDone{n.owner}})
	_, owns = n.localWaiting("quick")
	require.True(t, owns)
}

func TestRequestsWithoutConfigurationGetRetryAfter(t *testing.T) {
	n := newTestNode(t, newStoreFixture(t))
	w := httptest.NewRecorder()
	n.Callers().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://h/q/"+idA, nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	require.Equal(t, "not-run", w.Header().Get(common.HeaderVerdict))
	require.False(t, n.Ready())
}

// A caller's deadline of 10 ms leaves too little time to write the job.
func TestCallerWithTooLittleTimeIsRefusedAtOnce(t *testing.T) {
	n := newTestNode(t, newStoreFixture(t))
	n.routes.Store(newRoutes(testConfig()))
	r := httptest.NewRequest(http.MethodPost, "http://h/q/"+idA, nil)
	r.Header.Set("Amberway-Deadline", "10")
	w := httptest.NewRecorder()
	n.Callers().ServeHTTP(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
}
