package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Fault is what is wrong with a stand-in for now.
type Fault struct {
	// Down drops every connection before anything is done.
	Down bool `json:"down,omitempty"`
	// LoseAnswers does what is asked and drops the connection.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// DelayMs delays every call by so many milliseconds.
	DelayMs int `json:"slow_milliseconds,omitempty"`
	// FailAll answers every run with status 500 at once.
	FailAll bool `json:"fail,omitempty"`
	// FailPrefix answers runs of one path with status 500 at once.
	FailPrefix string `json:"fail_job,omitempty"`
	// TruncateAnswers sends half of each answer and drops the connection.
	TruncateAnswers bool `json:"half,omitempty"`
	// Hang never answers.
	Hang bool `json:"hang,omitempty"`
}

// Faults holds the fault of each named listener; the name "all" is for every
// one.
type Faults struct {
	mu sync.Mutex
	m  map[string]Fault
}

// All names every listener.
const All = "all"

// NewFaults returns no faults.
func NewFaults() *Faults {
	return &Faults{m: map[string]Fault{}}
}

// Set switches the fault of the named listener.
func (f *Faults) Set(name string, v Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.m[name] = v
}

// Get returns the fault of the named listener.
func (f *Faults) Get(name string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.m[All]; v != (Fault{}) {
		return v
	}
	return f.m[name]
}

// ServeHTTP takes a POST of a Fault for the listener named in the query.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var v Fault
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n := r.URL.Query().Get("listener")
	if n == "" {
		n = All
	}
	f.Set(n, v)
}

// Wrap makes the faults of the named listener happen to the handler.
func (f *Faults) Wrap(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v := f.Get(name)
		if v.Down {
			panic(http.ErrAbortHandler)
		}
		if v.DelayMs > 0 {
			time.Sleep(time.Duration(v.DelayMs) * time.Millisecond)
		}
		if v.LoseAnswers {
			h.ServeHTTP(discardWriter{h: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// discardWriter is a ResponseWriter whose answer is lost.
type discardWriter struct {
	h http.Header
}

// Header returns headers that nobody reads.
func (d discardWriter) Header() http.Header {
	return d.h
}

// Write drops the bytes.
func (d discardWriter) Write(b []byte) (int, error) {
	return len(b), nil
}

// WriteHeader drops the status.
func (d discardWriter) WriteHeader(int) {}
