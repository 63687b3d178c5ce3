package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"amberway/internal/standin/fleet"
)

// maxPageBytes is the most bytes of values in one page of a list: "about 500 or 1 MB at most".
const maxPageBytes = 1 << 20

// history is how long the store keeps its history, as on the small deployments.
const history = 20 * time.Second

// storeFront serves the store's API, and limits what the project's stand-in does not: the bytes
// in one page of a list. It may lose answers of writes.
type storeFront struct {
	inner  http.Handler
	server *httptest.Server
	mu     sync.Mutex
	// loseShare is the share of writes that get no answer and are done late.
	loseShare float64
	lost      int
}

func newStoreFront(s *fleet.Store) *storeFront {
	f := &storeFront{inner: s.Handler()}
	f.server = httptest.NewServer(f)
	return f
}

func (f *storeFront) address() string {
	return strings.TrimPrefix(f.server.URL, "http://")
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/kv-txn" && f.drawLoss():
		f.doLate(r)
	case r.URL.Path != "/kv-range":
		f.inner.ServeHTTP(w, r)
	default:
		f.servePage(w, r)
	}
}

// setLoss sets the share of writes whose answers are lost.
func (f *storeFront) setLoss(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseShare = share
}

// losses returns how many answers were lost.
func (f *storeFront) losses() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

func (f *storeFront) drawLoss() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rand.Float64() >= f.loseShare {
		return false
	}
	f.lost++
	return true
}

// doLate does a write 1 to 6 s later, and answers nothing.
func (f *storeFront) doLate(r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err == nil {
		time.AfterFunc(time.Second+rand.N(5*time.Second), func() {
			q := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(b))
			f.inner.ServeHTTP(httptest.NewRecorder(), q)
		})
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// servePage serves one page of a list.
func (f *storeFront) servePage(w http.ResponseWriter, r *http.Request) {
	rec := httptest.NewRecorder()
	f.inner.ServeHTTP(rec, r)
	var p struct {
		Items []json.RawMessage `json:"items"`
		More  bool              `json:"more"`
		At    int64             `json:"at"`
	}
	if rec.Code != http.StatusOK || json.Unmarshal(rec.Body.Bytes(), &p) != nil {
		w.WriteHeader(rec.Code)
		return
	}
	size := 0
	for i, v := range p.Items {
		size += len(v) * 3 / 4
		if i > 0 && size > maxPageBytes {
			p.Items, p.More = p.Items[:i], true
			break
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p)
}
