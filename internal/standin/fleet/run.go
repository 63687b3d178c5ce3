package fleet

import (
	"math/rand/v2"
	"time"
)

// stopTakes is how long a lasting run takes to end once it was told to.
const stopTakes = 200 * time.Millisecond

// warmsLeast is the shortest that a lasting task takes to be at work that takes any time.
const warmsLeast = 300 * time.Millisecond

// run is one run of a task on a worker.
type run struct {
	number  int64
	began   time.Time
	work    time.Duration
	lasting bool
	failing bool
	pace    int
	// warms is how long a lasting run takes to be at work, failsAt when it fails by itself,
	// stopsAt when it ends by an order; never, if zero.
	warms            time.Duration
	failsAt, stopsAt time.Time
	// atWork says that the books have it as at work.
	atWork bool
}

// newRun returns a run that begins now.
func newRun(number int64, b behaviour) *run {
	r := &run{number: number, began: time.Now(), work: b.work, lasting: b.lasts, failing: b.fails, pace: 100}
	if b.warms > warmsLeast {
		r.warms = warmsLeast + rand.N(b.warms-warmsLeast)
	}
	if b.failsEach > 0 {
		r.failsAt = r.began.Add(r.warms + time.Duration(rand.ExpFloat64()*float64(b.failsEach)))
	}
	return r
}

// percent returns how far the run is; a lasting one is at work at 100.
func (r *run) percent() int {
	if !r.lasting {
		return int(min(99, 100*time.Since(r.began)/max(1, r.work)))
	}
	return int(min(100, 100*time.Since(r.began)/max(1, r.warms)))
}

// over returns how a lasting run ends by now, or "".
func (r *run) over(now time.Time) string {
	switch {
	case !r.stopsAt.IsZero() && !now.Before(r.stopsAt):
		return "stopped"
	case r.stopsAt.IsZero() && !r.failsAt.IsZero() && now.After(r.failsAt):
		return "failed"
	}
	return ""
}

// live ends the runs that are over, and notes which lasting ones are at work.
func (w *worker) live() {
	for t, r := range w.runs {
		if how := w.howOver(r); how != "" {
			w.finish(t, r, how)
			continue
		}
		if r.lasting && !r.atWork && r.percent() == 100 {
			r.atWork = true
			w.books.cameToWork(t)
		}
	}
}

// howOver returns how the run ends by now, or "" where it goes on.
func (w *worker) howOver(r *run) string {
	switch {
	case w.until > 0 && w.clock() > w.until:
		return "lapsed"
	case r.lasting:
		return r.over(time.Now())
	case time.Since(r.began) < r.work:
		return ""
	case r.failing:
		return "failed"
	}
	return "done"
}

func (w *worker) finish(task string, r *run, how string) {
	delete(w.runs, task)
	w.number++
	w.ended = append(w.ended, []any{w.number, task, r.number, how, ""})
	w.books.ended(task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// stop has a run end by an order.
func (w *worker) stop(task string, r *run, late bool) {
	if !r.lasting {
		w.finish(task, r, "stopped")
		return
	}
	if r.stopsAt.IsZero() {
		w.books.endedByOrder(order{task: task, run: r.number, worker: w.id, exempt: late || w.leaving})
		r.stopsAt = time.Now().Add(stopTakes)
	}
}

// endByOrder notes that an order to the worker's machine, which may have been held up, ends
// all that runs.
func (w *worker) endByOrder(late bool) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for t, r := range w.runs {
		if r.stopsAt.IsZero() {
			w.books.endedByOrder(order{task: t, run: r.number, worker: w.id, exempt: late})
		}
	}
}

// setLeaving notes that the worker says that it leaves.
func (w *worker) setLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}
