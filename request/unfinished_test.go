package request

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnfinishedChunkedBodiesLeaveRoomForOthers guards against bodies that count with what they may
// send instead of what they have sent.
func TestUnfinishedChunkedBodiesLeaveRoomForOthers(t *testing.T) {
	s := oneSlot(t, &slowTarget{})
	_, l := startLimitedServer(t, s.ServeHTTP, Limits{Bytes: MaxBody})
	for range 32 {
		_, err := fmt.Fprint(dialRaw(t, l), "POST /s/job HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		require.NoError(t, err)
	}
	k := dialRaw(t, l)
	_, err := fmt.Fprint(k, "POST /s/job HTTP/1.1\r\nHost: entry\r\nContent-Length: 4\r\n\r\nbody")
	require.NoError(t, err)
	res, err := http.ReadResponse(k.answers, nil)
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, http.StatusOK, res.StatusCode)
}
