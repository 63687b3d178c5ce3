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

// handshake plays the poll that precedes a start on a new connection. It may be lost, or be carried out
// late like any other. The start is sent if its own incarnation answers in time.
func (w *world) handshake(o *worldOwner, a StartRun, send func()) {
	const within = orderTimeout / 2
	v := w.workers[a.Worker.ID]
	there, back, lost := w.drawDelivery(o, v)
	lost = lost || there+back > within
	notSent := func() { w.tell(o, startFailed(a, common.ErrNotSent)) }
	if lost {
		w.after(within, notSent)
	}
	w.after(there, func() {
		last := w.latestByName[v.ID.Name()]
		if !last.alive || last.restarting || (lost && (last.partitioned || last.unreachableBy[o])) {
			if !lost {
				w.after(within-there, notSent)
			}
			return
		}
		e, ok := last.answerHandshake(a)
		switch {
		case lost:
		case ok:
			w.after(back, send)
		default:
			w.after(back, func() { w.tell(o, e) })
		}
	})
}

// answerHandshake reports whether the start may be sent, and its outcome if not.
func (v *worldWorker) answerHandshake(a StartRun) (StartResult, bool) {
	e := startFailed(a, nil)
	switch {
	case a.Order.Fence < v.fence:
		e.Rejection = platform.RejectedFenced
		return e, false
	case v.ID != a.Worker.ID:
		e.Err = &platform.OtherIncarnationError{ReportedStart: platform.ReportedStart{Incarnation: v.ID.Incarnation()}}
	}
	v.fence = a.Order.Fence
	return e, e.Err == nil
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

// TestPromisesHoldWhenWorkersComeBack has workers restart under their names, also after they were taken for
// ended and the owner was replaced.
func TestPromisesHoldWhenWorkersComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorldOf(t, true)
		w.bindsStarts, w.owners[0].bindsStarts = true, true
		w.playRestarts()
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
