package common

import (
	"maps"
	"strings"
	"sync"
)

// TrafficCount counts the calls of one kind and their bytes, headers included. What TCP and
// IP add is not counted.
type TrafficCount struct {
	// Sent and Received are in bytes.
	Calls, Sent, Received int64
}

// Traffic counts calls and their bytes by kind. The kind is the first segment of a call's
// path, of which there are few.
type Traffic struct {
	mu    sync.Mutex
	kinds map[string]TrafficCount
}

// Counts returns the counts so far, by kind.
func (t *Traffic) Counts() map[string]TrafficCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.kinds)
}

func (t *Traffic) add(kind string, sent, received int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kinds == nil {
		t.kinds = map[string]TrafficCount{}
	}
	c := t.kinds[kind]
	c.Calls++
	c.Sent += sent
	c.Received += received
	t.kinds[kind] = c
}

// callKind returns the first segment of a path.
func callKind(path string) string {
	k := strings.TrimPrefix(path, "/")
	if i := strings.IndexAny(k, "/?"); i >= 0 {
		k = k[:i]
	}
	return k
}
