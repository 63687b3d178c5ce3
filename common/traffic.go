package common

import (
	"maps"
	"strings"
	"sync"
)

// TrafficCount is what calls of one kind have put on the link, headers included. What TCP
// and IP add is not counted.
type TrafficCount struct {
	// Calls counts the calls, Sent and Received their bytes.
	Calls, Sent, Received int64
}

// Traffic counts what calls carry, by kind: the first part of a call's path, of which
// there are few.
type Traffic struct {
	mu    sync.Mutex
	kinds map[string]TrafficCount
}

// Counts returns what has been carried so far, by kind.
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

// callKind returns the first part of a path.
func callKind(path string) string {
	k := strings.TrimPrefix(path, "/")
	if i := strings.IndexAny(k, "/?"); i >= 0 {
		k = k[:i]
	}
	return k
}
