package fleet

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// maxListedEnds is the most ends that a worker lists in one answer.
const maxListedEnds = 500

// worker is one incarnation of a worker.
type worker struct {
	id      string
	pool    string
	machine *Machine
	server  *httptest.Server
	// crash crashes the worker, as its tasks may do.
	crash     func()
	listener  *faultyListener
	checker   *Checker
	startedAt time.Time
	// reportedStart is the time of its start by its machine's clock, which may be wrong.
	reportedStart time.Time
	mu            sync.Mutex
	stopped       bool
	silent        bool
	// leaving says that its machine is being removed.
	leaving bool
	// orderDelay returns how long an order is delayed; nil delays none.
	orderDelay func() time.Duration
	fence      int64
	leaseUntil int64
	runs       map[string]*run
	highestRun map[string]int64
	endedRuns  [][]any
	// lastVoidEnd is the number of the last end before the lease of a run expired. The
	// acknowledgement of an end up to it does not count. Without any run, an expiry is not noticed.
	lastVoidEnd int64
	lastEnd     int64
	changed     chan struct{}
}

// newWorker returns a worker that listens at the address and has just started. Its
// machine's clock is off by clockOff.
func newWorker(id, address string, clockOff time.Duration, m *Machine, c *Checker) (*worker, error) {
	l, err := newFaultyListener(address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, pool: m.Pool, machine: m, listener: l, checker: c, startedAt: time.Now(), reportedStart: time.Now().Add(clockOff),
		runs: map[string]*run{}, highestRun: map[string]int64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.servePoll)
	mux.HandleFunc("POST /pace", w.servePace)
	w.server = &httptest.Server{Listener: l, Config: &http.Server{Handler: w.intercept(mux)}}
	w.server.Start()
	go w.endRunsLoop()
	return w, nil
}

// endRunsLoop ends runs in time, even if no calls come.
func (w *worker) endRunsLoop() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		done := w.stopped
		if !done {
			w.endDueRuns()
		}
		w.mu.Unlock()
		if done {
			return
		}
	}
}

// end ends the worker and all its runs.
func (w *worker) end() {
	w.endRuns()
	_ = w.listener.Close()
	w.server.CloseClientConnections()
	go w.server.Close()
}

func (w *worker) endRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for t, r := range w.runs {
		w.checker.recordEnd(t, r.number, "gone")
	}
	w.runs = map[string]*run{}
}

func (w *worker) clockMs() int64 {
	return time.Since(w.startedAt).Milliseconds()
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMs(), "reason": reason})
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Task    string `json:"task"`
		Run     int64  `json:"run"`
		Spec    string `json:"spec"`
		UntilMs int64  `json:"until_ms"`
		Fence   int64  `json:"fence"`
	}
	if !decode(rw, r, &q) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	switch o := w.runs[q.Task]; {
	case w.stopped:
		rw.WriteHeader(http.StatusServiceUnavailable)
	case q.Fence < w.fence:
		w.refuse(rw, "fence")
	case o != nil && o.number == q.Run:
		writeJSON(rw, http.StatusOK, map[string]int64{"clock_ms": w.clockMs()})
	case q.Run <= w.highestRun[q.Task]:
		w.refuse(rw, "old")
	case q.UntilMs <= w.clockMs():
		w.refuse(rw, "late")
	default:
		w.fence = q.Fence
		w.leaseUntil = max(w.leaseUntil, q.UntilMs)
		w.highestRun[q.Task] = q.Run
		b := parseBehaviour(q.Spec)
		w.runs[q.Task] = newRun(q.Run, b)
		if b.crashes {
			time.AfterFunc(crashDelay, w.crash)
		}
		w.checker.recordStart(q.Task, q.Run, w.id, w.machine.Zone, r.Header.Get(delayedHeader) != "")
		writeJSON(rw, http.StatusOK, map[string]int64{"clock_ms": w.clockMs()})
	}
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
		w.refuse(rw, "fence")
		return
	}
	w.fence = q.Fence
	w.highestRun[q.Task] = max(w.highestRun[q.Task], q.Run)
	if o := w.runs[q.Task]; o != nil && o.number == q.Run {
		w.stop(q.Task, o, r.Header.Get(delayedHeader) != "")
	}
	writeJSON(rw, http.StatusOK, map[string]int64{"clock_ms": w.clockMs()})
}

func (w *worker) servePace(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, map[string]int64{"clock_ms": w.clockMs()})
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
	end := time.Now().Add(time.Duration(q.WaitMs) * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.Fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.endDueRuns()
	w.fence = q.Fence
	w.leaseUntil = max(w.leaseUntil, q.UntilMs)
	for len(w.endedRuns) > 0 {
		if n, _ := w.endedRuns[0][0].(int64); n > q.LastSeen {
			break
		}
		if n, _ := w.endedRuns[0][0].(int64); n > w.lastVoidEnd {
			w.checker.recordAck(fmt.Sprint(w.endedRuns[0][1]), fmt.Sprint(w.endedRuns[0][3]))
		}
		w.endedRuns = w.endedRuns[1:]
	}
	for len(w.endedRuns) == 0 && time.Now().Before(end) && !w.stopped {
		w.yieldLock()
		w.endDueRuns()
	}
	if w.stopped || w.silent {
		w.mu.Unlock()
		defer w.mu.Lock()
		w.dropCall(r)
	}
	running := [][]any{}
	for t, o := range w.runs {
		running = append(running, []any{t, o.number, "", o.percent(), 0})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"born": w.reportedStart.UnixMilli(), "clock_ms": w.clockMs(), "running": running, "ended": w.endedRuns[:min(len(w.endedRuns), maxListedEnds)]})
}

// yieldLock releases the lock for a moment.
func (w *worker) yieldLock() {
	w.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	w.mu.Lock()
}

func (w *worker) address() string {
	return strings.TrimPrefix(w.server.URL, "http://")
}

// record returns the worker's record in the store.
func (w *worker) record(draining bool) map[string]any {
	state := "ready"
	if draining {
		state = "draining"
	}
	return map[string]any{
		"service": w.pool, "addr": w.address(), "zone": w.machine.Zone, "state": state, "machine": w.machine.Name,
		"slots": 8, "seq": 1, "born": w.reportedStart.UnixMilli(), "capacity": w.machine.Capacity, "labels": w.machine.Labels, "version": fmt.Sprint("v", 1),
	}
}
