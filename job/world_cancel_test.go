package job

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/platform"
)

const (
	// stopOrderedWithin is the bound that docs/PROMISES.md tells: within it a run of a
	// cancelled job has got its order to stop, counted from the last of the
	// cancelling, the run's start, and the time since which the owner and the
	// worker have been in touch. A look that waits takes 1.7 s to be known as lost,
	// and the next one 0.25 s to be sent.
	stopOrderedWithin = pollWait + pollSlack + pollRetry + 3*tickEvery
	// stopTakes is how long the model's workers take to end a run: the pages bound
	// it at 0.2 to 0.9 s.
	stopTakes = 400 * time.Millisecond
)

// worldCancels is what the model draws and checks of cancelled jobs.
type worldCancels struct {
	// cancelledAt are when callers were told that their jobs are cancelled.
	cancelledAt map[ID]time.Time
	// cancelKnownAt is when an owner first learned of them.
	cancelKnownAt map[ID]time.Time
	// ordersLateUntil is until when half of the orders to workers are carried out late.
	ordersLateUntil time.Time
	// disturbedAt is when the owner of now and a worker were last out of touch.
	disturbedAt map[platform.WorkerID]time.Time
}

func newWorldCancels() worldCancels {
	return worldCancels{cancelledAt: map[ID]time.Time{}, cancelKnownAt: map[ID]time.Time{}, disturbedAt: map[platform.WorkerID]time.Time{}}
}

// owner returns the owner that the store knows.
func (w *world) owner() *worldOwner {
	return w.owners[len(w.owners)-1]
}

// drawStuck draws for how long an order gets stuck on its way, or 0.
func (w *world) drawStuck() time.Duration {
	if !w.now.Before(w.ordersLateUntil) || !rapid.Bool().Draw(w.t, "stuck") {
		return 0
	}
	return time.Duration(rapid.IntRange(2000, 4500).Draw(w.t, "stuck_ms")) * time.Millisecond
}

// checkCancelled fails if a run of a cancelled job goes on for too long although
// the owner and the worker are in touch.
func (w *world) checkCancelled() {
	o := w.owner()
	for _, v := range w.workers {
		if !v.alive {
			continue
		}
		if w.lossy || w.now.Before(w.ordersLateUntil) || v.partitioned || v.unreachableBy[o] || o.dead || o.frozen || o.fence != w.store.fence {
			w.disturbedAt[v.ID] = w.now
			continue
		}
		for _, r := range v.runs {
			k, _ := parseTaskKey(r.task)
			told, known := w.cancelKnownAt[k.id]
			if !known {
				continue
			}
			since := latest(latest(told, r.began), w.disturbedAt[v.ID])
			if w.now.Sub(since) > stopOrderedWithin+stopTakes {
				w.t.Fatalf("%s runs on on %s: known as cancelled for %s, begun %s ago, in touch for %s",
					r.task, v.ID, w.now.Sub(told), w.now.Sub(r.began), w.now.Sub(w.disturbedAt[v.ID]))
			}
		}
	}
}

// checkStart fails if the owner starts a task of a job that it knows is cancelled.
func (w *world) checkStart(o *worldOwner, a StartRun) {
	k, _ := parseTaskKey(a.Order.Task)
	if _, known := w.cancelKnownAt[k.id]; known && o == w.owner() {
		w.t.Fatalf("%s is started after its job was cancelled", a.Order.Task)
	}
}

// deleteKeys takes keys out of the store.
func (w *world) deleteKeys(keys []string) {
	for _, k := range keys {
		if id, ok := strings.CutPrefix(k, cancelPrefix); ok {
			delete(w.store.cancels, ID(id))
		}
		if id, ok := strings.CutPrefix(k, progressPrefix); ok {
			delete(w.store.progress, ID(id))
		}
	}
}

// submitLong hands in a job whose tasks go on until it is cancelled.
func (w *world) submitLong() ID {
	s := platform.Step{
		Count:     rapid.IntRange(1, 4).Draw(w.t, "count"),
		Resources: platform.Resources{MilliCores: 500},
		Estimate:  time.Hour,
	}
	return w.submitSteps(s)
}

// cancel writes the mark of a job. The owner, if there is one, learns of it at once,
// or up to a second later where its watch has gone silent.
func (w *world) cancel(id ID) {
	if _, ok := w.store.records[id]; !ok {
		return
	}
	w.store.cancels[id] = true
	if w.cancelledAt[id].IsZero() {
		w.cancelledAt[id] = w.now
	}
	o := w.owner()
	lag := time.Duration(rapid.SampledFrom([]int{0, 0, 20, 300, 1000}).Draw(w.t, "lag_ms")) * time.Millisecond
	w.after(lag, func() {
		if o == w.owner() && !o.dead {
			w.noteCancelKnown(id)
			w.tell(o, CancelRequested{ID: id})
		}
	})
}

// noteCancelKnown notes that an owner learns of a cancelling now.
func (w *world) noteCancelKnown(id ID) {
	if _, known := w.cancelKnownAt[id]; !known {
		w.cancelKnownAt[id] = w.now
	}
}

// cancelLate cancels a long job while orders are carried out late.
func (w *world) cancelLate() {
	w.ordersLateUntil = w.now.Add(time.Duration(rapid.IntRange(1, 25).Draw(w.t, "late_tenths")) * 100 * time.Millisecond)
	id := w.submitLong()
	w.advance(time.Duration(rapid.IntRange(0, 40).Draw(w.t, "cancel_tenths")) * 100 * time.Millisecond)
	w.cancel(id)
}

// cancelLong cancels the long jobs that are left.
func (w *world) cancelLong() {
	for _, id := range w.longJobs() {
		w.cancel(id)
	}
}

func (w *world) longJobs() []ID {
	var l []ID
	for id := range w.store.records {
		if w.jobs[id].Steps[0].Estimate == time.Hour {
			l = append(l, id)
		}
	}
	slices.Sort(l)
	return l
}

// removeOwner takes the owner away for good, with its orders still under way, and
// brings another after a while. Callers may cancel jobs in between, and the store
// may have forgotten those that are over.
func (w *world) removeOwner() {
	id := w.submitLong()
	w.ordersLateUntil = w.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(w.t, "late_tenths")) * 100 * time.Millisecond)
	w.advance(time.Duration(rapid.IntRange(0, 20).Draw(w.t, "remove_tenths")) * 100 * time.Millisecond)
	before := rapid.Bool().Draw(w.t, "before")
	if before {
		w.cancel(id)
		w.advance(100 * time.Millisecond)
	}
	w.owner().dead = true
	if before && rapid.Bool().Draw(w.t, "forgotten") {
		w.forgetFinal()
	}
	w.advance(ownerTTL / 2)
	if !before {
		w.cancel(id)
	}
	w.advance(ownerTTL / 2)
	w.takeOver()
}

// steppedDown brings another owner in the place of one that has given up by itself.
func (w *world) steppedDown(o *worldOwner) {
	o.dead = true
	if o != w.owner() {
		return
	}
	w.after(ownerTTL, func() {
		if o == w.owner() {
			w.takeOver()
		}
	})
}

// forgetFinal takes the jobs that are over out of the store, as an owner does
// three minutes later. Runs of theirs that may go on for seconds have ended by then.
func (w *world) forgetFinal() {
	for id, p := range w.store.progress {
		if p.State.Final() && p.Leftover == nil {
			delete(w.store.progress, id)
		}
	}
}

// leftovers are the worker's runs of cancelled jobs.
func (v *worldWorker) leftovers(w *world) []string {
	var l []string
	for n := range v.runs {
		k, _ := parseTaskKey(n)
		if _, cancelled := w.cancelledAt[k.id]; cancelled && v.alive {
			l = append(l, n)
		}
	}
	return l
}

// TestCancelledJobsEndUnderFaults draws late orders beside cancellations, and
// owners that are removed for good, among the other faults. While the owner and a
// worker are in touch, no run of a cancelled job may go on there beyond a bound.
func TestCancelledJobsEndUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":     func(*rapid.T) { w.submit() },
			"submitLong": func(*rapid.T) { w.submitLong() },
			"pass": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"late": func(t *rapid.T) {
				w.ordersLateUntil = w.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "late_tenths")) * 100 * time.Millisecond)
			},
			"cancel":     func(*rapid.T) { w.cancelSome() },
			"cancelLate": func(*rapid.T) { w.cancelLate() },
			"cancelLong": func(*rapid.T) { w.cancelLong() },
			"cut":        func(*rapid.T) { v := w.pickWorker(); v.partitioned = !v.partitioned },
			"crash":      func(*rapid.T) { w.crash() },
			"unlist":     func(*rapid.T) { w.unlist() },
			"remove":     func(*rapid.T) { w.removeOwner() },
			"freeze":     func(*rapid.T) { w.replaceOwner(w.freeze) },
			"split":      func(*rapid.T) { w.split() },
		})
		w.cancelLong()
		w.heal()
		w.advance(ownerAuthority + stopOrderedWithin + stopTakes)
		require.Empty(t, w.store.records, "jobs that never end")
		for _, v := range w.workers {
			require.Empty(t, v.leftovers(w), "runs of cancelled jobs")
		}
	})
}
