package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/platform"
)

// worldGangs is the model's state of gangs.
type worldGangs struct {
	// gangSnapshots are the snapshots that the first started member of each gang brought, by the
	// number of the run.
	gangSnapshots map[int64]string
}

// savedEvery is how often runs save their work.
const savedEvery = 500 * time.Millisecond

// saved returns the run's last snapshot.
func (r *worldRun) saved(now time.Time) string {
	n := now.Sub(r.began) / savedEvery
	if !r.step.Checkpoints || n == 0 {
		return r.snapshot
	}
	return fmt.Sprint(r.task, " run ", r.number, " save ", int64(n))
}

// checkGangStart checks that all members of a gang bring the same snapshot.
func (w *world) checkGangStart(k taskKey, a StartRun) {
	if !w.jobs[k.id].Steps[k.step].Gang {
		return
	}
	if w.gangSnapshots == nil {
		w.gangSnapshots = map[int64]string{}
	}
	before, known := w.gangSnapshots[a.Order.Run]
	if known && before != a.Order.Snapshot {
		w.t.Fatalf("%s brings the snapshot %q, and another member of its gang %q", a.Order.Task, a.Order.Snapshot, before)
	}
	w.gangSnapshots[a.Order.Run] = a.Order.Snapshot
}

// gangDone reports whether a member of the gang has ended successfully, which stands for all.
func (w *world) gangDone(id ID, instance, step, count int) bool {
	for x := range count {
		if len(w.doneRuns[taskKey{id: id, instance: instance, step: step, index: x}.String()]) > 0 {
			return true
		}
	}
	return false
}

func (w *world) submitGang() {
	w.submitSteps(platform.Step{
		Count: rapid.IntRange(2, 3).Draw(w.t, "members"), Gang: true, Checkpoints: true, Resources: platform.Resources{MilliCores: 500},
		Estimate: time.Duration(rapid.IntRange(10, 50).Draw(w.t, "estimate")) * 100 * time.Millisecond,
	})
}

// TestGangsBringOneSnapshotUnderFaults guards against gangs whose members go on from different snapshots,
// and therefore never work together again.
func TestGangsBringOneSnapshotUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit gang": func(*rapid.T) { w.submitGang() },
			"submit":      func(*rapid.T) { w.submit() },
			"pass": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"pass on": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"crash":  func(*rapid.T) { w.crash() },
			"cut":    func(*rapid.T) { v := w.pickWorker(); v.partitioned = !v.partitioned },
			"lossy":  func(t *rapid.T) { w.lossy = rapid.Bool().Draw(t, "lossy") },
			"cancel": func(*rapid.T) { w.cancelSome() },
			"kill":   func(*rapid.T) { w.replaceOwner(func(o *worldOwner) { o.dead = true }) },
			"freeze": func(*rapid.T) { w.replaceOwner(w.freeze) },
		})
		w.heal()
		require.Empty(t, w.store.records, "jobs that never end")
	})
}
