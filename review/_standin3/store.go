package main

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the removal of one.
type item struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Rev   int64  `json:"rev"`
	Made  int64  `json:"made,omitempty"`
	Lease int64  `json:"lease,omitempty"`
	Gone  bool   `json:"gone,omitempty"`
	At    int64  `json:"at,omitempty"`
	// written is when it was written.
	written time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Limits of the store.
const (
	historyFor = 20 * time.Second
	pageItems  = 500
	pageBytes  = 1 << 20
	valueBytes = 1 << 20
	maxTxn     = 32
	answerTime = 4 * time.Millisecond
)

// store is the platform's store. It keeps its history for historyFor.
type store struct {
	mu        sync.Mutex
	rev       int64
	lastLease int64
	items     map[string]item
	leases    map[int64]lease
	history   []item
	// forgotten is the revision up to which the history is gone.
	forgotten int64
	changed   chan struct{}
}

func newStore() *store {
	s := &store{rev: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// Put writes a key as the operator or a worker does.
func (s *store) Put(key string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, b, 0)
	return nil
}

// Remove removes a key, as happens when a worker has left.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
}

// Value returns the value of a key.
func (s *store) Value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

func (s *store) put(key string, value []byte, l int64) {
	made := s.rev
	if o, ok := s.items[key]; ok {
		made = o.Made
	}
	s.items[key] = item{Key: key, Value: value, Rev: s.rev, Made: made, Lease: l}
	s.note(s.items[key])
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.note(item{Key: key, Rev: s.rev, Gone: true})
	}
}

func (s *store) note(i item) {
	i.written = time.Now()
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases, and forgets old history.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
	n := 0
	for n < len(s.history) && now.Sub(s.history[n].written) > historyFor {
		s.forgotten = s.history[n].Rev
		n++
	}
	s.history = s.history[n:]
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[k].Lease == id {
			s.remove(k)
		}
	}
}

// Handler serves the store's interface.
func (s *store) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-key", s.serveKey)
	m.HandleFunc("GET /kv-range", s.serveRange)
	m.HandleFunc("GET /kv-watch", s.serveWatch)
	m.HandleFunc("POST /kv-txn", s.serveTxn)
	m.HandleFunc("POST /kv-lease", s.serveLease)
	m.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	m.HandleFunc("DELETE /kv-lease-end/{id}", s.serveEnd)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		m.ServeHTTP(rw, r)
	})
}

func (s *store) serveKey(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	i.At = s.rev
	s.mu.Unlock()
	if !ok {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(rw, http.StatusOK, i)
}

func (s *store) serveRange(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	l := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			l = append(l, i)
		}
	}
	at := s.rev
	s.mu.Unlock()
	slices.SortFunc(l, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	n, bytes := 0, 0
	for n < len(l) && n < pageItems && (n == 0 || bytes+len(l[n].Value) <= pageBytes) {
		bytes += len(l[n].Value)
		n++
	}
	writeJSON(rw, http.StatusOK, map[string]any{"items": l[:n], "more": n < len(l), "at": at})
}

func (s *store) serveWatch(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		gone, at, changed := after < s.forgotten, s.rev, s.changed
		l := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				l = append(l, i)
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			rw.WriteHeader(http.StatusGone)
			return
		case len(l) > 0:
			writeJSON(rw, http.StatusOK, map[string]any{"events": l, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			writeJSON(rw, http.StatusOK, map[string]any{"events": l, "at": at})
			return
		}
	}
}

func (s *store) serveTxn(rw http.ResponseWriter, r *http.Request) {
	var t struct {
		IfRev []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"if_rev"`
		Put    []item   `json:"put"`
		Remove []string `json:"remove"`
	}
	if !decode(rw, r, &t) {
		return
	}
	if len(t.IfRev)+len(t.Put)+len(t.Remove) > maxTxn || slices.ContainsFunc(t.Put, func(i item) bool { return len(i.Value) > valueBytes }) {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	there := []item{}
	failed := false
	for _, c := range t.IfRev {
		i, ok := s.items[c.Key]
		failed = failed || i.Rev != c.Rev
		if ok {
			there = append(there, i)
		}
	}
	if failed {
		writeJSON(rw, http.StatusPreconditionFailed, map[string]any{"items": there})
		return
	}
	for _, p := range t.Put {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			rw.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, k := range t.Remove {
		s.remove(k)
	}
	for _, p := range t.Put {
		s.put(p.Key, p.Value, p.Lease)
	}
	writeJSON(rw, http.StatusOK, map[string]int64{"rev": s.rev})
}

func (s *store) serveLease(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if !decode(rw, r, &q) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(q.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = lease{ttl, time.Now().Add(ttl)}
	writeJSON(rw, http.StatusOK, map[string]int64{"lease": s.lastLease, "ttl_ms": q.TTLMs})
}

func (s *store) serveKeep(rw http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	writeJSON(rw, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(rw http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
}
