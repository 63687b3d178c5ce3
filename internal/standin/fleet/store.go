package fleet

import (
	"encoding/json"
	"strings"
	"sync"
	"time"
)

// StoreFault is a fault that is injected into the store.
type StoreFault struct {
	// Refuse answers all calls with 503.
	Refuse bool
	// LoseAnswers executes writes and drops the connection instead of answering.
	LoseAnswers bool
	// LateWrites, if not zero, executes writes that much later, without an answer.
	LateWrites time.Duration
	// HangWatches leaves watches without an answer; those that already wait get no
	// more events either.
	HangWatches bool
	// Delay is how long each call is delayed.
	Delay time.Duration
}

// Store is a stand-in for the platform's store.
type Store struct {
	mu        sync.Mutex
	fault     StoreFault
	revision  int64
	lastLease int64
	items     map[string]item
	leases    map[int64]lease
	history   []item
	// compactedTo is the revision up to which the history has been dropped.
	compactedTo int64
	changed     chan struct{}
	closed      chan struct{}
	calls       int64
}

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"made"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"gone,omitempty"`
	At      int64  `json:"at,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// maxHistory is how many changes the history may hold. Beyond that, the older half is dropped.
const maxHistory = 20000

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{revision: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{}), closed: make(chan struct{})}
	go s.expireLoop()
	return s
}

// leaseCheckInterval bounds how late a lease expires.
const leaseCheckInterval = 20 * time.Millisecond

// expireLoop expires leases in time, even if no calls come.
func (s *Store) expireLoop() {
	t := time.NewTicker(leaseCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-t.C:
			s.mu.Lock()
			s.expireLeases()
			s.mu.Unlock()
		}
	}
}

// Close ends the watches that wait, and the expiry of leases.
func (s *Store) Close() {
	close(s.closed)
}

// SetFault sets the fault of the store; a zero StoreFault ends it.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns how many calls the store has received.
func (s *Store) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// HasLease reports whether the lease exists. It works while the store has a fault.
func (s *Store) HasLease(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	_, ok := s.leases[id]
	return ok
}

// Put writes a key as the operator or a worker does.
func (s *Store) Put(key string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, b, 0)
	return nil
}

// Remove removes a key, as happens at the end of a worker.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// Value returns the value of a key, and false if there is none.
func (s *Store) Value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

// Replaced returns the value of a key, and whether it was written over an earlier one.
func (s *Store) Replaced(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[key]
	return i.Value, i.Created != i.Rev
}

// Compact drops the history, so that watches have to list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedTo = s.revision
}

func (s *Store) put(key string, value []byte, l int64) {
	created := s.revision
	if o, ok := s.items[key]; ok {
		created = o.Created
	}
	s.apply(item{Key: key, Value: value, Rev: s.revision, Created: created, Lease: l})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		s.apply(item{Key: key, Rev: s.revision, Deleted: true})
	}
}

func (s *Store) apply(i item) {
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	if len(s.history) > maxHistory {
		s.history = s.history[maxHistory/2:]
		s.compactedTo = s.history[0].Rev - 1
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases whose time has passed.
func (s *Store) expireLeases() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.revokeLease(id)
		}
	}
}

func (s *Store) revokeLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

// since returns the changes after a revision, and whether some have been dropped.
func (s *Store) since(prefix string, after int64) ([]item, bool) {
	if after < s.compactedTo {
		return nil, true
	}
	var l []item
	for _, i := range s.history {
		if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
			l = append(l, i)
		}
	}
	return l, false
}
