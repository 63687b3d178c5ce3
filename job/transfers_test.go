package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// TestTransferEndsWhenTheConfigurationDropsItsPool guards against hosts that get no starts any more, as
// they drain for a pool that nobody balances.
func TestTransferEndsWhenTheConfigurationDropsItsPool(t *testing.T) {
	without := func(name string) []platform.Service {
		var l []platform.Service
		for _, s := range testConfig().Services {
			if s.Name != name {
				l = append(l, s)
			}
		}
		return l
	}
	for _, dropped := range []string{"green", "spare"} {
		t.Run(dropped, func(t *testing.T) {
			f := newFixture(t)
			f.join("w1")
			f.submit(idB, "quick", oneTask())
			f.acceptStart(f.starts()[0])
			f.listMachines(machineOf("w1", "blue"))
			m := f.core.machinesByName["host-of-w1"]
			m.transferTo, m.drainingSince = "green", f.now
			f.core.workers["w1"].cordoned = true
			d := testConfig()
			d.Version, d.Services = 2, without(dropped)
			f.step(ConfigChanged{Config: d})
			f.submit(idA, "quick", oneTask())
			f.advance(transferTimeout + time.Second)
			require.Len(t, f.starts(), 1)
			require.Empty(t, m.transferTo)
		})
	}
}

// TestTransferThatEndsWhileARecordIsAwayLeavesNoMark guards against workers that get no starts any more after
// their record has come back, as the transfer of their host ended meanwhile.
func TestTransferThatEndsWhileARecordIsAwayLeavesNoMark(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idB, "quick", oneTask())
	f.acceptStart(f.starts()[0])
	f.listMachines(machineOf("w1", "blue"))
	m := f.core.machinesByName["host-of-w1"]
	m.transferTo, m.drainingSince = "green", f.now
	w := f.core.workers["w1"]
	w.cordoned = true
	f.step(WorkerUnlisted{Name: "w1"})
	d := testConfig()
	d.Version, d.Services = 2, d.Services[:2]
	f.step(ConfigChanged{Config: d})
	f.step(WorkerListed{Worker: testWorker("w1")})
	require.Same(t, w, f.core.workers["w1"])
	require.False(t, w.cordoned)
}
