package request

import "time"

// ewmaWeight is the weight of the newest sample in a decayed mean.
const ewmaWeight = 0.1

// ewma is a decayed mean of durations that starts from a declared value. The
// declared value counts as one sample.
type ewma struct {
	value time.Duration
	// deviation is the decayed mean distance from value.
	deviation time.Duration
	sampled   bool
}

// add takes in one sample.
func (m *ewma) add(d time.Duration) {
	if !m.sampled {
		m.value = (m.value + d) / 2
		m.deviation = m.value / 2
		m.sampled = true
		return
	}
	m.deviation += time.Duration(ewmaWeight * float64((d-m.value).Abs()-m.deviation))
	m.value += time.Duration(ewmaWeight * float64(d-m.value))
}

// boundDeviations is how many spreads above the mean a run is taken to last where it
// has to end in time.
const boundDeviations = 2

// upperBound is how long a run may well last.
func (m *ewma) upperBound() time.Duration {
	return m.value + boundDeviations*m.deviation
}

// successRate is a decayed share of successes. It starts at one.
type successRate struct {
	value   float64
	samples int
}

func newSuccessRate() successRate {
	return successRate{value: 1}
}

// add takes in one outcome.
func (s *successRate) add(ok bool) {
	v := 0.0
	if ok {
		v = 1
	}
	s.samples++
	g := max(ewmaWeight, 1/float64(s.samples+1))
	s.value += g * (v - s.value)
}
