package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// adviceTimes are those of a queue whose policy lets only some workers run a step.
type adviceTimes struct {
	DecideMs int64 `json:"decide_ms"`
	EachMs   int64 `json:"each_ms"`
	ValidMs  int64 `json:"valid_ms"`
}

// adviser is the advice service. It works on one call at a time, as there is one owner at a time, and
// its answer for a step and a worker does not change.
type adviser struct {
	mu    sync.Mutex
	times adviceTimes
	until map[string]time.Time
	calls int
}

func newAdviser(t adviceTimes) *adviser {
	return &adviser{times: t, until: map[string]time.Time{}}
}

// good reports whether a worker may run the step: three of four may.
func (a *adviser) good(step, worker string) bool {
	sum := 0
	for _, b := range []byte(step + worker) {
		sum = sum*31 + int(b)
	}
	return sum%4 != 0
}

func (a *adviser) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/advise" || !decode(rw, r, &q) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	time.Sleep(time.Duration(a.times.DecideMs+int64(len(q.Workers))*a.times.EachMs) * time.Millisecond)
	good := [][2]string{}
	for _, w := range q.Workers {
		if a.good(q.Step, w) {
			t := fmt.Sprintf("t-%d-%s", a.calls, w)
			a.until[q.Step+" "+t] = time.Now().Add(time.Duration(a.times.ValidMs) * time.Millisecond)
			good = append(good, [2]string{w, t})
		}
	}
	writeJSON(rw, http.StatusOK, map[string]any{"good": good, "valid_ms": a.times.ValidMs})
}

// accepts reports whether the ticket permits a start of the task on the worker.
func (a *adviser) accepts(k taskName, worker, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.until[fmt.Sprintf("%s.%d.%d %s", k.job, k.instance, k.step, ticket)]
	return ok && strings.HasSuffix(ticket, "-"+worker) && time.Now().Before(until)
}
