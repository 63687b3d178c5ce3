package job

import (
	"strconv"
	"strings"
	"time"

	"amberway/platform"
)

// job is one job as the owner knows it.
type job struct {
	Record
	id ID
	// created is the revision of its record: jobs above the owner's fence have
	// never been run by another owner.
	created platform.Revision
	queue   platform.Queue
	team    *team
	// knownAt is when the owner came to know of it, beyond that its team had sent more
	// than its share by then.
	knownAt   time.Time
	overShare bool
	state     platform.State
	finalAt   time.Time
	// storedState is the last state that the store holds.
	storedState platform.State
	started     bool
	instances   map[int]*instance
	// orphanUsage is what runs of it take that are not to be there.
	orphanUsage platform.Resources
	// leftover is what runs may take that an earlier owner had not seen end.
	leftover *LeftoverRuns
	// oldestInstance is the number of the first time that is not yet done in whole; next
	// is the first that is not yet due.
	oldestInstance, nextInstance int
	dirty                        bool
	// failedOn are the workers on which a run of the job has failed.
	failedOn map[platform.WorkerID]bool
	// crashVersion counts the changes of its tasks' crashes, crashChangesKept those that
	// the store holds.
	crashVersion, storedCrashVersion int
}

// instance is one time of a job, and the only one of a job without times.
type instance struct {
	job   *job
	k     int
	due   time.Time
	steps []*step
	// remaining counts the tasks that are not done.
	remaining int
}

// step is a step of an instance.
type step struct {
	*platform.Step
	of        *instance
	index     int
	tasks     []*task
	remaining int
	// idle counts the tasks that are not done and have no run.
	idle int
	// perWorker counts the runs on each worker, if the step bounds them.
	perWorker map[platform.WorkerID]int
	// firstIdle is the first task that may be idle.
	firstIdle int
	// advice is what the advice service has said, if the queue needs it.
	advice *advice
}

// task is one task of a step.
type task struct {
	of    *step
	index int
	done  bool
	// failed are the numbers of its failed runs.
	failed   []int64
	crashes  crashes
	runs     []*run
	snapshot string
	// avoid is the worker on which the last run did not do well.
	avoid platform.WorkerID
	// notBefore holds back a task that keeps ending.
	notBefore time.Time
	// unavailableSince is when a lasting task was last at work.
	unavailableSince time.Time
	// ready says that a lasting task is at work.
	ready bool
	// begunAt and doneAt are the times of its good run, doneOn its worker.
	begunAt, doneAt time.Time
	doneOn          platform.WorkerID
	// moved says that a run was given up for being slow.
	moved bool
	// stalls counts the runs that were given up for standing still.
	stalls int
}

// phase says what is known of a run.
type phase int

const (
	// starting: the order is under way.
	starting phase = iota
	// running: the worker has taken the order.
	running
	// unconfirmed: the order's answer was lost; it may be carried out late.
	unconfirmed
	// stopping: the run is to end.
	stopping
)

// run is one start of a task, which has not ended as far as is known.
type run struct {
	number int64
	task   *task
	at     *worker
	phase  phase
	// startConfirmed says that its worker is known to have taken the order.
	startConfirmed bool
	// listed says that its worker has named it among those that run there: no other
	// incarnation of the worker can carry the order out any more.
	listed bool
	// crashCounted says that a crash was counted against its task for it: a start that may have
	// been carried out by either of two incarnations has crashed one of them at most.
	crashCounted bool
	// crashSuspect says that it is a suspect of the crash after which its worker has started again,
	// as a run of the only job or not, unless the next incarnation runs it.
	crashSuspect, soleCrashSuspect bool
	// sentAt is when the order went out, knownAt when its answer came.
	sentAt, knownAt time.Time
	// stopPending says that an order to stop is under way; stopRefused is true
	// once the worker has said that the run can never start.
	stopPending, stopConfirmed bool
	// stopAt is when the stop was decided, stops how often it was sent.
	stopAt       time.Time
	stopAttempts int
	// stopDeferred says that the log has a stop as held back.
	stopDeferred bool
	// lateStopUntil is until when an order to stop that was not answered, and was taken
	// back, may be carried out.
	lateStopUntil time.Time
	// absent says that the last look, which was sent after the start's answer was lost, did
	// not list the run.
	absent  bool
	percent int
	// adoptedPercent is the percent at which the owner came to know the run.
	adoptedPercent int
	level          float64
	// progressAt is when percent last changed.
	progressAt time.Time
	// reportedAt is when its worker last said how far it is.
	reportedAt time.Time
	// adopted says that an earlier owner started it: its worker has borne it for longer
	// than since sentAt.
	adopted bool
	pacing
}

// taskKey names a task across the system.
type taskKey struct {
	id    ID
	k     int
	step  int
	index int
}

// String returns the name by which workers know the task.
func (k taskKey) String() string {
	b := make([]byte, 0, 40)
	b = append(b, k.id...)
	for _, n := range [...]int{k.k, k.step, k.index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// parseTaskKey returns the key in s, or false where s is none.
func parseTaskKey(s string) (taskKey, bool) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return taskKey{}, false
	}
	k := taskKey{id: ID(p[0])}
	for i, d := range []*int{&k.k, &k.step, &k.index} {
		n, err := strconv.Atoi(p[i+1])
		if err != nil || n < 0 {
			return taskKey{}, false
		}
		*d = n
	}
	return k, true
}

func (t *task) key() taskKey {
	n := t.of.of
	return taskKey{id: n.job.id, k: n.k, step: t.of.index, index: t.index}
}

// idle reports whether the task waits for a run.
func (t *task) idle() bool {
	return !t.done && len(t.runs) == 0
}

func newInstance(j *job, k int, due time.Time) *instance {
	n := &instance{job: j, k: k, due: due}
	for i := range j.Steps {
		d := &j.Steps[i]
		s := &step{Step: d, of: n, index: i, remaining: d.Count, idle: d.Count}
		if d.MaxPerWorker > 0 {
			s.perWorker = map[platform.WorkerID]int{}
		}
		block := make([]task, d.Count)
		s.tasks = make([]*task, d.Count)
		for x := range block {
			block[x] = task{of: s, index: x}
			s.tasks[x] = &block[x]
		}
		n.remaining += d.Count
		n.steps = append(n.steps, s)
	}
	return n
}

// markDone notes that a task is done.
func (n *instance) markDone(t *task) {
	if t.done {
		return
	}
	if t.idle() {
		t.of.idle--
	}
	t.done = true
	t.of.remaining--
	n.remaining--
}

// noTaskEnded reports whether no task has ended.
func (n *instance) noTaskEnded() bool {
	for _, s := range n.steps {
		if s.remaining < len(s.tasks) {
			return false
		}
		for _, t := range s.tasks {
			if len(t.failed) > 0 || t.crashes.All > 0 {
				return false
			}
		}
	}
	return true
}

// unblocked reports whether the steps before s are done.
func (s *step) unblocked() bool {
	for _, a := range s.After {
		if s.of.steps[a].remaining > 0 {
			return false
		}
	}
	return true
}

// attach adds a run to its task and its worker.
func (r *run) attach() {
	t := r.task
	if t.idle() {
		t.of.idle--
	}
	t.runs = append(t.runs, r)
	if t.of.perWorker != nil {
		t.of.perWorker[r.at.ID]++
	}
	t.of.of.job.team.charge(t.of.Resources, 1)
	r.at.attach(r)
}

// detach removes an ended run.
func (r *run) detach() {
	t := r.task
	for i, o := range t.runs {
		if o == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if t.idle() {
		t.of.idle++
		t.of.firstIdle = min(t.of.firstIdle, t.index)
	}
	if t.of.perWorker != nil {
		t.of.perWorker[r.at.ID]--
	}
	t.of.of.job.team.charge(t.of.Resources, -1)
	r.at.detach(r)
}
