package soak

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
)

func TestPlanIsDeterministic(t *testing.T) {
	require.Equal(t, Plan(7, 4, time.Minute), Plan(7, 4, time.Minute))
	require.NotEqual(t, Plan(7, 4, time.Minute), Plan(8, 4, time.Minute))
	seen := map[Kind]bool{}
	for seed := range uint64(20) {
		for _, e := range Plan(seed, 4, time.Minute) {
			seen[e.Kind] = true
			if e.Kind == LinkFault {
				require.NotEqual(t, Healthy, e.LinkState)
			}
			require.Less(t, e.Entry, 4)
		}
	}
	require.Len(t, seen, len(weights)+6, "each weighted kind occurs, and the six kinds that only series have")
}

// echo starts a server that sends each byte back, and returns its address.
func echo(t *testing.T) string {
	return echoTo(t, make(chan byte, 1000))
}

// echoTo is echo, and sends each byte to the channel as well.
func echoTo(t *testing.T, received chan<- byte) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 1)
				for {
					if _, err := c.Read(b); err != nil {
						return
					}
					received <- b[0]
					_, _ = c.Write(b)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// ask sends one byte and returns how long its answer took.
func ask(c net.Conn, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	_ = c.SetDeadline(start.Add(timeout))
	if _, err := c.Write([]byte("x")); err != nil {
		return 0, err
	}
	_, err := c.Read(make([]byte, 1))
	return time.Since(start), err
}

// TestLinkLimitsBandwidth sends 30 kB at 100 kB/s.
func TestLinkLimitsBandwidth(t *testing.T) {
	received := make(chan byte, 30000)
	k, err := NewLink(echoTo(t, received))
	require.NoError(t, err)
	defer k.Close()
	k.SetLimiter(rate.NewLimiter(100e3, 1000))
	c, err := net.Dial("tcp", k.Address())
	require.NoError(t, err)
	defer c.Close()
	start := time.Now()
	for range 30 {
		_, err = c.Write(make([]byte, 1000))
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
	}
	for range 30000 {
		<-received
	}
	require.Greater(t, time.Since(start), 250*time.Millisecond)
}

func TestLinkFollowsItsState(t *testing.T) {
	k, err := NewLink(echo(t))
	require.NoError(t, err)
	t.Cleanup(k.Close)
	c, err := net.Dial("tcp", k.Address())
	require.NoError(t, err)
	_, err = ask(c, time.Second)
	require.NoError(t, err)
	k.SetState(Slow)
	d, err := ask(c, time.Second)
	require.NoError(t, err)
	require.GreaterOrEqual(t, d, 2*slowDelay, "in both directions")
	for _, s := range []LinkState{Blocked, AnswersBlocked} {
		k.SetState(s)
		_, err = ask(c, 200*time.Millisecond)
		require.Error(t, err)
		k.SetState(Healthy)
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, err = c.Read(make([]byte, 1))
		require.NoError(t, err, "bytes that were held back arrive once the link is healthy")
	}
	k.SetState(Reset)
	_, err = ask(c, time.Second)
	require.Error(t, err)
}

func TestSilencedConnectionsStaySilentWhileNewOnesWork(t *testing.T) {
	for name, oneWay := range map[string]bool{"both ways": false, "one way": true} {
		t.Run(name, func(t *testing.T) {
			received := make(chan byte, 10)
			k, err := NewLink(echoTo(t, received))
			require.NoError(t, err)
			t.Cleanup(k.Close)
			c, err := net.Dial("tcp", k.Address())
			require.NoError(t, err)
			_, err = ask(c, time.Second)
			require.NoError(t, err)
			<-received
			k.Silence(oneWay)
			_, err = ask(c, 200*time.Millisecond)
			require.ErrorIs(t, err, os.ErrDeadlineExceeded, "no answer, and no reset")
			require.Len(t, received, map[bool]int{false: 0, true: 1}[oneWay], "requests received")
			_, err = ask(c, 200*time.Millisecond)
			require.ErrorIs(t, err, os.ErrDeadlineExceeded, "for good")
			d, err := net.Dial("tcp", k.Address())
			require.NoError(t, err)
			_, err = ask(d, time.Second)
			require.NoError(t, err, "a new connection")
			require.NoError(t, c.Close())
			require.Eventually(t, func() bool {
				k.mu.Lock()
				defer k.mu.Unlock()
				return oneWay == (len(k.conns) == 1)
			}, time.Second, 5*time.Millisecond, "the server learns of the close only if requests are not lost")
		})
	}
}
