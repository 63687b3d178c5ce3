package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits that the platform's pages give for workers.
const (
	// holdMax is the longest lease that a worker grants: hold_max_ms of melitzana-prod.
	holdMax = 6 * time.Second
	// endsPerAnswer is how many ends one answer lists.
	endsPerAnswer = 500
	// maxWait is the longest time for which a worker holds back an answer.
	maxWait = 2 * time.Second
)

type capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// worker is a stand-in for one worker: it runs tasks under a lease, and lists what runs and what has ended.
type worker struct {
	id, service, zone, machine, rack string
	capacity                         capacity
	listener                         *cutListener
	born                             time.Time
	rec                              *recorder
	log                              *runLog
	// demand returns what a task takes, and for how long it runs.
	demand func(task, spec string) (capacity, time.Duration)

	mu         sync.Mutex
	fence      int64
	leaseUntil int64
	runs       map[string]*workerRun
	highest    map[string]int64
	ended      []workerEnd
	lastEnd    int64
	changed    chan struct{}
	closed     bool
}

type workerRun struct {
	number  int64
	needs   capacity
	started time.Time
	ends    time.Time
}

type workerEnd struct {
	number int64
	task   string
	run    int64
	how    string
}

func (e workerEnd) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{e.number, e.task, e.run, e.how, ""})
}

func startWorker(id, address, service, zone, machine, rack string, c capacity, rec *recorder, log *runLog, demand func(task, spec string) (capacity, time.Duration)) (*worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, machine: machine, rack: rack, capacity: c, listener: newCutListener(l), born: time.Now(), rec: rec, log: log, demand: demand,
		runs: map[string]*workerRun{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /run-start", w.serveStart)
	m.HandleFunc("POST /run-stop", w.serveStop)
	m.HandleFunc("POST /hold", w.serveHold)
	m.HandleFunc("POST /pace", w.servePace)
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if i := r.Header.Get("Amberway-Expect-Instance"); i != "" && i != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		m.ServeHTTP(rw, r)
	})}
	go func() { _ = s.Serve(w.listener) }()
	go w.loop()
	return w, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

// record returns what the worker writes of itself into the store.
func (w *worker) record(seq int) map[string]any {
	return map[string]any{
		"service": w.service, "addr": w.address(), "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": w.capacity, "labels": []string{"a", w.rack}, "machine": w.machine, "born": w.born.UnixMilli(), "seq": seq,
	}
}

// clock returns the worker's own clock.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// loop ends runs that are done, and all runs once the lease is over.
func (w *worker) loop() {
	for range time.Tick(2 * time.Millisecond) {
		w.mu.Lock()
		if w.closed {
			w.mu.Unlock()
			return
		}
		w.endDue()
		w.mu.Unlock()
	}
}

func (w *worker) endDue() {
	now := time.Now()
	lapsed := len(w.runs) > 0 && w.clock() > w.leaseUntil
	if lapsed {
		w.log.lapse(w.id)
		w.rec.printf("%s lease over with %d runs", w.id, len(w.runs))
	}
	for t, r := range w.runs {
		switch {
		case !now.Before(r.ends):
			w.end(t, r, "done")
		case lapsed:
			w.end(t, r, "lapsed")
		}
	}
}

// end ends a run. The caller holds the lock.
func (w *worker) end(task string, r *workerRun, how string) {
	delete(w.runs, task)
	w.lastEnd++
	w.ended = append(w.ended, workerEnd{w.lastEnd, task, r.number, how})
	w.log.end(w.id, task, r.number, w.lastEnd, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) used() capacity {
	var u capacity
	for _, r := range w.runs {
		u.CPU += r.needs.CPU
		u.MemMB += r.needs.MemMB
	}
	return u
}

// extend extends the lease of all runs. It never shortens.
func (w *worker) extend(until int64) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	v := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		v["reason"] = reason
	}
	writeJSON(rw, status, v)
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Task    string `json:"task"`
		Run     int64  `json:"run"`
		Spec    string `json:"spec"`
		UntilMs int64  `json:"until_ms"`
		Fence   int64  `json:"fence"`
	}
	if !readJSON(rw, r, &q) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDue()
	if q.Fence < w.fence {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.fence = q.Fence
	if o := w.runs[q.Task]; o != nil && o.number == q.Run {
		w.answer(rw, http.StatusOK, "")
		return
	}
	needs, work := w.demand(q.Task, q.Spec)
	u := w.used()
	switch {
	case q.UntilMs <= w.clock():
		w.answer(rw, http.StatusConflict, "late")
	case q.Run <= w.highest[q.Task]:
		w.extend(q.UntilMs)
		w.answer(rw, http.StatusConflict, "old")
	case u.CPU+needs.CPU > w.capacity.CPU || u.MemMB+needs.MemMB > w.capacity.MemMB:
		w.extend(q.UntilMs)
		w.answer(rw, http.StatusConflict, "room")
	default:
		w.extend(q.UntilMs)
		w.highest[q.Task] = q.Run
		now := time.Now()
		w.runs[q.Task] = &workerRun{number: q.Run, needs: needs, started: now, ends: now.Add(work)}
		w.log.start(w.id, q.Task, q.Run, q.Fence)
		w.answer(rw, http.StatusOK, "")
	}
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Task  string `json:"task"`
		Run   int64  `json:"run"`
		Fence int64  `json:"fence"`
	}
	if !readJSON(rw, r, &q) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDue()
	if q.Fence < w.fence {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.fence = q.Fence
	w.highest[q.Task] = max(w.highest[q.Task], q.Run)
	if o := w.runs[q.Task]; o != nil && o.number == q.Run {
		w.end(q.Task, o, "stopped")
	}
	w.answer(rw, http.StatusOK, "")
}

func (w *worker) servePace(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer(rw, http.StatusOK, "")
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		UntilMs  int64 `json:"until_ms"`
		Fence    int64 `json:"fence"`
		LastSeen int64 `json:"last_seen"`
		WaitMs   int64 `json:"wait_ms"`
	}
	if !readJSON(rw, r, &q) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDue()
	if q.Fence < w.fence {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.fence = q.Fence
	for len(w.ended) > 0 && w.ended[0].number <= q.LastSeen {
		w.log.ack(w.id, w.ended[0].number)
		w.ended = w.ended[1:]
	}
	w.extend(q.UntilMs)
	until := time.Now().Add(min(maxWait, time.Duration(q.WaitMs)*time.Millisecond))
	for len(w.ended) == 0 && time.Now().Before(until) && !w.closed {
		c := w.changed
		w.mu.Unlock()
		select {
		case <-c:
		case <-r.Context().Done():
		case <-time.After(time.Until(until)):
		}
		w.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
	running := [][]any{}
	for t, o := range w.runs {
		p := int(100 * time.Since(o.started) / o.ends.Sub(o.started))
		running = append(running, []any{t, o.number, "", min(99, p), o.needs.CPU})
	}
	ended := w.ended[:min(len(w.ended), endsPerAnswer)]
	if len(w.ended) > endsPerAnswer {
		w.rec.printf("%s answers a look: %d running, %d of %d ends", w.id, len(running), len(ended), len(w.ended))
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

func readJSON(rw http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", fmt.Sprint(len(b)))
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}

// spread returns a share from 0.7 to 1.3 that depends on the task only: tasks vary, but each takes equally long on all workers.
func spread(task string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return 0.7 + 0.6*float64(h.Sum32()%1000)/1000
}
