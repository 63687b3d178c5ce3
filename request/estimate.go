package request

import "time"

// ewmaWeight is the weight of the newest sample in a moving average.
const ewmaWeight = 0.1

// ewma is an exponentially weighted moving average of durations. It starts from a
// declared value, which weighs as much as the first sample.
type ewma struct {
	value time.Duration
	// deviation is the moving average of the distance from value.
	deviation time.Duration
	sampled   bool
}

// add adds a sample to the average.
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

// boundDeviations is how many deviations upperBound is above the average.
const boundDeviations = 2

// upperBound returns a pessimistic estimate, for deciding whether a run ends by its
// deadline.
func (m *ewma) upperBound() time.Duration {
	return m.value + boundDeviations*m.deviation
}

// successRate is an exponentially weighted success rate. It starts at one.
type successRate struct {
	value   float64
	samples int
}

func newSuccessRate() successRate {
	return successRate{value: 1}
}

// add adds an outcome to the rate.
func (s *successRate) add(ok bool) {
	v := 0.0
	if ok {
		v = 1
	}
	s.samples++
	g := max(ewmaWeight, 1/float64(s.samples+1))
	s.value += g * (v - s.value)
}
