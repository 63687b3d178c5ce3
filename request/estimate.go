package request

import "time"

// gain is the weight of the newest sample in a decayed mean.
const gain = 0.1

// mean is a decayed mean of durations that starts from a declared value. The
// declared value counts as one sample.
type mean struct {
	value time.Duration
	// spread is the decayed mean distance from value.
	spread time.Duration
	known  bool
}

// add takes in one sample.
func (m *mean) add(d time.Duration) {
	if !m.known {
		m.value = (m.value + d) / 2
		m.spread = m.value / 2
		m.known = true
		return
	}
	m.spread += time.Duration(gain * float64((d-m.value).Abs()-m.spread))
	m.value += time.Duration(gain * float64(d-m.value))
}

// spreads is how many spreads above the mean a run is taken to last where it
// has to end in time.
const spreads = 2

// most is how long a run may well last.
func (m *mean) most() time.Duration {
	return m.value + spreads*m.spread
}

// share is a decayed share of successes. It starts at one.
type share struct {
	value   float64
	samples int
}

func newShare() share {
	return share{value: 1}
}

// add takes in one outcome.
func (s *share) add(ok bool) {
	v := 0.0
	if ok {
		v = 1
	}
	s.samples++
	g := max(gain, 1/float64(s.samples+1))
	s.value += g * (v - s.value)
}
