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
	// stopOrderedWithin is the bound in docs/PROMISES.md within which a run of a cancelled job
	// gets its order to stop, counted from the latest of the cancellation, the run's start, and
	// the time since which the owner and the worker reach each other. A lost poll that waits
	// times out after 1.7 s, and the next one is sent 0.25 s later.
	stopOrderedWithin = pollWait + pollSlack + pollRetry + 3*tickEvery
	// stopTakes is how long the model's workers take to end a run. The platform's documents
	// give 0.2 to 0.9 s.
	stopTakes = 400 * time.Millisecond
)

// worldCancels is the model's state of cancelled jobs and late orders.
type worldCancels struct {
	// cancelledAt is when callers were told that their jobs are cancelled.
	cancelledAt map[ID]time.Time
	// cancelKnownAt is when an owner first learned of the cancellations.
	cancelKnownAt map[ID]time.Time
	// ordersLateUntil is until when half of the orders to workers are carried out late and
	// get no response.
	ordersLateUntil time.Time
	// disturbedAt is when the current owner and a worker last could not reach each other.
	disturbedAt map[platform.WorkerID]time.Time
}

func newWorldCancels() worldCancels {
	return worldCancels{cancelledAt: map[ID]time.Time{}, cancelKnownAt: map[ID]time.Time{}, disturbedAt: map[platform.WorkerID]time.Time{}}
}

// owner returns the newest owner, which the store takes for the current one.
func (w *world) owner() *worldOwner {
	return w.owners[len(w.owners)-1]
}

// drawStuck draws how long an order is delayed in flight, or 0.
func (w *world) drawStuck() time.Duration {
	if !w.now.Before(w.ordersLateUntil) || !rapid.Bool().Draw(w.t, "stuck") {
		return 0
	}
	return time.Duration(rapid.IntRange(2000, 4500).Draw(w.t, "stuck_ms")) * time.Millisecond
}

// checkCancelled fails if a run of a cancelled job goes on for too long although the owner and
// the worker reach each other.
func (w *world) checkCancelled() {
	o := w.owner()
	for _, v := range w.workersByStart {
		if !v.alive {
			continue
		}
		if w.lossy || w.now.Before(w.ordersLateUntil) || v.partitioned || v.unreachableBy[o] || o.dead || o.frozen || o.fence != w.store.fence {
			w.disturbedAt[v.ID] = w.now
			continue
		}
		for _, r := range sorted(v.runs) {
			k, _ := parseTaskKey(r.task)
			knownAt, known := w.cancelKnownAt[k.id]
			if !known {
				continue
			}
			since := latest(latest(knownAt, r.began), w.disturbedAt[v.ID])
			if w.now.Sub(since) > stopOrderedWithin+stopTakes {
				w.t.Fatalf("%s still runs on %s: known as cancelled for %s, started %s ago, worker reachable for %s",
					r.task, v.ID, w.now.Sub(knownAt), w.now.Sub(r.began), w.now.Sub(w.disturbedAt[v.ID]))
			}
		}
	}
}

// checkStart fails if the owner starts a task of a job that it knows to be cancelled.
func (w *world) checkStart(o *worldOwner, a StartRun) {
	k, _ := parseTaskKey(a.Order.Task)
	if _, known := w.cancelKnownAt[k.id]; known && o == w.owner() {
		w.t.Fatalf("%s is started after its job was cancelled", a.Order.Task)
	}
	w.checkGangStart(k, a)
}

// deleteKeys deletes keys from the store.
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

// submitLong submits a job whose tasks run until it is cancelled.
func (w *world) submitLong() ID {
	s := platform.Step{
		Count:     rapid.IntRange(1, 4).Draw(w.t, "count"),
		Resources: platform.Resources{MilliCores: 500},
		Estimate:  time.Hour,
	}
	return w.submitSteps(s)
}

// cancel writes the cancel mark of a job. The owner, if there is one, learns of it at once, or up
// to a second later if its watch is silent.
func (w *world) cancel(id ID) {
	_, recorded := w.store.records[id]
	if _, started := w.store.progress[id]; !recorded && started {
		return
	}
	w.store.cancels[id] = true
	if w.cancelledAt[id].IsZero() {
		w.cancelledAt[id] = w.now
	}
	o := w.owner()
	lag := time.Duration(rapid.SampledFrom([]int{0, 0, 20, 300, 1000}).Draw(w.t, "lag_ms")) * time.Millisecond
	w.after(lag, func() { w.tellCancel(o, id) })
}

// tellCancel tells the present owner of a cancel mark. One that stands still learns of it later.
func (w *world) tellCancel(o *worldOwner, id ID) {
	switch {
	case o != w.owner() || o.dead:
	case o.frozen:
		w.after(50*time.Millisecond, func() { w.tellCancel(o, id) })
	default:
		w.noteCancelKnown(id)
		w.tell(o, CancelRequested{ID: id})
	}
}

// noteCancelKnown records that an owner learns of a cancellation now.
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

// cancelEarly cancels a long job whose write is carried out seconds later.
func (w *world) cancelEarly() {
	s := platform.Step{Count: rapid.IntRange(1, 4).Draw(w.t, "count"), Resources: platform.Resources{MilliCores: 500}, Estimate: time.Hour}
	id, rec := w.jobID(), NewRecord(w.acceptingQueue(), platform.Submission{Spec: w.spec, Steps: []platform.Step{s}}, w.now)
	w.jobs[id] = rec
	w.after(w.drawMillis("written_after", 6000), func() {
		if _, started := w.store.progress[id]; started {
			return
		}
		w.store.revision++
		a := Accepted{ID: id, Record: rec, Created: w.store.revision}
		w.store.records[id] = a
		w.tell(w.owner(), a)
	})
	w.advance(w.drawMillis("cancelled_after", 1000))
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

// removeOwner removes the owner for good, with orders still in flight, and adds another later.
// Callers may cancel jobs in between, and the store may have dropped jobs that are final.
func (w *world) removeOwner() {
	id := w.submitLong()
	w.ordersLateUntil = w.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(w.t, "late_tenths")) * 100 * time.Millisecond)
	w.advance(time.Duration(rapid.IntRange(0, 20).Draw(w.t, "remove_tenths")) * 100 * time.Millisecond)
	cancelFirst := rapid.Bool().Draw(w.t, "before")
	if cancelFirst {
		w.cancel(id)
		w.advance(100 * time.Millisecond)
	}
	w.owner().dead = true
	if cancelFirst && rapid.Bool().Draw(w.t, "forgotten") {
		w.forgetFinal()
	}
	w.advance(ownerTTL / 2)
	if !cancelFirst {
		w.cancel(id)
	}
	w.advance(ownerTTL / 2)
	w.takeOver()
}

// steppedDown replaces an owner that has stepped down.
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

// forgetFinal deletes final jobs from the store, as an owner does after three minutes. Their
// leftover runs, which may go on for seconds, have ended by then.
func (w *world) forgetFinal() {
	for id, p := range w.store.progress {
		if p.State.Final() && p.Leftover == nil {
			delete(w.store.progress, id)
		}
	}
}

// leftovers returns the worker's runs of cancelled jobs.
func (v *worldWorker) leftovers(w *world) []string {
	var l []string
	for n := range sorted(v.runs) {
		k, _ := parseTaskKey(n)
		if _, cancelled := w.cancelledAt[k.id]; cancelled && v.alive {
			l = append(l, n)
		}
	}
	return l
}

// TestCancelledJobsEndUnderFaults cancels jobs while orders are carried out late and owners are
// removed for good, besides other faults. While the owner and a worker reach each other, no run
// of a cancelled job may go on there beyond a bound.
func TestCancelledJobsEndUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newWorld(t).playCancelled() })
}

func (w *world) playCancelled() {
	t := w.t
	t.Repeat(map[string]func(*rapid.T){
		"submit":     func(*rapid.T) { w.submit() },
		"submitLong": func(*rapid.T) { w.submitLong() },
		"pass": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"late": func(t *rapid.T) {
			w.ordersLateUntil = w.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "late_tenths")) * 100 * time.Millisecond)
		},
		"cancel":      func(*rapid.T) { w.cancelSome() },
		"cancelLate":  func(*rapid.T) { w.cancelLate() },
		"cancelEarly": func(*rapid.T) { w.cancelEarly() },
		"cancelLong":  func(*rapid.T) { w.cancelLong() },
		"cut":         func(*rapid.T) { v := w.pickWorker(); v.partitioned = !v.partitioned },
		"crash":       func(*rapid.T) { w.crash() },
		"unlist":      func(*rapid.T) { w.unlist() },
		"remove":      func(*rapid.T) { w.removeOwner() },
		"freeze":      func(*rapid.T) { w.replaceOwner(w.freeze) },
		"split":       func(*rapid.T) { w.split() },
	})
	w.cancelLong()
	w.heal()
	w.advance(ownerAuthority + stopOrderedWithin + stopTakes)
	require.Empty(t, w.store.records, "jobs that never end")
	for _, v := range w.workersByStart {
		require.Empty(t, v.leftovers(w), "runs of cancelled jobs")
	}
}
