package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, startedAt: time.Now()}, err
}

// write adds a line with the time since the start of the case in seconds.
func (r *record) write(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, a...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

func (r *record) close() {
	_ = r.file.Close()
}
