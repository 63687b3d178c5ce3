package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// TestWaveThatCannotDrainAMachineSaysWhy guards against waves that stand still without a word to the
// operator.
func TestWaveThatCannotDrainAMachineSaysWhy(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	s := oneTask()
	s.Count, s.Lasting, s.MaxUnavailable = 2, true, 1
	f.submit(idA, "quick", s)
	l := f.starts()
	require.Len(t, l, 2)
	for _, r := range l {
		f.acceptStart(r)
	}
	f.listMachines(machineOf("w1", "blue"))
	f.step(WaveRequested{Wave: platform.Wave{Number: 4, Machines: []string{"host-of-w1"}, TimeLimit: 20 * time.Second, MaxDown: 1}})
	for range 80 {
		f.advance(100 * time.Millisecond)
		if _, ok := f.polls["w1"]; ok {
			f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], 100), runningRow(l[1], 100)}})
		}
	}
	require.Empty(t, f.maintenanceOrders())
	logged := f.logged("wave blocked")
	require.NotEmpty(t, logged)
	require.Contains(t, logged[0].Fields, "host-of-w1")
	require.LessOrEqual(t, len(logged), 4, "one line every two seconds")
	require.Equal(t, 1, f.core.Overview().Waves[0].Blocked)
}
