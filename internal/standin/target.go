package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amberway/common"
)

// Headers with which a caller controls a target.
const (
	// HeaderRunTime is how long the run takes, as a Go duration.
	HeaderRunTime = "Standin-Run"
	// HeaderPadding is how many padding bytes the answer ends with.
	HeaderPadding = "Standin-Size"
)

// RunStats counts what a target has run.
type RunStats struct {
	// ByID counts the runs of each request id.
	ByID map[string]int `json:"by_id"`
	// MaxConcurrent is the highest number of runs at the same time.
	MaxConcurrent int `json:"most"`
	// OverLimit counts runs that started while all slots were taken.
	OverLimit int `json:"over"`
	// LastStart is when the last run started.
	LastStart time.Time `json:"last"`
}

// Target is a stand-in for a target: a back end that runs requests.
type Target struct {
	Name    string
	Slots   int
	RunTime time.Duration
	Faults  *Faults

	mu     sync.Mutex
	active int
	runs   RunStats
}

// NewTarget returns a target with a number of slots and a default run time.
func NewTarget(name string, slots int, run time.Duration) *Target {
	return &Target{
		Name:    name,
		Slots:   slots,
		RunTime: run,
		Faults:  NewFaults(),
		runs:    RunStats{ByID: map[string]int{}},
	}
}

// Handler serves runs, and endpoints under /standin/ that control the target.
func (t *Target) Handler() http.Handler {
	m := http.NewServeMux()
	m.Handle("POST /standin/faults", t.Faults)
	m.HandleFunc("GET /standin/runs", t.listRuns)
	m.Handle("/", t.Faults.Wrap(All, http.HandlerFunc(t.run)))
	return m
}

// Runs returns what the target has run so far.
func (t *Target) Runs() RunStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runs
	r.ByID = map[string]int{}
	for k, v := range t.runs.ByID {
		r.ByID[k] = v
	}
	return r
}

func (t *Target) listRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.Runs())
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	f := t.Faults.Get(All)
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(common.HeaderRequestID)
	t.begin(id)
	defer t.end()
	if f.Hang {
		<-r.Context().Done()
		return
	}
	if f.FailAll || (f.FailPrefix != "" && strings.HasPrefix(r.URL.Path, f.FailPrefix)) {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	time.Sleep(t.runTime(r))
	t.answer(w, r, id, b, f.TruncateAnswers)
}

func (t *Target) begin(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active >= t.Slots {
		t.runs.OverLimit++
	}
	t.active++
	t.runs.MaxConcurrent = max(t.runs.MaxConcurrent, t.active)
	t.runs.ByID[id]++
	t.runs.LastStart = time.Now()
}

func (t *Target) end() {
	t.mu.Lock()
	t.active--
	t.mu.Unlock()
}

func (t *Target) runTime(r *http.Request) time.Duration {
	if d, err := time.ParseDuration(r.Header.Get(HeaderRunTime)); err == nil {
		return d
	}
	return t.RunTime
}

// answer sends the answer that ExpectedAnswer gives, or half of it.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, id string, b []byte, half bool) {
	n, _ := strconv.Atoi(r.Header.Get(HeaderPadding))
	out := ExpectedAnswer(r.URL.Path, b, n)
	w.Header().Set(common.HeaderRequestID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	if !half {
		_, _ = io.WriteString(w, out)
		return
	}
	_, _ = io.WriteString(w, out[:len(out)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// ExpectedAnswer returns the complete answer to a request with the path and the body. It
// ends with the given number of padding bytes.
func ExpectedAnswer(path string, body []byte, padding int) string {
	return fmt.Sprintf("%s %016x %s", path, xxhash.Sum64(body), strings.Repeat("x", padding))
}
