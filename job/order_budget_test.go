package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// newSpareFixture returns a fixture with machines in the pool "blue", which needs none of them.
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

// Without the rate limit all idle machines of a large fleet would be ordered to the spare pool at
// once, and again as the platform refuses most of the orders: 4,000 calls per second.
func TestMachineOrdersStayWithinTheirRate(t *testing.T) {
	f := newSpareFixture(t, 300, 40)
	f.advance(3 * time.Second)
	n := len(f.moves())
	require.LessOrEqual(t, n, 40+3*40, "a burst, and forty per second")
	require.Greater(t, n, 60)
}

// A refusal holds back the next orders for a moment, as other entry hosts may have used up the
// platform's limit.
func TestRefusedOrderPausesOthers(t *testing.T) {
	f := newSpareFixture(t, 300, 40)
	var l []MoveMachine
	for len(l) == 0 {
		f.advance(50 * time.Millisecond)
		l = f.moves()
	}
	f.step(MachineOrderResult{Machine: l[0].Machine, Err: fmt.Errorf("%w: status 429", platform.ErrRefused)})
	require.False(t, f.core.mayOrder())
	f.advance(refusedOrderPause)
	require.True(t, f.core.mayOrder())
}

// Orders that bring machines to pools that lack them have precedence over those that release
// machines.
func TestOrderReserveIsKeptForShortPools(t *testing.T) {
	now := time.Unix(1e9, 0)
	b := newOrderBudget(40, now)
	sent := 0
	for b.allows(now, orderReserve) {
		b.spend()
		sent++
	}
	require.Equal(t, 20, sent)
	for b.allows(now, 0) {
		b.spend()
		sent++
	}
	require.Equal(t, 40, sent)
	require.True(t, b.allows(now.Add(25*time.Millisecond), 0))
}
