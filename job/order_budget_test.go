package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// newSpareFixture has machines in the pool "blue", which needs none of them.
func newSpareFixture(t *testing.T, machines int, perSecond float64) *fixture {
	f := newFixture(t)
	f.core = NewCore(100, "entry-1", Size{LinkMbps: 1000, OrdersPerSecond: perSecond}, f.now)
	f.step(ConfigChanged{Config: testConfig()})
	var l []platform.Machine
	for i := range machines {
		id := fmt.Sprintf("w%04d", i)
		f.step(WorkerListed{Worker: testWorker(id)})
		f.answer(id, platform.PollReply{})
		l = append(l, platform.Machine{Name: "host-of-" + id, Pool: "blue", State: platform.MachineUp, Worker: platform.WorkerName(id), Capacity: testWorker(id).Capacity})
	}
	f.step(MachineList{SentAt: f.now, Machines: l})
	return f
}

// All idle machines of a large fleet were ordered into the spare pool at once, again and
// again, as the platform refused most: 4,000 calls a second.
func TestMachineOrdersStayWithinTheirRate(t *testing.T) {
	f := newSpareFixture(t, 300, 40)
	f.pass(3 * time.Second)
	n := len(f.moves())
	require.LessOrEqual(t, n, 40+3*40, "what was saved up, and forty a second")
	require.Greater(t, n, 60)
}

// A refusal holds the next orders back for a moment, as other hosts may have used up what
// is taken.
func TestRefusedOrderPausesOthers(t *testing.T) {
	f := newSpareFixture(t, 300, 40)
	var l []MoveMachine
	for len(l) == 0 {
		f.pass(50 * time.Millisecond)
		l = f.moves()
	}
	f.step(MachineOrderResult{Machine: l[0].Machine, Err: fmt.Errorf("%w: status 429", platform.ErrRefused)})
	require.False(t, f.core.mayOrder())
	f.pass(refusedOrderPause)
	require.True(t, f.core.mayOrder())
}

// Machines that a pool is short of go before those that are only given back.
func TestOrderReserveIsKeptForShortPools(t *testing.T) {
	now := time.Unix(1e9, 0)
	b := newOrderBudget(40, now)
	given := 0
	for b.allows(now, orderReserve) {
		b.spend()
		given++
	}
	require.Equal(t, 20, given)
	for b.allows(now, 0) {
		b.spend()
		given++
	}
	require.Equal(t, 40, given)
	require.True(t, b.allows(now.Add(25*time.Millisecond), 0))
}
