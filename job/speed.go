package job

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the measurement of the host's own speed.
const (
	// speedSampleBytes is how many bytes are hashed for one sample, which takes some tens
	// of microseconds.
	speedSampleBytes = 64 << 10
	// speedSamples is the number of recent samples that determine the present speed. The
	// fastest counts, since the others may have been interrupted.
	speedSamples = 3
	// slowFactor is how many times slower than its best a host has to be to leave
	// ownership to others.
	slowFactor = 3
)

// speedMonitor measures the host's speed relative to its own best.
type speedMonitor struct {
	mu    sync.Mutex
	now   func() time.Time
	block []byte
	last  []time.Duration
	best  time.Duration
}

func newSpeedMonitor(now func() time.Time) *speedMonitor {
	return &speedMonitor{now: now, block: make([]byte, speedSampleBytes)}
}

// sample takes one sample.
func (s *speedMonitor) sample() {
	start := s.now()
	sum := xxhash.Sum64(s.block)
	s.add(s.now().Sub(start) + time.Duration(sum&1))
}

func (s *speedMonitor) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = append(s.last, d)
	if len(s.last) > speedSamples {
		s.last = s.last[1:]
	}
	if s.best == 0 || d < s.best {
		s.best = d
	}
}

// slow reports whether the host is slower than its best by more than slowFactor.
func (s *speedMonitor) slow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.last) < speedSamples {
		return false
	}
	best := s.last[0]
	for _, d := range s.last {
		best = min(best, d)
	}
	return best > slowFactor*s.best
}

// whySlow is the reason for stepping down on a slow host.
const whySlow = "this host has become slow"
