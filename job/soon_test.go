package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A pool has hosts on their way for a step that opens by the time they take tasks,
// and for none that opens later.
func TestPoolWantsHostsForStepsThatAreAboutToOpen(t *testing.T) {
	for _, v := range []struct {
		first time.Duration
		wants bool
	}{{time.Second, true}, {20 * time.Second, false}} {
		f := newFixture(t)
		f.join("w1")
		f.machinesAre(machineOf("w1", "blue"))
		first, wide := oneTask(), oneTask()
		first.Estimate = v.first
		wide.Count = 40
		wide.After = []int{0}
		f.submit(idA, "quick", first, wide)
		f.took(f.starts()[0])
		f.pass(100 * time.Millisecond)
		got := f.core.soon("blue", f.now.Add(moveTakes)).MilliCores
		if v.wants {
			require.EqualValues(t, 40_000, got)
		} else {
			require.EqualValues(t, 1000, got)
		}
		f.pass(4 * arrivalWindow)
		require.Equal(t, v.wants, f.core.wants("blue") > 10, "once the rise of the load is forgotten")
	}
}
