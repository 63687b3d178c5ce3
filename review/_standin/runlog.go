package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecorder(name string) (*recorder, error) {
	f, err := os.Create(name)
	return &recorder{file: f, begin: time.Now()}, err
}

func (r *recorder) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, a...))
}

// runRecord is one run of a task as its worker saw it.
type runRecord struct {
	worker, task    string
	run, fence      int64
	started, endsAt time.Time
	how             string
	endNumber       int64
	// lapsesAtEnd is how often the worker's lease had run out when the run ended.
	lapsesAtEnd int
	// noted says that last_seen has reached the end, notedLapsed that the lease ran out between the two.
	noted, notedLapsed bool
	notedAt            time.Time
}

// runLog holds all runs of all workers.
type runLog struct {
	rec    *recorder
	mu     sync.Mutex
	byTask map[string][]*runRecord
	byEnd  map[string]*runRecord
	lapses map[string]int
}

func newRunLog(r *recorder) *runLog {
	return &runLog{rec: r, byTask: map[string][]*runRecord{}, byEnd: map[string]*runRecord{}, lapses: map[string]int{}}
}

func (l *runLog) start(worker, task string, run, fence int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byTask[task] = append(l.byTask[task], &runRecord{worker: worker, task: task, run: run, fence: fence, started: time.Now()})
	l.rec.printf("%s starts %s run %d fence %d", worker, task, run, fence)
}

func (l *runLog) end(worker, task string, run, number int64, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.byTask[task] {
		if r.worker == worker && r.run == run {
			r.endsAt, r.how, r.endNumber, r.lapsesAtEnd = time.Now(), how, number, l.lapses[worker]
			l.byEnd[fmt.Sprint(worker, " ", number)] = r
		}
	}
	l.rec.printf("%s end %d: %s run %d %s", worker, number, task, run, how)
}

func (l *runLog) ack(worker string, number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.byEnd[fmt.Sprint(worker, " ", number)]; r != nil {
		r.noted, r.notedAt, r.notedLapsed = true, time.Now(), l.lapses[worker] != r.lapsesAtEnd
	}
	l.rec.printf("%s end %d is taken note of", worker, number)
}

func (l *runLog) lapse(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapses[worker]++
}

// runsOf returns how many runs the tasks of the job have had.
func (l *runLog) runsOf(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for t, runs := range l.byTask {
		if len(t) > len(job) && t[:len(job)] == job {
			n += len(runs)
		}
	}
	return n
}

// runningOf returns how many runs of the job are at work.
func (l *runLog) runningOf(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for t, runs := range l.byTask {
		if len(t) <= len(job) || t[:len(job)] != job {
			continue
		}
		for _, r := range runs {
			if r.endsAt.IsZero() {
				n++
			}
		}
	}
	return n
}

// twice returns the violations of the rule TWICE: two runs of a task at the same time, or a start after a run has
// ended done whose end was taken note of then or later, with no lapse of the worker's lease between the two.
func (l *runLog) twice() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var v []string
	for t, runs := range l.byTask {
		for _, a := range runs {
			for _, b := range runs {
				if a == b || b.started.Before(a.started) {
					continue
				}
				switch {
				case a.endsAt.IsZero() || b.started.Before(a.endsAt):
					v = append(v, fmt.Sprintf("TWICE: %s runs %d on %s and %d on %s at the same time", t, a.run, a.worker, b.run, b.worker))
				case a.how == "done" && a.noted && !a.notedLapsed:
					v = append(v, fmt.Sprintf("TWICE: %s run %d on %s ended done (end %d); run %d started on %s %d ms later; the end was taken note of %d ms after that start",
						t, a.run, a.worker, a.endNumber, b.run, b.worker, b.started.Sub(a.endsAt).Milliseconds(), a.notedAt.Sub(b.started).Milliseconds()))
				}
			}
		}
	}
	return v
}

// doneOf returns how many tasks of the job have ended done.
func (l *runLog) doneOf(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for t, runs := range l.byTask {
		if len(t) <= len(job) || t[:len(job)] != job {
			continue
		}
		for _, r := range runs {
			if r.how == "done" {
				n++
				break
			}
		}
	}
	return n
}
