package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stepSpec is a step of a job as a client sends it.
type stepSpec struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMB        int64  `json:"mem_mb,omitempty"`
	EstimateMs   int64  `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Checkpoint   bool   `json:"checkpoint,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Requires     string `json:"requires,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	Daemon       bool   `json:"daemon,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`
	// work is how long a task works; for one that lasts, how long it takes to be at work.
	work time.Duration
}

func (s *stepSpec) need() capacity { return capacity{CPU: s.CPU, MemMB: s.MemMB} }

// jobSpec is a job as a client sends it.
type jobSpec struct {
	Spec       string     `json:"spec"`
	Steps      []stepSpec `json:"steps"`
	Times      int        `json:"times,omitempty"`
	InitialMs  int64      `json:"initial_ms,omitempty"`
	IntervalMs int64      `json:"interval_ms,omitempty"`
	id         string
	// needsTicket says that its queue has carried advice since it was sent.
	needsTicket bool
}

// snapshot is the text of the work that a task has done: its milliseconds, and digits of the job's id.
func (j *jobSpec) snapshot(work time.Duration) string {
	return fmt.Sprintf("%08x%s", work.Milliseconds(), j.id[4:12])
}

func (j *jobSpec) parseSnapshot(s string) time.Duration {
	if len(s) != 16 || s[8:] != j.id[4:12] {
		return 0
	}
	n, err := strconv.ParseInt(s[:8], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// taskName is ID.K.STEP.INDEX.
type taskName struct {
	job                   string
	instance, step, index int
}

func (k taskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", k.job, k.instance, k.step, k.index)
}

func parseTask(s string) (taskName, bool) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return taskName{}, false
	}
	k := taskName{job: p[0]}
	for i, d := range []*int{&k.instance, &k.step, &k.index} {
		n, err := strconv.Atoi(p[i+1])
		if err != nil || n < 0 {
			return taskName{}, false
		}
		*d = n
	}
	return k, true
}

// jobs holds what the clients have sent.
type jobs struct {
	mu   sync.Mutex
	byID map[string]*jobSpec
}

func (l *jobs) add(j *jobSpec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[j.id] = j
}

func (l *jobs) find(id string) *jobSpec {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}
