package request

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSmallRequestsAreServedBesideUnfinishedLargeOnes(t *testing.T) {
	_, l := startLimitedServer(t, readOrRefuse, overloadLimits)
	stop := make(chan struct{})
	var g sync.WaitGroup
	for range 60 {
		g.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				k, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					continue
				}
				_, _ = fmt.Fprintf(k, "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s", overloadBody, strings.Repeat("x", overloadBody-1))
				_ = k.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
				_, _ = io.Copy(io.Discard, k)
				_ = k.Close()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	refused, lost := 0, 0
	const n = 1000
	for range n {
		k, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, _ = io.WriteString(k, "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 5\r\n\r\nsmall")
		switch res, err := http.ReadResponse(bufio.NewReader(k), nil); {
		case err != nil:
			lost++
		case res.StatusCode != http.StatusOK:
			refused++
		}
		_ = k.Close()
	}
	close(stop)
	g.Wait()
	require.Zero(t, lost)
	require.Zero(t, refused)
}
