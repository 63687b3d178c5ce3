package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/common"
	"amberway/platform"
)

// worldBinding says which entry hosts bind their starts to incarnations.
type worldBinding struct {
	// bindsStarts says that entry hosts bind them, mixedVersions that some are of a version that
	// does not.
	bindsStarts, mixedVersions bool
}

// drawBinding returns whether the host of a new owner binds its starts.
func (w *world) drawBinding() bool {
	return w.bindsStarts && (!w.mixedVersions || rapid.Bool().Draw(w.t, "this_version"))
}

// sendStart sends a start. The client of workers sends a bound one on a connection that is known to
// reach its incarnation, if need be after a handshake.
func (w *world) sendStart(o *worldOwner, a StartRun) {
	send := func() {
		w.send(o, a.Worker.ID, a, orderTimeout, func(v *worldWorker, _ bool, answer func(Event)) { answer(w.start(v, a)) },
			func(err error) Event { return startFailed(a, err) })
	}
	if o.bindsStarts && rapid.Bool().Draw(w.t, "new_connection") {
		w.handshake(o, a, send)
		return
	}
	send()
}

func startFailed(a StartRun, err error) StartResult {
	return StartResult{Worker: a.Worker.ID, Run: a.Order.Run, Task: a.Order.Task, Fence: a.Order.Fence, Err: err}
}

// handshake sends the poll that precedes a start on a new connection. It may be lost, or be carried out
// late like any other. The start is sent if its own incarnation answers in time.
func (w *world) handshake(o *worldOwner, a StartRun, send func()) {
	const within = orderTimeout / 2
	v := w.workers[a.Worker.ID]
	there, back, lost := w.drawDelivery(o, v)
	if lost || there+back > within {
		w.after(within, func() { w.tell(o, startFailed(a, common.ErrNotSent)) })
		lost = true
	}
	w.after(there, func() {
		last := w.latestByName[v.ID.Name()]
		switch {
		case !last.alive || last.restarting || (lost && (last.partitioned || last.unreachableBy[o])):
			if !lost {
				w.after(within-there, func() { w.tell(o, startFailed(a, common.ErrNotSent)) })
			}
			return
		case a.Order.Fence >= last.fence:
			last.fence = a.Order.Fence
		case !lost:
			w.after(back, func() {
				e := startFailed(a, nil)
				e.Rejection = platform.RejectedFenced
				w.tell(o, e)
			})
			return
		}
		switch {
		case lost:
		case last == v:
			w.after(back, send)
		default:
			start := platform.ReportedStart{Incarnation: last.ID.Incarnation()}
			w.after(back, func() { w.tell(o, startFailed(a, &platform.OtherIncarnationError{ReportedStart: start})) })
		}
	})
}

// playLateStarts has workers restart every 1.5 s while messages are lost or late, and the owner
// replaced twice.
func (w *world) playLateStarts() {
	w.lossy = true
	step := platform.Step{Count: 1, Resources: platform.Resources{MilliCores: 500}, Estimate: 1500 * time.Millisecond}
	for i := range 80 {
		w.submitSteps(step)
		w.advance(250 * time.Millisecond)
		if i%6 == 5 {
			w.restart(w.pickWorker())
		}
		if i%30 == 29 {
			w.replaceOwner(func(o *worldOwner) { o.dead = true })
		}
	}
	w.heal()
	require.Empty(w.t, w.store.records, "jobs that never end")
}

// TestPromisesHoldWhenStartsAreBound has starts that were ruled out arrive late, after a restart of
// their worker. They reach their own incarnation or none.
func TestPromisesHoldWhenStartsAreBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorldOf(t, true)
		w.bindsStarts, w.owners[0].bindsStarts = true, true
		w.playLateStarts()
	})
}

// TestPromisesHoldWhileVersionsAreMixed has owners that bind their starts follow others that do not, and
// the reverse.
func TestPromisesHoldWhileVersionsAreMixed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorldOf(t, true)
		w.bindsStarts, w.mixedVersions = true, true
		w.playRestarts()
	})
}
