package soak

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPlanFollowsFromItsSeed(t *testing.T) {
	require.Equal(t, Plan(7, 4, time.Minute), Plan(7, 4, time.Minute))
	require.NotEqual(t, Plan(7, 4, time.Minute), Plan(8, 4, time.Minute))
	seen := map[Kind]bool{}
	for seed := range uint64(20) {
		for _, e := range Plan(seed, 4, time.Minute) {
			seen[e.Kind] = true
			if e.Kind == LinkFault {
				require.NotEqual(t, Sound, e.Trouble)
			}
			require.Less(t, e.Entry, 4)
		}
	}
	require.Len(t, seen, len(weights)+1, "each kind is drawn, and machines are removed")
}

// echo answers each byte, and returns its address.
func echo(t *testing.T) string {
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
					_, _ = c.Write(b)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// ask sends one byte and returns how long its answer took.
func ask(c net.Conn, within time.Duration) (time.Duration, error) {
	begun := time.Now()
	_ = c.SetDeadline(begun.Add(within))
	if _, err := c.Write([]byte("x")); err != nil {
		return 0, err
	}
	_, err := c.Read(make([]byte, 1))
	return time.Since(begun), err
}

func TestLinkDoesWhatItsTroubleSays(t *testing.T) {
	k, err := NewLink(echo(t))
	require.NoError(t, err)
	t.Cleanup(k.Close)
	c, err := net.Dial("tcp", k.Address())
	require.NoError(t, err)
	_, err = ask(c, time.Second)
	require.NoError(t, err)
	k.Set(Slow)
	d, err := ask(c, time.Second)
	require.NoError(t, err)
	require.GreaterOrEqual(t, d, 2*slowBy, "both ways")
	for _, x := range []Trouble{Silent, OneWay} {
		k.Set(x)
		_, err = ask(c, 200*time.Millisecond)
		require.Error(t, err)
		k.Set(Sound)
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, err = c.Read(make([]byte, 1))
		require.NoError(t, err, "what was held back comes after the trouble")
	}
	k.Set(Reset)
	_, err = ask(c, time.Second)
	require.Error(t, err)
}
