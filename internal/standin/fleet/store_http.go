package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Handler serves the store's API.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-key", s.serveKey)
	m.HandleFunc("GET /kv-range", s.serveRange)
	m.HandleFunc("GET /kv-watch", s.serveWatch)
	m.HandleFunc("POST /kv-txn", s.serveTxn)
	m.HandleFunc("POST /kv-lease", s.serveLease)
	m.HandleFunc("POST /kv-keep/{id}", s.serveLeaseKeepAlive)
	m.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseRevoke)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		s.expireLeases()
		f := s.fault
		s.mu.Unlock()
		time.Sleep(f.Delay)
		switch {
		case f.Refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
		case f.LateWrites > 0 && r.URL.Path == "/kv-txn":
			s.executeLate(m, r, f.LateWrites)
			panic(http.ErrAbortHandler)
		case f.LoseAnswers && r.Method != http.MethodGet:
			m.ServeHTTP(&discardWriter{}, r)
			panic(http.ErrAbortHandler)
		default:
			m.ServeHTTP(w, r)
		}
	})
}

// executeLate executes a call after a delay, if its conditions hold then.
func (s *Store) executeLate(h http.Handler, r *http.Request, after time.Duration) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	late := r.Clone(context.Background())
	late.Body = io.NopCloser(bytes.NewReader(b))
	time.AfterFunc(after, func() { h.ServeHTTP(&discardWriter{}, late) })
}

// discardWriter is a ResponseWriter that discards the answer.
type discardWriter struct{ h http.Header }

// Header is part of http.ResponseWriter.
func (n *discardWriter) Header() http.Header {
	if n.h == nil {
		n.h = http.Header{}
	}
	return n.h
}

// Write is part of http.ResponseWriter.
func (*discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader is part of http.ResponseWriter.
func (*discardWriter) WriteHeader(int) {}

// decode decodes the body of a call into v. If the body is invalid, it answers 400 and
// reports false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(r.Body).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	i.At = s.revision
	writeJSON(w, http.StatusOK, i)
}

// pageSize is how many items a page holds: fewer than the platform's 500, so that
// lists in tests have several pages.
const pageSize = 100

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	l := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			l = append(l, i)
		}
	}
	slices.SortFunc(l, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(l) > pageSize
	writeJSON(w, http.StatusOK, map[string]any{"items": l[:min(len(l), pageSize)], "more": more, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		l, compacted := s.since(q.Get("prefix"), after)
		at, changed := s.revision, s.changed
		hangs := s.fault.HangWatches
		s.mu.Unlock()
		switch {
		case hangs:
			select {
			case <-r.Context().Done():
			case <-s.closed:
			}
			return
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(l) > 0:
			writeJSON(w, http.StatusOK, map[string]any{"events": l, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		case <-end:
			writeJSON(w, http.StatusOK, map[string]any{"events": []item{}, "at": at})
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		IfRev []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"if_rev"`
		Put    []item   `json:"put"`
		Remove []string `json:"remove"`
	}
	if !decode(w, r, &t) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := []item{}
	failed := false
	for _, g := range t.IfRev {
		i, ok := s.items[g.Key]
		failed = failed || i.Rev != g.Rev
		if ok {
			existing = append(existing, i)
		}
	}
	if failed {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": existing})
		return
	}
	for _, p := range t.Put {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, k := range t.Remove {
		s.remove(k)
	}
	for _, p := range t.Put {
		s.put(p.Key, p.Value, p.Lease)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"rev": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if !decode(w, r, &q) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(q.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]int64{"lease": s.lastLease, "ttl_ms": q.TTLMs})
}

func (s *Store) serveLeaseKeepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	writeJSON(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) serveLeaseRevoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.revokeLease(id)
}
