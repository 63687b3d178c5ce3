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

// limitCause says why admission is limited.
type limitCause string

const (
	// causeSend: the owner cannot send the starts in time. Policies of earlier versions have
	// this cause only, and do not name it.
	causeSend limitCause = "send"
	// causeRoom: the hosts of the pool cannot run the tasks in time.
	causeRoom limitCause = "room"
)

// Admission says which jobs are accepted.
type Admission struct {
	// Fraction is the admitted fraction of the jobs, from 0 to 1.
	Fraction float64 `json:"s,omitempty"`
	// RetryAfter is how long callers of refused jobs wait before they retry.
	RetryAfter time.Duration `json:"w"`
	// RiseTime is the time in which Fraction is expected to rise to 1 after that.
	RiseTime time.Duration `json:"u,omitempty"`
	Cause    limitCause    `json:"c,omitempty"`
	// SendRefused is the fraction that is refused by send rate of the jobs that are not
	// limited by capacity, if the cause is causeRoom.
	SendRefused float64 `json:"x,omitempty"`
	// overloaded says that a limit was exceeded at the last evaluation.
	overloaded bool
}

// valid reports whether the limit is in range.
func (a Admission) valid() bool {
	return isFraction(a.Fraction) && isFraction(a.SendRefused) && a.RetryAfter >= 0 && a.RiseTime >= 0
}

func isFraction(f float64) bool {
	return f >= 0 && f <= 1
}

// bySendRate returns the limit by send rate alone, which is no limit if the fraction is 1.
func (a Admission) bySendRate() Admission {
	if a.Cause != causeRoom {
		return a
	}
	return Admission{Fraction: 1 - a.SendRefused, Cause: causeSend}
}

// combine returns the lower of the limits by send rate and by capacity.
func (a Admission) combine(l capacityLimit) Admission {
	a.Cause = causeSend
	if !l.inForce() || a.Fraction < l.fraction {
		return a
	}
	return Admission{Fraction: l.fraction, RetryAfter: l.wait, RiseTime: l.riseTime(), Cause: causeRoom, SendRefused: 1 - a.Fraction}
}

// admits reports whether a job is admitted, given the admitted fraction of its team's jobs.
// It decides by a hash of the id: every entry host gives the same answer each time, so that
// retries do not raise the admitted fraction, and a job once admitted stays so as it grows.
func (a Admission) admits(id ID, teamFraction float64) bool {
	return place(id) < a.Fraction*teamFraction
}

// place returns the place of a job, from 0 to 1, in the order in which jobs are admitted as the
// fraction rises.
func place(id ID) float64 {
	return float64(xxhash.Sum64String(string(id))) / math.MaxUint64
}

// retryAfter returns how long the caller of a refused job waits before it retries: until its place
// is expected to be admitted. Retries then come in the order in which capacity becomes free.
func (a Admission) retryAfter(id ID) time.Duration {
	beyond := place(id) - a.Fraction
	if beyond <= 0 {
		return a.RetryAfter
	}
	return a.RetryAfter + time.Duration(beyond/(1-a.Fraction)*float64(a.RiseTime))
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

// minWaitChange is the smallest change of a wait for hosts that is published, beside a quarter
// of the wait.
const minWaitChange = 500 * time.Millisecond

// differs reports whether the other admission is different enough to be published.
func (a Admission) differs(o Admission) bool {
	if a.Cause == causeRoom && (a.RetryAfter-o.RetryAfter).Abs() > max(minWaitChange, o.RetryAfter/4) {
		return true
	}
	return a.Cause != o.Cause || fractionsDiffer(a.Fraction, o.Fraction) || fractionsDiffer(a.SendRefused, o.SendRefused)
}

func fractionsDiffer(x, y float64) bool {
	return math.Abs(x-y) > minFraction || (x == 0) != (y == 0)
}
