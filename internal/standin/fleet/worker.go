package fleet

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// worker is one life of a worker.
type worker struct {
	id      string
	pool    string
	machine *Machine
	server  *httptest.Server
	// crash ends the life, as its tasks may do.
	crash func()
	gate  *gate
	books *Books
	born  time.Time
	// started is the time of its start by its machine's clock, which may be wrong.
	started time.Time
	mu      sync.Mutex
	over    bool
	silent  bool
	// leaving says that its record tells that it leaves.
	leaving bool
	// late says by how much orders are late, if not nil.
	late    func() time.Duration
	fence   int64
	until   int64
	runs    map[string]*run
	highest map[string]int64
	ended   [][]any
	// voidTo is the last end from before a lapse of the lease: such ends do not
	// count once they are taken note of.
	voidTo  int64
	number  int64
	changed chan struct{}
}

// newWorker returns a worker that listens at the address and has just started by its
// machine's clock, which is off by a little.
func newWorker(id, address string, off time.Duration, m *Machine, b *Books) (*worker, error) {
	g, err := newGate(address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, pool: m.Pool, machine: m, gate: g, books: b, born: time.Now(), started: time.Now().Add(off),
		runs: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.serveHold)
	mux.HandleFunc("POST /pace", w.servePace)
	w.server = &httptest.Server{Listener: g, Config: &http.Server{Handler: w.guard(mux)}}
	w.server.Start()
	go w.work()
	return w, nil
}

// work ends runs in time, also while nobody asks.
func (w *worker) work() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		over := w.over
		if !over {
			w.live()
		}
		w.mu.Unlock()
		if over {
			return
		}
	}
}

// end ends the life and all that runs.
func (w *worker) end() {
	w.endRuns()
	_ = w.gate.Close()
	w.server.CloseClientConnections()
	go w.server.Close()
}

func (w *worker) endRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	for t, r := range w.runs {
		w.books.ended(t, r.number, "gone")
	}
	w.runs = map[string]*run{}
}

func (w *worker) clock() int64 {
	return time.Since(w.born).Milliseconds()
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
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
	w.live()
	switch o := w.runs[q.Task]; {
	case w.over:
		rw.WriteHeader(http.StatusServiceUnavailable)
	case q.Fence < w.fence:
		w.refuse(rw, "fence")
	case o != nil && o.number == q.Run:
		answer(rw, http.StatusOK, map[string]int64{"clock_ms": w.clock()})
	case q.Run <= w.highest[q.Task]:
		w.refuse(rw, "old")
	case q.UntilMs <= w.clock():
		w.refuse(rw, "late")
	default:
		w.fence = q.Fence
		w.until = max(w.until, q.UntilMs)
		w.highest[q.Task] = q.Run
		b := behaviourOf(q.Spec)
		w.runs[q.Task] = newRun(q.Run, b)
		if b.crashes {
			time.AfterFunc(crashesAfter, w.crash)
		}
		w.books.began(q.Task, q.Run, w.id, r.Header.Get(lateHeader) != "")
		answer(rw, http.StatusOK, map[string]int64{"clock_ms": w.clock()})
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
	w.highest[q.Task] = max(w.highest[q.Task], q.Run)
	if o := w.runs[q.Task]; o != nil && o.number == q.Run {
		w.stop(q.Task, o, r.Header.Get(lateHeader) != "")
	}
	answer(rw, http.StatusOK, map[string]int64{"clock_ms": w.clock()})
}

func (w *worker) servePace(rw http.ResponseWriter, _ *http.Request) {
	answer(rw, http.StatusOK, map[string]int64{"clock_ms": w.clock()})
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
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
	w.live()
	if w.until > 0 && w.clock() > w.until {
		w.voidTo = w.number
	}
	w.fence = q.Fence
	w.until = max(w.until, q.UntilMs)
	for len(w.ended) > 0 {
		if n, _ := w.ended[0][0].(int64); n > q.LastSeen {
			break
		}
		if n, _ := w.ended[0][0].(int64); n > w.voidTo {
			w.books.note(fmt.Sprint(w.ended[0][1]), fmt.Sprint(w.ended[0][3]))
		}
		w.ended = w.ended[1:]
	}
	for len(w.ended) == 0 && time.Now().Before(end) && !w.over {
		w.pause()
		w.live()
	}
	if w.over || w.silent {
		w.mu.Unlock()
		defer w.mu.Lock()
		w.mute(r)
	}
	running := [][]any{}
	for t, o := range w.runs {
		running = append(running, []any{t, o.number, "", o.percent(), 0})
	}
	answer(rw, http.StatusOK, map[string]any{"born": w.started.UnixMilli(), "clock_ms": w.clock(), "running": running, "ended": w.ended})
}

// pause lets others in for a moment.
func (w *worker) pause() {
	w.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	w.mu.Lock()
}

func (w *worker) address() string {
	return strings.TrimPrefix(w.server.URL, "http://")
}

// record is what the worker writes to the store of itself.
func (w *worker) record(draining bool) map[string]any {
	state := "ready"
	if draining {
		state = "draining"
	}
	return map[string]any{
		"service": w.pool, "addr": w.address(), "zone": w.machine.Zone, "state": state, "machine": w.machine.Name,
		"slots": 8, "seq": 1, "born": w.started.UnixMilli(), "capacity": w.machine.Capacity, "labels": w.machine.Labels, "version": fmt.Sprint("v", 1),
	}
}
