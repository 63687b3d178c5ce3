package admin

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"amberway/common"
)

// TestUnreadRequestOfAnOperatorIsRefusedWithARetryTime guards against an answer that blames the platform or the
// operator for a request that the server could not read.
func TestUnreadRequestOfAnOperatorIsRefusedWithARetryTime(t *testing.T) {
	s := New(common.NopDeps(), ServerOptions{Tokens: []string{"token"}, Metrics: http.NotFoundHandler()})
	for _, broken := range []error{common.ErrOverload, os.ErrDeadlineExceeded} {
		for _, call := range []struct{ method, path string }{
			{http.MethodPut, "/v1/config?base=1"}, {http.MethodPost, "/v1/config/preview"}, {http.MethodPost, "/v1/hosts/a"}, {http.MethodPost, "/v1/waves/a"},
		} {
			r := httptest.NewRequest(call.method, call.path, iotest.ErrReader(broken))
			r.Header.Set("Authorization", "Bearer token")
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			require.Equal(t, http.StatusServiceUnavailable, w.Code, "%s: %v", call.path, broken)
			require.NotEmpty(t, w.Header().Get("Retry-After"))
		}
	}
}
