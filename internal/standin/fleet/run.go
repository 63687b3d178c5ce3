package fleet

import (
	"math/rand/v2"
	"time"
)

// stopDuration is how long a lasting run takes to end after an order to stop.
const stopDuration = 200 * time.Millisecond

// minWarmUp is the shortest warm-up of a lasting task that has one.
const minWarmUp = 300 * time.Millisecond

// run is one run of a task on a worker.
type run struct {
	number    int64
	startedAt time.Time
	runTime   time.Duration
	lasting   bool
	failing   bool
	pace      int
	// warmUp is how long a lasting run takes to be ready. failsAt is when it fails by itself,
	// stopsAt when it ends by an order; a zero time means never.
	warmUp           time.Duration
	failsAt, stopsAt time.Time
	// ready says that the run has been reported to the checker as ready.
	ready bool
}

// newRun returns a run that starts now.
func newRun(number int64, b behaviour) *run {
	r := &run{number: number, startedAt: time.Now(), runTime: b.runTime, lasting: b.lasts, failing: b.fails, pace: 100}
	if b.maxWarmUp > minWarmUp {
		r.warmUp = minWarmUp + rand.N(b.maxWarmUp-minWarmUp)
	}
	if b.meanTimeToFailure > 0 {
		r.failsAt = r.startedAt.Add(r.warmUp + time.Duration(rand.ExpFloat64()*float64(b.meanTimeToFailure)))
	}
	return r
}

// percent returns the progress of the run; a lasting one is ready at 100.
func (r *run) percent() int {
	if !r.lasting {
		return int(min(99, 100*time.Since(r.startedAt)/max(1, r.runTime)))
	}
	return int(min(100, 100*time.Since(r.startedAt)/max(1, r.warmUp)))
}

// lastingOutcome returns the outcome of a lasting run, or "" if it has not ended by now.
func (r *run) lastingOutcome(now time.Time) string {
	switch {
	case !r.stopsAt.IsZero() && !now.Before(r.stopsAt):
		return "stopped"
	case r.stopsAt.IsZero() && !r.failsAt.IsZero() && now.After(r.failsAt):
		return "failed"
	}
	return ""
}

// endDueRuns ends the runs that are due to end, and records which lasting ones are ready.
func (w *worker) endDueRuns() {
	for t, r := range w.runs {
		if result := w.outcome(r); result != "" {
			w.finish(t, r, result)
			continue
		}
		if r.lasting && !r.ready && r.percent() == 100 {
			r.ready = true
			w.checker.recordReady(t)
		}
	}
}

// outcome returns the outcome of the run, or "" if it goes on.
func (w *worker) outcome(r *run) string {
	switch {
	case w.leaseUntil > 0 && w.clockMs() > w.leaseUntil:
		return "lapsed"
	case r.lasting:
		return r.lastingOutcome(time.Now())
	case time.Since(r.startedAt) < r.runTime:
		return ""
	case r.failing:
		return "failed"
	}
	return "done"
}

func (w *worker) finish(task string, r *run, outcome string) {
	delete(w.runs, task)
	w.lastEnd++
	if outcome == "lapsed" {
		w.lastVoidEnd = w.lastEnd
	}
	w.endedRuns = append(w.endedRuns, []any{w.lastEnd, task, r.number, outcome, ""})
	w.checker.recordEnd(task, r.number, outcome)
	close(w.changed)
	w.changed = make(chan struct{})
}

// stop ends a run by an order; a lasting one ends after stopDuration.
func (w *worker) stop(task string, r *run, delayed bool) {
	if !r.lasting {
		w.finish(task, r, "stopped")
		return
	}
	if r.stopsAt.IsZero() {
		w.checker.checkDisruption(stopOrder{task: task, run: r.number, worker: w.id, exempt: delayed || w.leaving})
		r.stopsAt = time.Now().Add(stopDuration)
	}
}

// checkDisruptions checks the disruptions by an order to the worker's machine, which ends
// all its runs. delayed says that the order was delayed.
func (w *worker) checkDisruptions(delayed bool) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for t, r := range w.runs {
		if r.stopsAt.IsZero() {
			w.checker.checkDisruption(stopOrder{task: t, run: r.number, worker: w.id, exempt: delayed})
		}
	}
}

func (w *worker) setLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}
