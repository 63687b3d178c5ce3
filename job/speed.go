package job

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Figures of judging a host's own speed.
const (
	// speedSampleBytes is the work of one sample, in bytes that are hashed: some tens
	// of microseconds.
	speedSampleBytes = 64 << 10
	// speedSamples is how many samples the present speed is taken from. The
	// best of them counts, as the others may have been interrupted.
	speedSamples = 3
	// slowFactor is how many times slower than at its best a host has to be to
	// leave ownership to others.
	slowFactor = 3
)

// speedMonitor measures how fast the host runs, against its own best.
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

// sample measures once.
func (s *speedMonitor) sample() {
	begun := s.now()
	sum := xxhash.Sum64(s.block)
	s.add(s.now().Sub(begun) + time.Duration(sum&1))
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

// slow reports whether the host runs much slower than it can.
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

// whySlow is the reason of an owner whose host has become slow.
const whySlow = "this host has become slow"
