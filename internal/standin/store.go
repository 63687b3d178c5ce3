package standin

import (
	"sort"
	"strings"
	"sync"

	"amberway/platform"
)

// Store is a key-value store in memory with compare-and-swap and a history for
// watches.
type Store struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]platform.WireKV
	history  []change
	changed  chan struct{}
}

// change is an event and the revision that it created.
type change struct {
	revision int64
	event    platform.WireEvent
}

// maxHistory is how many changes are kept for watches.
const maxHistory = 10000

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, keys: map[string]platform.WireKV{}, changed: make(chan struct{})}
}

// Range returns the entries from key up to but excluding end, or only that of the key
// if end is empty, and the current revision.
func (s *Store) Range(key, end string) ([]platform.WireKV, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []platform.WireKV
	for k, v := range s.keys {
		if inRange(k, key, end) {
			l = append(l, v)
		}
	}
	sort.Slice(l, func(i, j int) bool { return string(l[i].Key) < string(l[j].Key) })
	return l, s.revision
}

// Txn applies the transaction if all its compares hold. It returns whether they do,
// and the current revision.
func (s *Store) Txn(t platform.WireTxn) (bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Compare {
		if s.keys[string(c.Key)].ModRevision != c.ModRevision {
			return false, s.revision
		}
	}
	s.revision++
	for _, o := range t.Success {
		s.apply(o)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true, s.revision
}

func (s *Store) apply(o platform.WireOp) {
	var e platform.WireEvent
	if o.Put != nil {
		e.KV = platform.WireKV{Key: o.Put.Key, Value: o.Put.Value, ModRevision: s.revision}
		s.keys[string(o.Put.Key)] = e.KV
	}
	if o.Delete != nil {
		e.Type = platform.WireDeleteType
		e.KV = platform.WireKV{Key: o.Delete.Key, ModRevision: s.revision}
		delete(s.keys, string(o.Delete.Key))
	}
	s.history = append(s.history, change{s.revision, e})
	if len(s.history) > maxHistory {
		s.history = s.history[len(s.history)-maxHistory:]
	}
}

// Since returns the events from the revision on, the next revision to ask
// for, and a channel that closes at the next change.
func (s *Store) Since(rev int64, key, end string) ([]platform.WireEvent, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []platform.WireEvent
	for _, c := range s.history {
		if c.revision >= rev && inRange(string(c.event.KV.Key), key, end) {
			l = append(l, c.event)
		}
	}
	return l, s.revision + 1, s.changed
}

func inRange(k, key, end string) bool {
	if end == "" {
		return k == key
	}
	return strings.Compare(k, key) >= 0 && strings.Compare(k, end) < 0
}
