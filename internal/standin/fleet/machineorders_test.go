package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// moveWith requests a move with the fence, and returns the status, or zero without an
// answer.
func moveWith(t *testing.T, f *Fleet, pool string, fence int) int {
	t.Helper()
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+f.MachinesAddress()+"/machine-move",
		strings.NewReader(fmt.Sprintf(`{"machine":"m-000","pool":%q}`, pool)))
	require.NoError(t, err)
	q.Header.Set("Amberway-Fence-Token", fmt.Sprint(fence))
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	require.NoError(t, r.Body.Close())
	return r.StatusCode
}

// A delayed order with a lower fence than a newer one is rejected. With the same fence it is
// executed and undoes the newer one, which the checker has to report.
func TestDelayedMachineOrderIsFencedOrAViolation(t *testing.T) {
	for name, c := range map[string]struct {
		fence      int
		violations int
		pool       string
	}{"lower": {1, 0, "green"}, "equal": {2, 1, "blue"}} {
		t.Run(name, func(t *testing.T) {
			f := New("spare", time.Millisecond)
			t.Cleanup(f.Close)
			require.NoError(t, f.Add("spare", 1, Capacity{CPU: 1000}))
			f.DelayMachineOrders(func() time.Duration { return 100 * time.Millisecond })
			require.Zero(t, moveWith(t, f, "blue", c.fence), "no answer")
			f.DelayMachineOrders(nil)
			require.Equal(t, http.StatusOK, moveWith(t, f, "green", 2))
			require.Eventually(t, func() bool { return f.DelayedMachineOrders() == 1 }, time.Second, time.Millisecond)
			require.Equal(t, []string{"m-000"}, f.Names(c.pool))
			require.Len(t, f.Checker.Violations(), c.violations)
		})
	}
}

func TestDelayedMachineOrderIsIdempotent(t *testing.T) {
	f := New("spare", time.Millisecond)
	t.Cleanup(f.Close)
	require.NoError(t, f.Add("spare", 1, Capacity{CPU: 1000}))
	f.DelayMachineOrders(func() time.Duration { return 50 * time.Millisecond })
	require.Zero(t, moveWith(t, f, "blue", 1))
	f.DelayMachineOrders(nil)
	require.Equal(t, http.StatusOK, moveWith(t, f, "blue", 1))
	require.Eventually(t, func() bool { return f.DelayedMachineOrders() == 1 }, time.Second, time.Millisecond)
	require.Empty(t, f.Checker.Violations())
	require.Equal(t, 1, f.Moves())
}
