package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// newRunningFixture returns an owner, whose lease was just renewed, with the step's task on w1 and
// nothing on w2.
func newRunningFixture(t *testing.T, s platform.Step) *fixture {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", s)
	f.acceptStart(f.starts()[0])
	f.join("w2")
	f.step(LeaseRenewed{SentAt: f.now})
	return f
}

// loseWorker has the worker fall silent and its machine run another one.
func (f *fixture) loseWorker(id string) {
	f.fail(id, common.ErrUnknownOutcome)
	m := machineOf(id, "blue")
	m.Worker = "next"
	f.listMachines(m)
}

// A job was done and shown as succeeded, and its task ran again. An owner had been replaced
// without knowing it, being cut off from the store. The next owner noted the successful end of a
// run, so that its worker forgot it; the worker crashed; the owner before learned of the crash
// from the machine list, took the run for lost and started its task on a worker that the next
// owner could not reach. Lines of the model at TestCapsHoldUnderFaults, seed
// 15287265354458197199: "owner 176: end ... done", "owner 173: run gone ... crashed", "owner 173:
// start". A lost task starts again only once the lease was renewed after the loss.
func TestDeposedOwnerDoesNotRestartALostTask(t *testing.T) {
	f := newRunningFixture(t, oneTask())
	f.advanceWithoutStore(ownerTTL)
	f.loseWorker("w1")
	require.Len(t, f.logged("run gone"), 1)
	f.advanceWithoutStore(time.Second)
	require.Empty(t, f.starts())
	f.step(LeaseRenewed{SentAt: f.now.Add(-2 * time.Second)})
	f.advanceWithoutStore(tickEvery)
	require.Empty(t, f.starts(), "that renewal was sent before the loss")
	f.step(LeaseRenewed{SentAt: f.now})
	f.advanceWithoutStore(tickEvery)
	require.Equal(t, []platform.WorkerID{"w2"}, workersOf(f.starts()))
}

// A lasting task has no successful end, and a next owner starts none of an earlier owner's jobs
// before it knows what runs on each worker of the roster.
func TestDeposedOwnerRestartsALostLastingTask(t *testing.T) {
	s := oneTask()
	s.Lasting = true
	f := newRunningFixture(t, s)
	f.advanceWithoutStore(ownerTTL)
	f.loseWorker("w1")
	f.advanceWithoutStore(time.Second)
	require.Equal(t, []platform.WorkerID{"w2"}, workersOf(f.starts()))
}

// While its lease cannot have expired, an owner restarts a lost task at once.
func TestOwnerRestartsALostTaskAtOnce(t *testing.T) {
	f := newRunningFixture(t, oneTask())
	f.advanceWithoutStore(time.Second)
	f.loseWorker("w1")
	require.Equal(t, []platform.WorkerID{"w2"}, workersOf(f.starts()))
}
