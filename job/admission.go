package job

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Figures of refusing jobs. Where more starts wait than the owner can send, a job that
// comes now only makes all of them late: its caller hears at once when to come back.
const (
	// limitAboveDelay is how long the starts that go before a new job of a queue take to be
	// sent until fewer of its jobs are taken, and openBelow until more are again. A job
	// has a second or two beyond its work, and each of its steps waits. With 4 and 2 s,
	// and 10 s of all that was taken, callers of small fleets behind 2 Mbit/s waited in
	// vain for 0.40 of their jobs, and 27 of 48 days broke a promise; with these 0.22
	// and 16, with 0.16 more refused at once and 0.008 more served.
	limitAboveDelay = 1500 * time.Millisecond
	growBelowDelay  = 750 * time.Millisecond
	// maxBacklogDelay is the same with the jobs that are late already. New ones go before
	// these, but all that were taken have to end: within five seconds, should nothing
	// new come.
	maxBacklogDelay = 5 * time.Second
	// fractionDecrease is what remains of the share that is taken at each judgement of a full
	// queue, shareUp what it grows by where there is room, and leastShare the least that
	// it is. With all or nothing, callers who had been told to come back came at once as
	// a queue opened, half a second brought work for three to six, and small fleets
	// behind 2 Mbit/s served 0.31 of their work and 0.22 in vain; with a share 0.35 and
	// 0.13, over 48 days.
	fractionDecrease = 0.4
	fractionIncrease = 1.3
	minFraction      = 0.03
	// recoveryIncrease and openLeast are the same where nothing was held back any more: all are
	// taken again after two seconds.
	recoveryIncrease  = 2
	recoveryIncrement = 0.1
)

// Admission is what is taken of the queues of one priority.
type Admission struct {
	// Fraction is the share of the jobs that are taken, from 0 to 1.
	Fraction float64 `json:"s,omitempty"`
	// RetryAfter is how long the callers of the others are to stay away.
	RetryAfter time.Duration `json:"w"`
	// overloaded says that more waited than is borne at the last judgement.
	overloaded bool
}

// admits reports whether a job is among those that are taken, where only a part of them is
// of its team's. The same ones are, whichever entry host is asked and however often, so that callers who come back do not add to what
// is taken; as the share grows, those stay and others are added.
func (a Admission) admits(id ID, part float64) bool {
	return float64(xxhash.Sum64String(string(id))) < a.Fraction*part*math.MaxUint64
}

// adjust returns the admission after a judgement: so long do the starts ahead of a new job
// take to be sent, and all that were taken.
func (a Admission) adjust(ahead, all time.Duration) Admission {
	before := a.overloaded
	a.overloaded = ahead > limitAboveDelay || all > maxBacklogDelay
	switch {
	case a.overloaded && a.Fraction == 1 && !before:
		// A moment after a takeover, or as a turn of the load begins, says nothing yet.
	case a.overloaded:
		a.Fraction *= fractionDecrease
		if a.Fraction < minFraction {
			a.Fraction = 0
		}
	case ahead > growBelowDelay:
		// What waits is as much as is borne.
	default:
		a.Fraction = min(1, a.Fraction*fractionIncrease+minFraction)
	}
	a.RetryAfter = max(0, ahead-growBelowDelay, all-maxBacklogDelay+growBelowDelay)
	return a
}

// relax returns the admission after a judgement at which no start was held back.
func (a Admission) relax() Admission {
	a.Fraction = min(1, a.Fraction*recoveryIncrease+recoveryIncrement)
	a.RetryAfter, a.overloaded = 0, false
	return a
}

// differs reports whether callers would be treated differently by the other.
func (a Admission) differs(o Admission) bool {
	return math.Abs(a.Fraction-o.Fraction) > minFraction || (a.Fraction == 0) != (o.Fraction == 0)
}
