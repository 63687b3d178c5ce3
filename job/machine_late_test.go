package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// fencedMachine is a machine of a platform that checks fences: it refuses an order with a lower
// fence than it has seen.
type fencedMachine struct {
	pool  string
	fence platform.Fence
}

func (m *fencedMachine) move(o MoveMachine) platform.MachineVerdict {
	if o.Holder.Fence < m.fence {
		return platform.OrderFenced
	}
	m.fence, m.pool = o.Holder.Fence, o.Pool
	return platform.OrderAccepted
}

// lastMove returns the newest move that was sent.
func (f *fixture) lastMove() MoveMachine {
	f.t.Helper()
	l := f.moves()
	require.NotEmpty(f.t, l)
	return l[len(l)-1]
}

// TestLateMoveDoesNotUndoALaterOne guards against an unanswered move that the platform carries out
// late. The move is repeated with success, and seconds later the host is moved on as the load
// shifts. If all orders of an owner had the same fence, the platform could not tell the first call
// from a newer one. It would move the host back, and end its runs, also lasting ones, without a
// check of how many are unavailable.
func TestLateMoveDoesNotUndoALaterOne(t *testing.T) {
	f := newFixture(t)
	host := machineOf("s1", "spare")
	host.Worker = ""
	m := fencedMachine{pool: host.Pool}
	f.listMachines(host)
	f.core.orderMove(f.core.machinesByName[host.Name], "blue", &demand{})
	f.advance(tickEvery)
	delayed := f.lastMove()
	f.step(MachineOrderResult{Machine: host.Name, Err: common.ErrUnknownOutcome})
	f.advance(orderRetry + tickEvery)
	require.Len(t, f.moves(), 2, "an unanswered move is repeated")
	require.Equal(t, delayed, f.lastMove(), "as the same order")
	f.step(MachineOrderResult{Machine: host.Name, Verdict: m.move(f.lastMove())})
	f.advance(time.Second)
	f.listMachines(machineOf("s1", "blue"))

	f.core.orderMove(f.core.machinesByName[host.Name], "green", &demand{})
	f.advance(tickEvery)
	require.Equal(t, platform.OrderAccepted, m.move(f.lastMove()))
	require.Equal(t, platform.OrderFenced, m.move(delayed))
	require.Equal(t, "green", m.pool)
}

// TestFencesOfNextOwnerExceedThoseOfPrevious checks that the fences of an owner's orders are below
// those of the next owner, which claims ownership with a later write.
func TestFencesOfNextOwnerExceedThoseOfPrevious(t *testing.T) {
	f := newFixture(t)
	host := machineOf("s1", "spare")
	host.Worker = ""
	f.listMachines(host)
	f.core.orderMove(f.core.machinesByName[host.Name], "blue", &demand{})
	f.advance(tickEvery)
	last := f.lastMove().Holder.Fence
	require.Equal(t, platform.Fence(f.revision), last)

	next := newOwnerFixture(t, platform.Fence(f.revision+1))
	next.listMachines(host)
	next.core.orderMove(next.core.machinesByName[host.Name], "blue", &demand{})
	next.advance(tickEvery)
	require.Greater(t, next.lastMove().Holder.Fence, last)
}
