package job

import (
	"slices"
	"time"

	"amberway/platform"
)

// Timing of the leases on workers and of the polls that renew them.
const (
	// leaseFor is how far ahead a worker's lease is extended. It has to outlast a change of
	// owner, which takes about two seconds, and bounds how long the tasks of a silent worker
	// wait to be started elsewhere.
	leaseFor = 4 * time.Second
	// maxClockDrift is how slow a worker's clock may be. The platform documents 2 %.
	maxClockDrift = 0.025
	// leaseDriftAllowance is how far a lease may exceed leaseFor in real time because the
	// worker's clock was read a while ago. inheritedLease has half a second to spare, a fifth
	// of which goes to the drift during the lease itself.
	leaseDriftAllowance = 400 * time.Millisecond
	// expirySlack covers the worker's own delay in ending runs whose lease has expired.
	expirySlack = 100 * time.Millisecond
	// pollWait is how long a worker may hold a poll until a run ends. The next poll renews its
	// lease and reports the progress of its runs.
	pollWait = 1000 * time.Millisecond
	// pollRetry is the pause after a poll without an answer, and between polls while writes of
	// ends to the store fail.
	pollRetry = 250 * time.Millisecond
	// maxPollPause is the longest pause after a poll without an answer, and maxPollDoublings bounds how
	// often the pause doubles.
	maxPollPause     = 2 * time.Second
	maxPollDoublings = 3
	// ackDelay is how long a worker without runs waits for the poll that acknowledges its ends.
	// A start in the meantime causes a poll anyway.
	ackDelay = 700 * time.Millisecond
	// maxMissedPolls is how many polls in a row go unanswered before the worker no longer counts
	// as one of its pool.
	maxMissedPolls = 2
)

// worker is the owner's view of one incarnation of a worker.
type worker struct {
	platform.Worker
	rack string
	// knownSince is when the owner learned of it.
	knownSince time.Time
	// listed reports whether the store has its record; unlisted workers get no starts.
	// unlistedAt is when the record was removed.
	listed     bool
	unlistedAt time.Time
	// hadRecord reports whether a record of this incarnation was seen. As the store orders the
	// records of one name, a new one of another incarnation then shows a restart.
	hadRecord bool
	// restarted reports whether it has replaced another incarnation, or has itself been replaced
	// by one that is not known yet. An order to the earlier one may have given the later one a
	// longer lease than any order to itself.
	restarted bool
	// earlierFence is the highest fence of the orders to earlier incarnations, fenced whether it has answered an
	// order with a higher one, and so refuses those.
	earlierFence platform.Fence
	fenced       bool
	// unverified reports whether it may have been replaced under its name. It gets no starts
	// before its next answer.
	unverified bool
	// invalidStartLogged reports whether an invalid start time in its answers has been logged.
	invalidStartLogged bool
	// missedLists counts the machine lists in a row without its host, among those requested
	// after its last answer.
	missedLists int
	// stale reports whether its machine, by the machine list, runs another worker or none, so
	// that its record is about to be removed.
	stale bool
	// inherited reports whether an earlier owner may have started runs on it; inRoster, whether
	// the stored roster says that this owner may have.
	inherited, inRoster bool
	// formerService is the service that it was one of before its record named another. Runs of that
	// time may continue.
	formerService string
	// offRoster reports whether it has been removed from the roster because its machine has an
	// order and nothing runs on it.
	offRoster bool
	// answeredBefore reports whether an earlier incarnation may have been given starts, some of which
	// this one may carry out.
	answeredBefore bool
	// fence is the fence of the next order to it, sentFence the highest that any order to it or to
	// an earlier incarnation has had.
	fence, sentFence platform.Fence
	// contacted reports whether it has answered a poll with the owner's fence.
	contacted bool
	// clock is the reading of its clock in the answer that came at clockAt.
	clock   platform.WorkerClock
	clockAt time.Time
	// leaseUntil is the latest lease end that any order has set.
	leaseUntil platform.WorkerClock
	// expiresBy is when all runs that others started must have ended, on a worker that has not
	// answered or has replaced another incarnation.
	expiresBy time.Time
	used      platform.Resources
	// runs are in the order in which they were started or adopted.
	runs []*run
	// orphans are its orphaned runs, which are to be stopped.
	orphans map[rawRunID]*orphan
	// lastEndSeen is the number of the last end received, lastEndStored of the last that the
	// store holds, lastEndAcked of the last that the worker has forgotten.
	lastEndSeen, lastEndStored, lastEndAcked int64
	// moreEnds reports whether the worker may have more ends than its last answer listed.
	moreEnds bool
	// abandoned are runs whose tasks may start elsewhere, as the worker's lease had expired while it
	// was silent, or as it does not list their ends.
	abandoned map[rawRunID]bool
	hold      ackHold
	// polling reports whether a poll is in flight, pollWaits whether the worker may hold it
	// until a run ends.
	polling, pollWaits bool
	// latePollUntil is the time until which a poll that extends the lease may be carried out.
	latePollUntil time.Time

	nextPollAt time.Time
	pollSentAt time.Time
	// answeredAt is when it last answered any order, polledAt when it last answered a poll, and
	// answeredPollSentAt when that poll was sent.
	answeredAt, polledAt, answeredPollSentAt time.Time
	// missedPolls counts the polls in a row without an answer.
	missedPolls int
	// noRoomUntil blocks starts after a rejection for lack of room, or while the worker is
	// unhealthy.
	noRoomUntil time.Time
	// failures counts failed runs since the last success. quarantinedUntil blocks starts after
	// too many, or after a slow or stalled run.
	failures         int
	quarantinedUntil time.Time
	// isolatedUntil blocks other starts for a while after an isolated task was started there.
	isolatedUntil time.Time
	// cordoned reports whether its machine is to be moved or maintained.
	cordoned bool
	// evacuated reports whether its data centre is evacuated, so that it gets no starts.
	evacuated bool
	// maintenanceDue reports whether a wave has yet to maintain its machine.
	maintenanceDue bool
	// evictedAt is when a lasting run on it was last stopped to drain it.
	evictedAt time.Time
	// idleSince is when the last run on it ended.
	idleSince time.Time
	// nextPaceAt is when paces on it may be changed again.
	nextPaceAt time.Time
}

func newWorker(w platform.Worker, now time.Time) *worker {
	return &worker{
		Worker:     w,
		rack:       w.Rack(),
		knownSince: now,
		orphans:    map[rawRunID]*orphan{},
		abandoned:  map[rawRunID]bool{},
		expiresBy:  now.Add(inheritedLease),
		idleSince:  now,
	}
}

// heardFromSince reports whether the owner learned of the worker, or had an answer from it, after
// t. A machine list requested at t is older than that.
func (w *worker) heardFromSince(t time.Time) bool {
	return t.Before(latest(w.knownSince, w.answeredAt))
}

// noteClock records the worker's clock from an answer that came now. A worker that has just
// started may report zero.
func (w *worker) noteClock(c platform.WorkerClock, now time.Time) {
	w.answeredAt = now
	if c < w.clock && !w.clockAt.IsZero() {
		return
	}
	w.clock = c
	w.clockAt = now
}

// earliestClock returns the least that the worker's clock can read now.
func (w *worker) earliestClock(now time.Time) platform.WorkerClock {
	if w.clockAt.IsZero() {
		return 0
	}
	elapsed := float64(now.Sub(w.clockAt).Milliseconds())
	return w.clock + platform.WorkerClock(elapsed*(1-maxClockDrift))
}

// extendLease extends the lease now and returns its new end on the worker's clock. After a while
// without an answer the lease is shorter by what a slow clock may have lost, by up to half:
// the next owner waits for leaseFor on such a clock.
func (w *worker) extendLease(now time.Time) platform.WorkerClock {
	elapsed := now.Sub(w.clockAt)
	lost := time.Duration(float64(elapsed) * maxClockDrift)
	d := leaseFor - min(max(0, lost-leaseDriftAllowance), leaseFor/2)
	u := w.clock + platform.WorkerClock((elapsed + d).Milliseconds())
	w.leaseUntil = max(w.leaseUntil, u)
	return u
}

// markStored marks the ends up to a number as stored.
func (w *worker) markStored(number int64) {
	w.lastEndStored = max(w.lastEndStored, number)
}

// hasUnstoredEnds reports whether the worker has reported ends that the store does not hold yet.
// The next owner has to learn of them from the worker.
func (w *worker) hasUnstoredEnds() bool {
	return w.lastEndSeen > w.lastEndStored
}

// hidesEnds reports whether runs may have ended that the worker will list later. A tainted worker
// may never list them, as the ends before them are held.
func (w *worker) hidesEnds() bool {
	return w.moreEnds && !w.tainted()
}

// leaseExpired reports whether all runs on the worker must have ended by their leases, whoever
// ordered them.
func (w *worker) leaseExpired(now time.Time) bool {
	if !w.contacted {
		return now.After(w.expiresBy)
	}
	if w.restarted && !now.After(w.expiresBy) {
		return false
	}
	left := time.Duration(float64(time.Duration(w.leaseUntil-w.clock)*time.Millisecond) * (1 + maxClockDrift))
	return now.After(w.clockAt.Add(left + expirySlack))
}

// fits reports whether a task of the step fits beside the worker's runs.
func (w *worker) fits(s *platform.Step) bool {
	c := w.Capacity
	u := w.used
	if !s.BestEffort && u.MilliCores+s.MilliCores > c.MilliCores {
		return false
	}
	return u.MemoryMB+s.MemoryMB <= c.MemoryMB && u.GPUs+s.GPUs <= c.GPUs
}

// fitsEmpty reports whether a task of the step would fit if the worker ran nothing.
func (w *worker) fitsEmpty(s *platform.Step) bool {
	c := w.Capacity
	return (s.BestEffort || s.MilliCores <= c.MilliCores) && s.MemoryMB <= c.MemoryMB && s.GPUs <= c.GPUs
}

// acceptsStarts reports whether the worker may get starts now.
func (w *worker) acceptsStarts(now time.Time) bool {
	return w.hold.from == 0 && !w.moreEnds && w.available(now)
}

// available reports whether the worker may get starts now, apart from what its ends forbid. It may
// not while it has orphans, as the room that they take is not always known.
func (w *worker) available(now time.Time) bool {
	return w.listed && !w.stale && !w.unverified && w.contacted && w.inRoster && !w.Draining && !w.cordoned && !w.evacuated && w.missedPolls == 0 && len(w.orphans) == 0 &&
		!now.Before(w.noRoomUntil) && !now.Before(w.quarantinedUntil)
}

// busy reports whether anything runs on the worker.
func (w *worker) busy() bool {
	return len(w.runs)+len(w.orphans) > 0
}

func (w *worker) attach(r *run) {
	w.runs = append(w.runs, r)
	w.charge(r.task.step.Step, 1)
}

// detach removes a run. The runs are copied, as callers iterate over them.
func (w *worker) detach(r *run) {
	w.runs = slices.DeleteFunc(slices.Clone(w.runs), func(o *run) bool { return o == r })
	w.charge(r.task.step.Step, -1)
}

func (w *worker) charge(s *platform.Step, sign int64) {
	w.used = w.used.AddTimes(workerDemand(s), sign)
}

// workerDemand returns what a task of the step takes of a worker's capacity. Best-effort tasks
// take only the cores that others leave.
func workerDemand(s *platform.Step) platform.Resources {
	r := s.Resources
	if s.BestEffort {
		r.MilliCores = 0
	}
	return r
}

// findRun returns the run of the task with the number, or nil. The members of a gang share their
// run's number.
func (w *worker) findRun(task taskKey, number int64) *run {
	for _, r := range w.runs {
		if r.number == number && r.task.key() == task {
			return r
		}
	}
	return nil
}
