package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Fault is a fault that is injected into a stand-in.
type Fault struct {
	// Down drops every connection without handling the request.
	Down bool `json:"down,omitempty"`
	// LoseAnswers handles each request and drops the connection instead of answering.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// DelayMs delays each request by this many milliseconds.
	DelayMs int `json:"slow_milliseconds,omitempty"`
	// FailAll answers all runs with status 500 at once.
	FailAll bool `json:"fail,omitempty"`
	// FailPrefix answers runs of paths with this prefix with status 500 at once.
	FailPrefix string `json:"fail_job,omitempty"`
	// TruncateAnswers sends half of each answer and drops the connection.
	TruncateAnswers bool `json:"half,omitempty"`
	// Hang leaves all runs without an answer.
	Hang bool `json:"hang,omitempty"`
}

// Faults holds the fault of each named listener. A fault of All applies to every
// listener, in place of its own.
type Faults struct {
	mu sync.Mutex
	m  map[string]Fault
}

// All stands for every listener.
const All = "all"

// NewFaults returns Faults without any fault.
func NewFaults() *Faults {
	return &Faults{m: map[string]Fault{}}
}

// Set sets the fault of the named listener; a zero Fault ends it.
func (f *Faults) Set(name string, v Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.m[name] = v
}

// Get returns the fault that applies to the named listener.
func (f *Faults) Get(name string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.m[All]; v != (Fault{}) {
		return v
	}
	return f.m[name]
}

// ServeHTTP sets the Fault in the body of the request for the listener named in the
// query, or for all.
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

// Wrap applies Down, DelayMs and LoseAnswers of the named listener to the handler.
// The other faults are up to the handler.
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

// discardWriter is a ResponseWriter that discards the answer.
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
