package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/platform"
)

// worldRecurring is the model's state of recurring jobs.
type worldRecurring struct {
	// maxWaiting is the owners' limit of waiting tasks of a job; zero is the default.
	maxWaiting int
}

// submitRecurring submits a job of several times, which may all be due or come due one after the other.
func (w *world) submitRecurring() {
	id := w.jobID()
	every := time.Duration(rapid.IntRange(1, 10).Draw(w.t, "every_tenths")) * 100 * time.Millisecond
	times := rapid.IntRange(2, 25).Draw(w.t, "times")
	first := w.now.Add(every * time.Duration(rapid.IntRange(-times, 2).Draw(w.t, "first")))
	var steps []platform.Step
	for i := range rapid.IntRange(1, 2).Draw(w.t, "steps") {
		s := smallStep()
		s.Count = rapid.IntRange(1, 3).Draw(w.t, "count")
		s.Estimate = time.Duration(rapid.IntRange(1, 10).Draw(w.t, "estimate")) * 100 * time.Millisecond
		if i > 0 {
			s.After = []int{0}
		}
		steps = append(steps, s)
	}
	w.store.revision++
	rec := NewRecord(w.acceptingQueue(), platform.Submission{Spec: w.spec, Steps: steps, Times: times, First: first, Every: every}, w.now)
	rec.Attempts = 3
	a := Accepted{ID: id, Record: rec, Created: w.store.revision}
	w.jobs[id] = rec
	w.store.records[id] = a
	w.tell(w.owner(), a)
}

// checkDue checks that an instance does not start before its time.
func (w *world) checkDue(k taskKey, rec Record) {
	if due := rec.First.Add(time.Duration(k.instance) * rec.Every); rec.Times > 0 && w.now.Before(due) {
		w.t.Fatalf("%s starts %s before its time", k, due.Sub(w.now))
	}
}

// TestPromisesHoldForRecurringJobs plays jobs with more times due than their owner has instances of,
// while messages and answers are lost, workers are cut off or crash, and owners change. It guards
// against ends of instances that the next owner would not have created yet.
func TestPromisesHoldForRecurringJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newWorld(t).playRecurring() })
}

func (w *world) playRecurring() {
	t := w.t
	w.maxWaiting = rapid.IntRange(1, 8).Draw(t, "max_waiting")
	w.replaceOwner(func(o *worldOwner) { o.dead = true })
	t.Repeat(map[string]func(*rapid.T){
		"submit":           func(*rapid.T) { w.submit() },
		"submit recurring": func(*rapid.T) { w.submitRecurring() },
		"pass": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"refuse writes": func(t *rapid.T) {
			w.writesFailUntil = w.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "refused_tenths")) * 100 * time.Millisecond)
		},
		"change limit": func(t *rapid.T) { w.maxWaiting = rapid.IntRange(1, 8).Draw(t, "max_waiting") },
		"lossy":        func(t *rapid.T) { w.lossy = rapid.Bool().Draw(t, "lossy") },
		"cancel":       func(*rapid.T) { w.cancelSome() },
		"cut":          func(*rapid.T) { v := w.pickWorker(); v.partitioned = !v.partitioned },
		"crash":        func(*rapid.T) { w.crash() },
		"kill":         func(*rapid.T) { w.replaceOwner(func(o *worldOwner) { o.dead = true }) },
		"freeze":       func(*rapid.T) { w.replaceOwner(w.freeze) },
		"abandon":      func(*rapid.T) { w.deposeOwner() },
	})
	w.heal()
	require.Empty(t, w.store.records, "jobs that never end")
}
