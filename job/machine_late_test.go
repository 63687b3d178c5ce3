package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// fencedMachine carries out moves as the platform does where it checks fences: it refuses
// an order with a lower fence than it has seen.
type fencedMachine struct {
	pool  string
	fence platform.Fence
}

func (m *fencedMachine) move(o MoveMachine) platform.MachineVerdict {
	if o.Holder.Fence < m.fence {
		return platform.OrderFence
	}
	m.fence, m.pool = o.Holder.Fence, o.Pool
	return platform.OrderTaken
}

// lastMove returns the newest move that was sent.
func (f *fixture) lastMove() MoveMachine {
	f.t.Helper()
	l := f.moves()
	require.NotEmpty(f.t, l)
	return l[len(l)-1]
}

// TestLateMoveDoesNotUndoALaterOne tells how a host was moved back with all that ran there.
// A move was not answered. It was repeated and done, and seconds later, as the load turned,
// the host was moved on. Then the platform carried out the first call after all: both moves
// had the owner's fence, so nothing told the old one from the new one, and the host's runs
// died, lasting ones as well, without any stop that asks how many are away. Seen by reading
// only: an owner that sends the same fence with each of its orders fails here.
func TestLateMoveDoesNotUndoALaterOne(t *testing.T) {
	f := newFixture(t)
	host := machineOf("s1", "spare")
	host.Worker = ""
	m := fencedMachine{pool: host.Pool}
	f.listMachines(host)
	f.core.orderMove(f.core.machinesByName[host.Name], "blue", &demand{})
	f.pass(tickEvery)
	stuck := f.lastMove()
	f.step(MachineOrderResult{Machine: host.Name, Err: common.ErrUnknown})
	f.pass(orderRetry + tickEvery)
	require.Len(t, f.moves(), 2, "an unanswered move is repeated")
	require.Equal(t, stuck, f.lastMove(), "as the same order")
	f.step(MachineOrderResult{Machine: host.Name, Verdict: m.move(f.lastMove())})
	f.pass(time.Second)
	f.listMachines(machineOf("s1", "blue"))

	f.core.orderMove(f.core.machinesByName[host.Name], "green", &demand{})
	f.pass(tickEvery)
	require.Equal(t, platform.OrderTaken, m.move(f.lastMove()))
	require.Equal(t, platform.OrderFence, m.move(stuck))
	require.Equal(t, "green", m.pool)
}

// TestFencesOfNextOwnerExceedThoseOfPrevious shows that the fences of an owner's orders stay
// below those of the next one, whose claim is written after them.
func TestFencesOfNextOwnerExceedThoseOfPrevious(t *testing.T) {
	f := newFixture(t)
	host := machineOf("s1", "spare")
	host.Worker = ""
	f.listMachines(host)
	f.core.orderMove(f.core.machinesByName[host.Name], "blue", &demand{})
	f.pass(tickEvery)
	last := f.lastMove().Holder.Fence
	require.Equal(t, platform.Fence(f.revision), last)

	next := newOwnerFixture(t, platform.Fence(f.revision+1))
	next.listMachines(host)
	next.core.orderMove(next.core.machinesByName[host.Name], "blue", &demand{})
	next.pass(tickEvery)
	require.Greater(t, next.lastMove().Holder.Fence, last)
}
