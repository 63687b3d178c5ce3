package job

import (
	"math"
	"time"
)

// Parameters of admission control by capacity.
const (
	// capacityLimitAbove is the part of the slack above which a wait for hosts limits
	// admission: the other half is left for the later steps of the job, each of which waits
	// as well. A limit in force is lifted below capacityLiftBelow only. With one bound for
	// both, the fraction went up and down around it by a factor of three under steady overload.
	capacityLimitAbove = 0.5
	capacityLiftBelow  = 0.25
	// secondClassPart is the part of the cores that is left to second-class work, so that
	// all accepted jobs end.
	secondClassPart = 0.1
	// backlogCorrection is the time in which the backlog is brought to capacityLimitAbove of
	// the slack.
	backlogCorrection = time.Second
	// capacityIncrease multiplies the admitted fraction, and capacityIncrement is added to it,
	// at each evaluation at which it rises: from nothing to all in five evaluations.
	capacityIncrease  = 1.5
	capacityIncrement = 0.1
	// minMeasuredFraction is the admitted fraction below which too few jobs are accepted for an
	// estimate of the offered work.
	minMeasuredFraction = 0.1
	// maxCapacityWait bounds the wait where a pool has next to no cores.
	maxCapacityWait = time.Minute
)

// capacityInputs are what a limit by capacity depends on, for one queue. Work is in core-seconds,
// first-class unless it says otherwise: of jobs that can be in time and are within their team's
// share.
type capacityInputs struct {
	// short reports whether the pool wants more hosts than it is allotted. Without that,
	// there is no limit.
	short bool
	// cores is what the allotted hosts leave to tasks that do not last, moving the part of the
	// allotted hosts that has yet to move to the pool.
	cores, moving float64
	// waiting is the work that waits for hosts now, in the pool's queues of the same or a more
	// urgent priority. waitingBeyond adds that which goes before a job beyond its team's
	// share: late work of other jobs, and work beyond the shares.
	waiting, waitingBeyond float64
	// secondClass reports whether second-class work waits in the pool.
	secondClass bool
	// slack is how long a job of the queue can wait in total and still be in time.
	slack time.Duration
	// offered is the work that callers offer each second to the pool's queues of the same
	// priority, urgent the work that is accepted each second from more urgent queues.
	offered, urgent float64
}

// capacityLimit is the limit by capacity of one queue.
type capacityLimit struct {
	// fraction is the admitted fraction of the jobs, from 0 to 1.
	fraction float64
	// limitsTeams reports whether teams beyond their shares are refused, also where fraction
	// is 1.
	limitsTeams bool
	// relaxing reports whether the fractions of those teams rise again. Lifted all at once, they
	// let in two seconds of work of a flooding team between two evaluations.
	relaxing bool
	// wait is how long a job that is accepted now waits for hosts.
	wait time.Duration
}

// noCapacityLimit admits all jobs.
var noCapacityLimit = capacityLimit{fraction: 1}

// inForce reports whether some jobs may be refused.
func (l capacityLimit) inForce() bool {
	return l.fraction < 1 || l.limitsTeams || l.relaxing
}

// next returns the limit after an evaluation, given whether the fractions of some teams are in
// force. It falls at once and rises in steps.
func (l capacityLimit) next(i capacityInputs, teamsLimited bool) capacityLimit {
	n := capacityLimit{fraction: 1, wait: i.wait(i.waiting)}
	if i.short {
		n.limitsTeams = exceedsSlack(i.wait(i.waitingBeyond), i.slack, l.inForce())
		if exceedsSlack(n.wait, i.slack, l.fraction < 1) {
			n.fraction = i.fraction()
		}
		n.relaxing = !n.limitsTeams && (l.limitsTeams || l.relaxing) && teamsLimited
	}
	n.fraction = min(n.fraction, l.fraction*capacityIncrease+capacityIncrement)
	return n
}

// exceedsSlack reports whether the wait calls for a limit, given whether there is one.
func exceedsSlack(wait, slack time.Duration, limited bool) bool {
	part := capacityLimitAbove
	if limited {
		part = capacityLiftBelow
	}
	return float64(wait) > part*float64(slack)
}

// wait returns how long work that arrives now waits behind the given work.
func (i capacityInputs) wait(work float64) time.Duration {
	s := i.moving * moveDuration.Seconds()
	if work > 0 {
		s += work / max(i.cores, math.SmallestNonzeroFloat64)
	}
	return time.Duration(min(s, maxCapacityWait.Seconds()) * float64(time.Second))
}

// fraction returns the fraction of the offered work that the cores can take, such that the
// backlog comes to the part of the slack that it may fill.
func (i capacityInputs) fraction() float64 {
	cores := i.cores
	if i.secondClass {
		cores *= 1 - secondClassPart
	}
	backlog := i.cores * capacityLimitAbove * i.slack.Seconds()
	room := cores - i.urgent + (backlog-i.waiting)/backlogCorrection.Seconds()
	switch {
	case room <= 0 || room < minFraction*i.offered:
		return 0
	case room >= i.offered:
		return 1
	}
	return room / i.offered
}

// riseTime returns the time in which the fraction rises to 1 once nothing limits it.
func (l capacityLimit) riseTime() time.Duration {
	d := time.Duration(0)
	for f := l.fraction; f < 1; f = f*capacityIncrease + capacityIncrement {
		d += admissionInterval
	}
	return d
}
