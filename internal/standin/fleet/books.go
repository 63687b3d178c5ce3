package fleet

import (
	"fmt"
	"sync"
)

// Books notes what workers did, and which promises that broke.
type Books struct {
	mu     sync.Mutex
	going  map[string]string
	done   map[string]bool
	broken []string
	starts int
}

// NewBooks returns empty books.
func NewBooks() *Books {
	return &Books{going: map[string]string{}, done: map[string]bool{}}
}

func (b *Books) began(task string, number int64, worker string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	if o, ok := b.going[task]; ok {
		b.broken = append(b.broken, fmt.Sprintf("%s run %d began on %s while it ran on %s", task, number, worker, o))
	}
	b.going[task] = worker
}

func (b *Books) ended(task string, _ int64, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.going, task)
	if how == "done" {
		b.done[task] = true
	}
}

// Broken returns the promises that were broken.
func (b *Books) Broken() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.broken...)
}

// Starts returns how many runs began.
func (b *Books) Starts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts
}

// Done reports whether the task has ended well.
func (b *Books) Done(task string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done[task]
}

// Running returns how many tasks run.
func (b *Books) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.going)
}
