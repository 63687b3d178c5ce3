package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// capacity is an amount of resources.
type capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

func (c capacity) plus(o capacity) capacity {
	return capacity{c.CPU + o.CPU, c.MemMB + o.MemMB, c.GPU + o.GPU}
}

func (c capacity) within(o capacity) bool {
	return c.CPU <= o.CPU && c.MemMB <= o.MemMB && c.GPU <= o.GPU
}

// maxListedEnds is how many ends a worker lists at once.
const maxListedEnds = 500

// run is one run of a task on a worker.
type run struct {
	task   taskName
	number int64
	job    *jobSpec
	step   *stepSpec
	// startedAt is when the order was carried out, workingFrom when the run began to work: a
	// member of a gang works from the moment at which all members are there.
	startedAt, workingFrom time.Time
	// brought is the snapshot of the start order, resumed the work that it stands for.
	brought string
	resumed time.Duration
	saved   string
	// stopsAt is when a stop takes effect.
	stopsAt time.Time
}

// worker is one life of a machine.
type worker struct {
	p        *platform
	id       string
	machine  *machine
	service  string
	addr     string
	born     time.Time
	server   *http.Server
	mu       sync.Mutex
	ended    bool
	silent   bool
	draining bool
	fence    int64
	until    int64
	// lapsedAt is when the lease last lapsed.
	lapsedAt  time.Time
	runs      map[string]*run
	highest   map[string]int64
	ends      [][]any
	lastEnd   int64
	maxHoldMs int64
}

func (p *platform) startWorker(m *machine) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		p: p, id: fmt.Sprintf("i-%06d", p.nextWorker()), machine: m, service: m.Pool, addr: l.Addr().String(), born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int64{}, maxHoldMs: p.holdMax.Milliseconds(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.servePoll)
	mux.HandleFunc("POST /pace", w.servePace)
	w.server = &http.Server{Handler: w.guard(mux)}
	go func() { _ = w.server.Serve(l) }()
	go w.loop()
	return w, nil
}

// loop ends runs in time.
func (w *worker) loop() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		w.endDue()
		w.mu.Unlock()
	}
}

// guard answers 421 to a call that is meant for another life.
func (w *worker) guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		ended := w.ended
		w.mu.Unlock()
		if ended {
			panic(http.ErrAbortHandler)
		}
		if x := r.Header.Get("Amberway-Expect-Instance"); x != "" && x != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h.ServeHTTP(rw, r)
	})
}

func (w *worker) clockMs() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) bornMs() int64 { return w.born.UnixMilli() }

func (w *worker) answer(rw http.ResponseWriter, status int, extra map[string]any) {
	b := map[string]any{"clock_ms": w.clockMs(), "born": w.bornMs()}
	for k, v := range extra {
		b[k] = v
	}
	writeJSON(rw, status, b)
}

func (w *worker) reject(rw http.ResponseWriter, reason string) {
	w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
}

// extend extends the lease of all that runs here, which a longer one than allowed is cut to.
func (w *worker) extend(until int64) {
	w.until = max(w.until, min(until, w.clockMs()+w.maxHoldMs))
}

func (w *worker) used() capacity {
	var c capacity
	for _, r := range w.runs {
		c = c.plus(r.step.need())
	}
	return c
}

type startOrder struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"until_ms"`
	Fence    int64  `json:"fence"`
	Snapshot string `json:"snapshot"`
	Ticket   string `json:"ticket"`
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var q startOrder
	if !decode(rw, r, &q) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDue()
	k, ok := parseTask(q.Task)
	j := w.p.jobs.find(k.job)
	old := w.runs[q.Task]
	switch {
	case w.ended:
		panic(http.ErrAbortHandler)
	case !ok:
		rw.WriteHeader(http.StatusBadRequest)
	case q.Fence < w.fence:
		w.reject(rw, "fence")
	case old != nil && old.number == q.Run:
		w.answer(rw, http.StatusOK, nil)
	case q.Run <= w.highest[q.Task]:
		w.fence = q.Fence
		w.extend(q.UntilMs)
		w.reject(rw, "old")
	case q.UntilMs <= w.clockMs():
		w.reject(rw, "late")
	case j == nil || k.step >= len(j.Steps) || k.index >= j.Steps[k.step].Count:
		w.p.checks.broke("UNASKED", "%s run %d was started on %s, and no client has sent it", q.Task, q.Run, w.id)
		rw.WriteHeader(http.StatusBadRequest)
	case j.needsTicket && !w.p.adviser.accepts(k, w.id, q.Ticket):
		w.fence = q.Fence
		w.extend(q.UntilMs)
		w.p.checks.rejected(q.Task, "ticket")
		w.reject(rw, "ticket")
	case !w.used().plus(j.Steps[k.step].need()).within(w.machine.Capacity):
		w.fence = q.Fence
		w.extend(q.UntilMs)
		w.reject(rw, "room")
	default:
		w.fence = q.Fence
		w.extend(q.UntilMs)
		w.highest[q.Task] = q.Run
		w.begin(k, j, q)
		w.answer(rw, http.StatusOK, nil)
	}
}

// begin starts a run. The caller holds w.mu.
func (w *worker) begin(k taskName, j *jobSpec, q startOrder) {
	s := &j.Steps[k.step]
	o := &run{task: k, number: q.Run, job: j, step: s, startedAt: time.Now(), brought: q.Snapshot, saved: q.Snapshot}
	o.resumed = j.parseSnapshot(q.Snapshot)
	w.runs[q.Task] = o
	w.p.checks.started(w, o, q)
	w.p.logf("start %s run %d on %s, snapshot %q", q.Task, q.Run, w.id, q.Snapshot)
	if s.Gang {
		w.p.gangs.join(o)
		return
	}
	o.workingFrom = o.startedAt
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Task  string `json:"task"`
		Run   int64  `json:"run"`
		Fence int64  `json:"fence"`
	}
	if !decode(rw, r, &q) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.Fence < w.fence {
		w.reject(rw, "fence")
		return
	}
	w.fence = q.Fence
	w.highest[q.Task] = max(w.highest[q.Task], q.Run)
	if o := w.runs[q.Task]; o != nil && o.number == q.Run && o.stopsAt.IsZero() {
		o.stopsAt = time.Now().Add(w.p.stopTime)
		o.save(o.work())
	}
	w.answer(rw, http.StatusOK, nil)
}

func (w *worker) servePace(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer(rw, http.StatusOK, nil)
}

func (w *worker) servePoll(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		UntilMs  int64 `json:"until_ms"`
		Fence    int64 `json:"fence"`
		LastSeen int64 `json:"last_seen"`
		WaitMs   int64 `json:"wait_ms"`
	}
	if !decode(rw, r, &q) {
		return
	}
	end := time.Now().Add(time.Duration(min(q.WaitMs, 2000)) * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.Fence < w.fence {
		w.reject(rw, "fence")
		return
	}
	w.fence = q.Fence
	w.extend(q.UntilMs)
	w.endDue()
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= q.LastSeen {
		w.p.checks.noted(w, w.ends[0], w.lapsedAt)
		w.ends = w.ends[1:]
	}
	for len(w.ends) == 0 && time.Now().Before(end) && !w.ended {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		w.endDue()
	}
	if w.ended {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, o := range w.runs {
		running = append(running, []any{o.task.String(), o.number, o.saved, o.percent(), o.step.CPU})
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": slices.Clone(w.ends[:min(len(w.ends), maxListedEnds)])})
}

// work returns how much of its task the run has done.
func (o *run) work() time.Duration {
	if o.workingFrom.IsZero() {
		return o.resumed
	}
	return o.resumed + time.Since(o.workingFrom)
}

func (o *run) percent() int {
	if o.step.Daemon {
		return int(min(100, 100*o.work()/max(1, o.step.work)))
	}
	return int(min(99, 100*o.work()/max(1, o.step.work)))
}

// save renews the snapshot, if the step has any.
func (o *run) save(work time.Duration) {
	if o.step.Checkpoint && work > o.resumed {
		o.saved = o.job.snapshot(work)
	}
}

// endDue ends the runs that are due to end, and saves the others' work. The caller holds w.mu.
func (w *worker) endDue() {
	lapsed := w.until > 0 && w.clockMs() > w.until
	if lapsed {
		w.lapsedAt = time.Now()
	}
	for _, o := range w.runs {
		if how := w.outcome(o, lapsed); how != "" {
			w.end(o, how)
			continue
		}
		if !o.workingFrom.IsZero() {
			o.save(o.work().Truncate(w.p.saveEvery))
		}
	}
}

func (w *worker) outcome(o *run, lapsed bool) string {
	switch {
	case lapsed:
		return "lapsed"
	case !o.stopsAt.IsZero():
		if time.Now().After(o.stopsAt) {
			return "stopped"
		}
		return ""
	case o.step.Gang && o.workingFrom.IsZero():
		return w.p.gangs.waiting(o)
	case o.step.Gang && w.p.gangs.isBroken(o):
		return "broken"
	case !o.step.Daemon && o.step.work > 0 && o.work() >= o.step.work:
		return "done"
	}
	return ""
}

// end ends a run. The caller holds w.mu.
func (w *worker) end(o *run, how string) {
	delete(w.runs, o.task.String())
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, o.task.String(), o.number, how, o.saved})
	w.p.checks.ended(w, o, how)
	w.p.logf("end %s run %d on %s: %s, saved %q", o.task, o.number, w.id, how, o.saved)
	if o.step.Gang && how != "done" {
		w.p.gangs.breakUp(o)
	}
}

// kill ends the worker at once.
func (w *worker) kill() {
	w.mu.Lock()
	w.ended = true
	runs := w.runs
	w.runs = map[string]*run{}
	w.mu.Unlock()
	_ = w.server.Close()
	for _, o := range runs {
		w.p.checks.ended(w, o, "gone")
		w.p.logf("gone %s run %d with %s", o.task, o.number, w.id)
		if o.step.Gang {
			w.p.gangs.breakUp(o)
		}
	}
}

// record is the worker's record in the store.
func (w *worker) record() map[string]any {
	return map[string]any{
		"service": w.service, "addr": w.addr, "zone": w.machine.Zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq": 1, "born": w.bornMs(), "machine": w.machine.Name, "capacity": w.machine.Capacity, "labels": w.machine.Labels,
	}
}

func decode(rw http.ResponseWriter, r *http.Request, v any) bool {
	if json.NewDecoder(r.Body).Decode(v) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v)
}
