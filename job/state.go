package job

import (
	"time"

	"amberway/platform"
)

// job is the owner's view of one job.
type job struct {
	Record
	id ID
	// created is the revision of its record. No earlier owner has run a job whose revision is
	// above the owner's fence.
	created platform.Revision
	queue   platform.Queue
	team    *team
	// knownAt is when the owner learned of it, overShare whether its team had exceeded its
	// share by then.
	knownAt   time.Time
	overShare bool
	state     platform.JobState
	finalAt   time.Time
	// storedState is the last state that was written to the store.
	storedState platform.JobState
	started     bool
	instances   map[int]*instance
	// orphanUsage is what the job's orphaned runs take.
	orphanUsage platform.Resources
	// leftover is what runs of earlier owners may still take, as far as their ends were not
	// seen.
	leftover *LeftoverRuns
	// complete holds the instances after oldestInstance whose tasks are all done.
	complete map[int]bool
	// oldestInstance is the number of the first instance that is not completely done,
	// nextInstance that of the first that has yet to be created in its turn.
	oldestInstance, nextInstance int
	dirty                        bool
	paths                        criticalPaths
	// failedOn are the workers on which a run of the job has failed.
	failedOn map[platform.WorkerID]bool
	// crashVersion counts the changes of its tasks' crash counts, storedCrashVersion those that
	// the store holds.
	crashVersion, storedCrashVersion int
}

// instance is one occurrence of a recurring job, or the only one of any other job.
type instance struct {
	job   *job
	index int
	due   time.Time
	steps []*step
	// remaining counts the tasks that are not done.
	remaining int
}

// step is a step of an instance.
type step struct {
	*platform.Step
	instance  *instance
	index     int
	tasks     []*task
	remaining int
	// idle counts the tasks that are neither done nor have a run.
	idle int
	// perWorker counts the runs on each worker. It is nil if the step does not bound them.
	perWorker map[platform.WorkerID]int
	// firstIdle is a lower bound of the indexes of the idle tasks.
	firstIdle int
	// advice is the last answer of the advice service, for queues that need one.
	advice *advice
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// failedRuns holds the numbers of its failed runs.
	failedRuns []int64
	crashes    crashes
	runs       []*run
	// snapshot is the last one that its worker reported, at snapshotAt.
	snapshot   string
	snapshotAt time.Time
	// avoid is the worker on which the last run failed, was refused, stalled or was slow.
	avoid platform.WorkerID
	// notBefore delays the next start after a run ended early, crashed its worker or was
	// refused.
	notBefore time.Time
	// lostAt is when a run of it was lost at a time at which another owner may already have
	// noted the run's successful end. It is zero if there was no such loss.
	lostAt time.Time
	// unavailableSince is when a lasting task was first started or stopped being ready. It is
	// zero while the task is ready.
	unavailableSince time.Time
	// ready reports whether a lasting task is ready, by its worker's last answer.
	ready bool
	// startedAt and doneAt are the start and end of its successful run, doneOn its worker.
	startedAt, doneAt time.Time
	doneOn            platform.WorkerID
	// moved reports whether a run was stopped for being slow or stalled.
	moved bool
	// stalls counts the runs that were stopped for making no progress.
	stalls int
}

// phase is the state of a run as far as the owner knows it.
type phase int

const (
	// starting: the start order is in flight.
	starting phase = iota
	// running: the worker has accepted the start order, or lists the run.
	running
	// unconfirmed: the answer to the start order was lost; it may still be carried out.
	unconfirmed
	// stopping: the run is to be stopped.
	stopping
)

// run is one start of a task that is not known to have ended.
type run struct {
	number int64
	task   *task
	worker *worker
	phase  phase
	// startConfirmed reports whether its worker is known to have accepted the start.
	startConfirmed bool
	// listed reports whether its worker has listed it as running. No other incarnation of the
	// worker can carry out the start from then on.
	listed bool
	// crashCounted reports whether a crash was counted for it. A start that either of two
	// incarnations may have carried out has crashed one of them at most.
	crashCounted bool
	// crashSuspect reports whether it may have caused the crash before its worker's restart; it
	// is cleared if the next incarnation runs it. soleCrashSuspect says that all suspects were
	// of one job.
	crashSuspect, soleCrashSuspect bool
	// sentClock is the least that its worker's clock could read when the start order was sent.
	sentClock platform.WorkerClock
	// sentAt is when the start order was sent, or the run adopted. knownAt is when the last
	// answer to an order came, or the worker first listed the run.
	sentAt, knownAt time.Time
	// stopPending reports whether a stop order is in flight; stopConfirmed, whether the worker
	// has confirmed one, after which the run can never start there.
	stopPending, stopConfirmed bool
	// stopAt is when the stop was decided, stopAttempts how often it was sent.
	stopAt       time.Time
	stopAttempts int
	// stopDeferred reports whether a deferral of the stop has been logged.
	stopDeferred bool
	// lateStopUntil is the time until which a withdrawn stop order that was not answered may
	// still be carried out.
	lateStopUntil time.Time
	// absent reports whether the last poll did not list the run. For an unconfirmed start, only
	// a poll sent after its answer was lost counts.
	absent bool
	// stoppedUnlisted reports whether a poll sent after a confirmed stop did not list the run, but
	// not all ends either: it will not start any more, and may have ended before the stop.
	stoppedUnlisted bool
	percent         int
	// adoptedPercent is the progress at which the owner adopted the run.
	adoptedPercent int
	// level is the tail latency of a latency-sensitive run in milliseconds, or the thousandths of
	// a core that another run uses.
	level float64
	// progressAt is when percent last changed.
	progressAt time.Time
	// reportedAt is when its worker last reported its progress.
	reportedAt time.Time
	// adopted reports whether an earlier owner started it, so that it has been running for
	// longer than since sentAt.
	adopted bool
	// expendable reports whether its lease is to expire before its end, see ackHold.
	expendable bool
	pacing
}

// idle reports whether the task is neither done nor has a run.
func (t *task) idle() bool {
	return !t.done && len(t.runs) == 0
}

func newInstance(j *job, k int, due time.Time) *instance {
	n := &instance{job: j, index: k, due: due}
	for i := range j.Steps {
		d := &j.Steps[i]
		s := &step{Step: d, instance: n, index: i, remaining: d.Count, idle: d.Count}
		if d.MaxPerWorker > 0 {
			s.perWorker = map[platform.WorkerID]int{}
		}
		block := make([]task, d.Count)
		s.tasks = make([]*task, d.Count)
		for x := range block {
			block[x] = task{step: s, index: x}
			s.tasks[x] = &block[x]
		}
		n.remaining += d.Count
		n.steps = append(n.steps, s)
	}
	return n
}

// markDone marks a task as done.
func (n *instance) markDone(t *task) {
	if t.done {
		return
	}
	if t.idle() {
		t.step.idle--
	}
	t.done = true
	t.step.remaining--
	n.remaining--
}

// noTaskEnded reports whether no task has succeeded, failed or crashed its worker.
func (n *instance) noTaskEnded() bool {
	for _, s := range n.steps {
		if s.remaining < len(s.tasks) {
			return false
		}
		for _, t := range s.tasks {
			if len(t.failedRuns) > 0 || t.crashes.All > 0 {
				return false
			}
		}
	}
	return true
}

// unblocked reports whether the steps that s depends on are done.
func (s *step) unblocked() bool {
	for _, a := range s.After {
		if s.instance.steps[a].remaining > 0 {
			return false
		}
	}
	return true
}

// attach adds a run to its task and its worker.
func (r *run) attach() {
	t := r.task
	if t.idle() {
		t.step.idle--
	}
	t.runs = append(t.runs, r)
	if t.step.perWorker != nil {
		t.step.perWorker[r.worker.ID]++
	}
	t.step.instance.job.team.charge(t.step.Resources, 1)
	r.worker.attach(r)
}

// detach removes a run that has ended from its task and its worker.
func (r *run) detach() {
	t := r.task
	for i, o := range t.runs {
		if o == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if t.idle() {
		t.step.idle++
		t.step.firstIdle = min(t.step.firstIdle, t.index)
	}
	if t.step.perWorker != nil {
		t.step.perWorker[r.worker.ID]--
	}
	t.step.instance.job.team.charge(t.step.Resources, -1)
	r.worker.detach(r)
}
