package fleet

import (
	"encoding/json"
	"strings"
	"sync"
	"time"
)

// Fault is what is wrong with the store.
type Fault struct {
	// Refuse answers all calls with 503.
	Refuse bool
	// Lose does what is asked and answers nothing.
	Lose bool
	// Mute leaves watches without an answer; those that wait already hear
	// nothing more either.
	Mute bool
	// Delay comes before each answer.
	Delay time.Duration
}

// Store is a stand-in of the platform's store.
type Store struct {
	mu       sync.Mutex
	fault    Fault
	revision int64
	lease    int64
	items    map[string]item
	leases   map[int64]lease
	history  []item
	// forgotten is the revision up to which the history is gone.
	forgotten int64
	changed   chan struct{}
	closed    chan struct{}
	calls     int64
}

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"made"`
	Lease   int64  `json:"lease"`
	Gone    bool   `json:"gone,omitempty"`
	At      int64  `json:"at,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// historyItems is how many changes a watch may lie behind.
const historyItems = 20000

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{revision: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{}), closed: make(chan struct{})}
	go s.endLeases()
	return s
}

// leaseTick is how late a lease may end.
const leaseTick = 20 * time.Millisecond

// endLeases ends leases in time, also while nobody calls.
func (s *Store) endLeases() {
	t := time.NewTicker(leaseTick)
	defer t.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-t.C:
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}
}

// Close ends the watches that wait.
func (s *Store) Close() {
	close(s.closed)
}

// SetFault switches what is wrong.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns how many calls came.
func (s *Store) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
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

// Remove removes a key as a worker's end does.
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

// Forget drops the history, so that watches have to list anew.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.forgotten = s.revision
}

func (s *Store) put(key string, value []byte, l int64) {
	created := s.revision
	if o, ok := s.items[key]; ok {
		created = o.Created
	}
	s.note(item{Key: key, Value: value, Rev: s.revision, Created: created, Lease: l})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		s.note(item{Key: key, Rev: s.revision, Gone: true})
	}
}

func (s *Store) note(i item) {
	if i.Gone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	if len(s.history) > historyItems {
		s.history = s.history[historyItems/2:]
		s.forgotten = s.history[0].Rev - 1
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that are over.
func (s *Store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

// since returns the changes after a revision, and whether some are forgotten.
func (s *Store) since(prefix string, after int64) ([]item, bool) {
	if after < s.forgotten {
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
