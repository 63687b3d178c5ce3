package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A pool of a large fleet gave its hosts back within 0.3 s of the end of its turn of the load, and
// had to fetch them again, 1.7 s each, when its next turn began: the jobs of those two seconds
// were late. The settings of three deployments: how many machines, and how many orders to
// machines a second the platform takes.
func TestRetentionGrowsWithTheTurnoverOfTheFleet(t *testing.T) {
	for _, c := range []struct {
		machines int
		orders   float64
		want     time.Duration
	}{
		{48, 64, 0},
		{349, 215, 0},
		{6000, 590, 16939 * time.Millisecond},
		{12000, 834, 25377 * time.Millisecond},
	} {
		got := retentionTime(turnoverTime(c.machines, c.orders))
		require.InDelta(t, c.want.Seconds(), got.Seconds(), 0.01, "%d machines", c.machines)
	}
}

func TestPeakIsKeptForTheRetention(t *testing.T) {
	now := time.Unix(1e9, 0)
	var p peak
	require.Equal(t, 300, p.observe(300, now, 10*time.Second))
	require.Equal(t, 300, p.observe(40, now.Add(9*time.Second), 10*time.Second))
	require.Equal(t, 40, p.observe(40, now.Add(10*time.Second), 10*time.Second))
	require.Equal(t, 50, p.observe(50, now.Add(11*time.Second), 10*time.Second))
	var none peak
	require.Equal(t, 30, none.observe(30, now, 0))
	require.Equal(t, 20, none.observe(20, now, 0), "nothing is kept without a retention")
}
