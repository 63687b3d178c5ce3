package job

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load shedding. While more starts are pending than the owner can send, accepting another
// job would only make all of them late, so it is refused at once with a time to retry.
const (
	// limitAboveDelay is the delay of the starts ahead of a new job above which the
	// admitted fraction falls; below growBelowDelay it rises. A job has a second or two
	// beyond its run time, and each of its steps waits. With higher limits, owners behind links
	// of 2 Mbit/s accepted more jobs than they could start in time.
	limitAboveDelay = 1500 * time.Millisecond
	growBelowDelay  = 750 * time.Millisecond
	// maxBacklogDelay limits the delay of all pending starts, including those of jobs that
	// are late already. New jobs go ahead of late ones, but every accepted job has to end:
	// within five seconds if no more arrive.
	maxBacklogDelay = 5 * time.Second
	// fractionDecrease multiplies the admitted fraction at each evaluation under overload,
	// fractionIncrease at each with room to spare; a fraction below minFraction becomes
	// zero. When all jobs or none were admitted, all refused callers came back as soon as a
	// queue accepted jobs again: half a second of arrivals was work for three to six seconds.
	fractionDecrease = 0.4
	fractionIncrease = 1.3
	minFraction      = 0.03
	// recoveryIncrease multiplies the fraction, and recoveryIncrement is added to it, at each
	// evaluation while no start is held back: all jobs are admitted again within two seconds.
	recoveryIncrease  = 2
	recoveryIncrement = 0.1
)

// Admission says which jobs are accepted for the queues of one priority.
type Admission struct {
	// Fraction is the admitted fraction of the jobs, from 0 to 1.
	Fraction float64 `json:"s,omitempty"`
	// RetryAfter is how long callers of refused jobs wait before they retry.
	RetryAfter time.Duration `json:"w"`
	// overloaded says that a limit was exceeded at the last evaluation.
	overloaded bool
}

// admits reports whether a job is admitted, given the admitted fraction of its team's jobs.
// It decides by a hash of the id: every entry host gives the same answer each time, so that
// retries do not raise the admitted fraction, and a job once admitted stays so as it grows.
func (a Admission) admits(id ID, teamFraction float64) bool {
	return float64(xxhash.Sum64String(string(id))) < a.Fraction*teamFraction*math.MaxUint64
}

// adjust returns the admission after an evaluation. ahead is how long it takes to send the
// starts ahead of a new job, all to send every pending start.
func (a Admission) adjust(ahead, all time.Duration) Admission {
	wasOverloaded := a.overloaded
	a.overloaded = ahead > limitAboveDelay || all > maxBacklogDelay
	switch {
	case a.overloaded && a.Fraction == 1 && !wasOverloaded:
		// A single overload, as after a takeover or when the load shifts, is no evidence yet.
	case a.overloaded:
		a.Fraction *= fractionDecrease
		if a.Fraction < minFraction {
			a.Fraction = 0
		}
	case ahead > growBelowDelay:
		// Between the two limits the fraction stays.
	default:
		a.Fraction = min(1, a.Fraction*fractionIncrease+minFraction)
	}
	a.RetryAfter = max(0, ahead-growBelowDelay, all-maxBacklogDelay+growBelowDelay)
	return a
}

// relax returns the admission after an evaluation at which no start was held back.
func (a Admission) relax() Admission {
	a.Fraction = min(1, a.Fraction*recoveryIncrease+recoveryIncrement)
	a.RetryAfter, a.overloaded = 0, false
	return a
}

// differs reports whether the other admission is different enough to be published.
func (a Admission) differs(o Admission) bool {
	return math.Abs(a.Fraction-o.Fraction) > minFraction || (a.Fraction == 0) != (o.Fraction == 0)
}
