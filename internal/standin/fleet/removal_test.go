package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRemovedMachineIsGoneForGood(t *testing.T) {
	for name, hangs := range map[string]bool{"refuses": false, "hangs": true} {
		t.Run(name, func(t *testing.T) {
			f := New("spare", time.Second)
			t.Cleanup(f.Close)
			require.NoError(t, f.Add("blue", 2, Capacity{CPU: 1000}))
			w := f.machines[0].worker
			open, err := net.Dial("tcp", w.address())
			require.NoError(t, err)
			t.Cleanup(func() { _ = open.Close() })
			require.NoError(t, f.Remove(w.id, Removal{Drain: 20 * time.Millisecond, Hangs: hangs}))
			require.Error(t, f.Remove(w.id, Removal{}))
			_, ok := f.Store.Value("servers/" + w.id)
			require.False(t, ok)
			require.Equal(t, []string{"m-001"}, f.Names(""))
			require.NoError(t, f.Add("blue", 1, Capacity{CPU: 1000}))
			require.Equal(t, []string{"m-001", "m-002"}, f.Names(""), "names are not used again")

			_, err = net.DialTimeout("tcp", w.address(), 200*time.Millisecond)
			require.Error(t, err)
			require.Equal(t, hangs, isTimeout(err), err)
			_, _ = open.Write([]byte("POST /hold HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"))
			_ = open.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			_, err = open.Read(make([]byte, 1))
			require.Equal(t, hangs, isTimeout(err), err)
		})
	}
}

func TestMachineDrainsBeforeItsRemoval(t *testing.T) {
	f := New("spare", time.Second)
	t.Cleanup(f.Close)
	require.NoError(t, f.Add("blue", 1, Capacity{CPU: 1000}))
	w := f.machines[0].worker
	done := make(chan error, 1)
	go func() { done <- f.Remove(w.id, Removal{Drain: 300 * time.Millisecond}) }()
	require.Eventually(t, func() bool {
		v, _ := f.Store.Value("servers/" + w.id)
		return string(v) != "" && !f.HasRoom("blue", 9)
	}, time.Second, 5*time.Millisecond)
	v, _ := f.Store.Value("servers/" + w.id)
	require.Contains(t, string(v), `"draining"`)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+w.address()+"/run-stop", http.NoBody)
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err, "it still serves while draining")
	_ = res.Body.Close()
	require.NoError(t, <-done)
}

func TestLeaseExpiresWithoutCalls(t *testing.T) {
	s := NewStore()
	t.Cleanup(s.Close)
	s.mu.Lock()
	s.leases[1] = lease{ttl: time.Second, expires: time.Now().Add(100 * time.Millisecond)}
	s.put("k", nil, 1)
	s.mu.Unlock()
	require.Eventually(t, func() bool { _, ok := s.Value("k"); return !ok }, time.Second, 5*time.Millisecond)
}

// startTask orders a worker to start a task.
func startTask(c *http.Client, w *worker, task string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.address()+"/run-start", strings.NewReader(`{"task":"`+task+`","run":1,"spec":"lasts","until_ms":60000}`))
	if err != nil {
		return err
	}
	res, err := c.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return err
}

func TestSilencedWorkerConnectionsStaySilentWhileNewOnesWork(t *testing.T) {
	for name, oneWay := range map[string]bool{"both ways": false, "one way": true} {
		t.Run(name, func(t *testing.T) {
			f := New("spare", time.Second)
			t.Cleanup(f.Close)
			require.NoError(t, f.Add("blue", 1, Capacity{CPU: 1000}))
			w := f.machines[0].worker
			silenced, fresh := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
			require.NoError(t, startTask(silenced, w, "a.0.0.0", time.Second))
			f.SilenceConnections(oneWay)
			require.ErrorIs(t, startTask(silenced, w, "a.0.0.1", 200*time.Millisecond), context.DeadlineExceeded)
			require.Equal(t, oneWay, f.Checker.IsRunning("a.0.0.1"), "requests are executed if only answers are lost")
			require.NoError(t, startTask(fresh, w, "a.0.0.2", time.Second), "a new connection")
		})
	}
}
