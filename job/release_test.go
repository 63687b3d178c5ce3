package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// joinPool adds idle hosts to a pool and returns their machines.
func (f *fixture) joinPool(pool string, n int) []platform.Machine {
	var l []platform.Machine
	for i := range n {
		w := testWorker(fmt.Sprint(pool, "-", i))
		w.Service = pool
		f.step(WorkerListed{Worker: w})
		f.answer(string(w.ID), platform.PollReply{})
		l = append(l, machineIn("", string(w.ID), pool))
	}
	return l
}

// The pools of a large fleet gave their idle hosts back one pool after the other, as the platform
// takes only so many orders a second: two had none left, and fetched some 370 again for the first
// jobs, while another still had 875. They take turns.
func TestPoolsGiveHostsBackByTurns(t *testing.T) {
	f := newFixture(t)
	f.core = NewCore(100, "entry-1", Size{LinkMbps: 1000, OrdersPerSecond: 40}, f.now)
	f.step(ConfigChanged{Config: testConfig()})
	l := append(f.joinPool("blue", 60), f.joinPool("green", 60)...)
	f.listMachines(l...)
	f.advance(2 * time.Second)
	given := map[string]int{}
	for _, m := range f.logged("move") {
		given[fmt.Sprint(m.Fields[3])]++
	}
	require.Greater(t, given["blue"], 10)
	require.InDelta(t, given["blue"], given["green"], 1)
}
