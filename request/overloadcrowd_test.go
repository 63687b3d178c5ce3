package request

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

// Without its answer, a refused caller would come back at once.
func TestRefusedCallerReadsItsAnswer(t *testing.T) {
	answer := make(chan struct{})
	c, l := startLimitedServer(t, func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			refuse(w, r)
			return
		}
		<-answer
		fmt.Fprint(w, len(b))
	}, Limits{Bytes: overloadBody})
	defer close(answer)
	k := dialRaw(t, l)
	require.NoError(t, k.send(strings.Repeat("x", overloadBody)))
	requireHeld(t, c, overloadBody+1)
	for range 50 {
		tr := &http.Transport{DisableKeepAlives: true}
		res, err := (&http.Client{Transport: tr}).Post("http://"+l.Addr().String()+"/", "", strings.NewReader(strings.Repeat("x", overloadBody)))
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
		require.NotEmpty(t, res.Header.Get("Retry-After"))
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}

// The handler may leave a body unread that has arrived.
func TestRequestWithUnneededBodyIsAnsweredAtTheBound(t *testing.T) {
	answer := make(chan struct{})
	c, l := startLimitedServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			<-answer
		}
		fmt.Fprint(w, "done")
	}, crowdedLimits)
	var callers []*rawConn
	for range crowdedLimits.Conns {
		k := dialRaw(t, l)
		_, err := io.WriteString(k, "DELETE / HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n\r\n{}")
		require.NoError(t, err)
		callers = append(callers, k)
	}
	require.Eventually(t, func() bool { return c.Counts().OpenConns == crowdedLimits.Conns }, time.Second, time.Millisecond)
	time.AfterFunc(time.Second, func() { close(answer) })
	go func() { _, _ = io.WriteString(dialRaw(t, l), "GET / HTTP/1.1\r\nHost: entry\r\n\r\n") }()
	lost := 0
	for _, k := range callers {
		if _, err := k.answer("done"); err != nil {
			lost++
		}
	}
	require.Zero(t, lost)
}

// postOnce sends a whole request on a new connection, and returns the status of its answer.
func postOnce(l *CallerListener, body string) (int, error) {
	k, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return 0, err
	}
	defer k.Close()
	_, _ = fmt.Fprintf(k, "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_ = k.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(k), nil)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, nil
}

// Each client sends each request on a new connection, and there are more clients than connections.
func TestWholeRequestsOfManyClientsAreAnsweredAtTheBound(t *testing.T) {
	for _, size := range []int{0, 100, 20000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			_, l := startLimitedServer(t, func(w http.ResponseWriter, r *http.Request) {
				b, _ := io.ReadAll(r.Body)
				time.Sleep(2 * time.Millisecond)
				fmt.Fprint(w, len(b))
			}, crowdedLimits)
			body := strings.Repeat("x", size)
			var lost, refused atomic.Int64
			var g sync.WaitGroup
			ask := func() {
				switch status, err := postOnce(l, body); {
				case err != nil:
					lost.Add(1)
				case status != http.StatusOK:
					refused.Add(1)
				}
			}
			for range 30 {
				g.Go(func() {
					for range 30 {
						ask()
					}
				})
			}
			g.Wait()
			require.Zero(t, lost.Load())
			require.Zero(t, refused.Load())
		})
	}
}
