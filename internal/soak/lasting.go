package soak

import (
	"fmt"
	"net/http"
	"time"

	"amberway/internal/standin/fleet"
)

// Figures of the jobs whose tasks run until they are cancelled.
const (
	// lastingJobs is how many each pool has, and lastingTasks how many tasks each
	// of them.
	lastingJobs, lastingTasks = 3, 2
	// lastingCPU is what a task takes, in thousandths of a core. A worker with
	// at most roomRuns runs has room for it twice over, whichever they are.
	lastingCPU, roomRuns = 500, 3
	// restartIn is how long a task may be away after its last run: an owner's
	// lease, its successor's first second, and the lease of a worker that is no
	// more. overdueFor is how long it has to be overdue to count.
	restartIn  = 6 * time.Second
	overdueFor = 3 * time.Second
	// calmFor is how long before there must have been no fault: the time that it
	// is overdue, and the lease of a worker before that.
	calmFor = overdueFor + 4*time.Second
	// watchFor is how long lasting tasks are watched after the last fault was
	// drawn: a fault lasts five seconds, and a breach shows after that.
	watchFor = 5*time.Second + restartIn + overdueFor
	// lookEvery is the pause between two looks at them.
	lookEvery = 20 * time.Millisecond
)

// lasting is a task that is to run until its job is cancelled.
type lasting struct {
	task, queue string
	// awaySince is when it was first seen not to run; zero while it runs.
	awaySince time.Time
	told      bool
}

// beginLasting hands the lasting jobs in, and returns their tasks.
func (r *Run) beginLasting() []*lasting {
	var l []*lasting
	for i := range 2 * lastingJobs {
		l = append(l, r.handInLasting(i, lastingIDs+i, "lasts", fleet.Step{
			Count: lastingTasks, CPU: lastingCPU, MemMB: 100, Daemon: true, MayMiss: i % 3,
		})...)
	}
	return l
}

// handInLasting hands in a job of one lasting step before any fault, and returns its tasks.
func (r *Run) handInLasting(i, id int, spec string, s fleet.Step) []*lasting {
	queue, name := queues[i%len(queues)], fmt.Sprintf("%016x", id)
	code, body, err := r.entry(0).Call(http.MethodPost, queue, name, fleet.Job{Spec: spec, Steps: []fleet.Step{s}})
	if err != nil || code != http.StatusOK {
		r.brokef("%s was not accepted before any fault: %d %s %v", name, code, body, err)
		return nil
	}
	var l []*lasting
	for x := range s.Count {
		l = append(l, &lasting{task: fmt.Sprintf("%s.0.0.%d", name, x), queue: queue})
	}
	return l
}

// lastingIDs begins the ids of lasting jobs.
const lastingIDs = 0x1000000

// Figures of the lasting jobs of which only some tasks may be away.
const (
	// guardedJobs is how many there are, guardedTasks how many tasks each has, of which one
	// or two may be away, and guardedCPU what a task takes.
	guardedJobs, guardedTasks = 6, 5
	guardedCPU                = 300
	guardedIDs                = 0x4000000
	// guardedSpec has tasks need time to be at work, and fail by themselves.
	guardedSpec = "lasts warms:1500ms fails-each:1m"
)

// beginGuarded hands in the lasting jobs of which only some tasks may be away, and returns
// their tasks.
func (r *Run) beginGuarded() []*lasting {
	var l []*lasting
	for i := range guardedJobs {
		id, mayMiss := guardedIDs+i, 1+i/len(queues)%2
		r.jobs.Fleet.Books.Guard(fmt.Sprintf("%016x", id), guardedTasks, mayMiss)
		l = append(l, r.handInLasting(i, id, guardedSpec, fleet.Step{
			Count: guardedTasks, CPU: guardedCPU, MemMB: 100, Daemon: true, MayMiss: mayMiss,
		})...)
	}
	return l
}

// watchLasting checks that each task is at work again in time: in calm, with
// room, it is away for restartIn at most, and overdueFor more to count.
func (r *Run) watchLasting(l []*lasting) {
	roomSince := map[string]time.Time{}
	for !r.watched() {
		now := time.Now()
		for _, q := range queues {
			if !r.jobs.Fleet.HasRoom(q, roomRuns) {
				roomSince[q] = now
			}
		}
		calm := now.Sub(r.disturbedAt(anyScope))
		for _, t := range l {
			r.look(t, now, calm, now.Sub(roomSince[t.queue]))
		}
		time.Sleep(lookEvery)
	}
}

func (r *Run) look(t *lasting, now time.Time, calm, room time.Duration) {
	switch {
	case r.jobs.Fleet.Books.Runs(t.task):
		t.awaySince, t.told = time.Time{}, false
		return
	case t.awaySince.IsZero():
		t.awaySince = now
	}
	away := now.Sub(t.awaySince)
	if t.told || away < restartIn+overdueFor || calm < calmFor || room < overdueFor {
		return
	}
	t.told = true
	r.brokef("%s is to last and has been away for %.1f s, the last %.1f s of them calm", t.task, away.Seconds(), min(calm, away).Seconds())
}
