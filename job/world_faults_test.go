package job

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/platform"
)

// begin starts a run on a worker, and checks that it may start.
func (w *world) begin(v *worldWorker, o platform.StartOrder) {
	k, ok := parseTaskKey(o.Task)
	rec, known := w.jobs[k.id]
	if !ok || !known {
		w.t.Fatalf("start of %s, which was not submitted", o.Task)
	}
	s := rec.Steps[k.step]
	for _, x := range w.workersByStart {
		if x.alive && x.runs[o.Task] != nil {
			w.t.Fatalf("%s starts on %s while it runs on %s", o.Task, v.ID, x.ID)
		}
	}
	w.checkOrder(k, rec)
	w.checkDue(k, rec)
	w.checkNotDone(o.Task)
	w.restarted[o.Task] = append(w.restarted[o.Task], w.doneRuns[o.Task]...)
	used := s.MilliCores
	for _, r := range v.runs {
		used += r.step.MilliCores
	}
	// An order that arrives late fitted the capacity at the time of its sending, and could not be
	// withdrawn when the worker shrank.
	if used > max(v.room(w.now), w.roomOrdered[rawRunID{task: o.Task, number: o.Run}]) {
		w.t.Fatalf("%s exceeds the capacity of %s: %d", o.Task, v.ID, used)
	}
	w.checkCap(rec, o, s)
	how := platform.EndDone
	if w.failures[o.Task] > 0 {
		w.failures[o.Task]--
		how = platform.EndFailed
	}
	v.runs[o.Task] = &worldRun{task: o.Task, number: o.Run, began: w.now, endsAt: w.now.Add(s.Estimate), how: how, step: s, snapshot: o.Snapshot}
	w.warmUp(v, v.runs[o.Task])
	w.noteStart(v, k)
}

// checkNotDone checks that no successful end of the task was acknowledged.
func (w *world) checkNotDone(task string) {
	for _, e := range w.doneRuns[task] {
		if e.acknowledged && !e.leaseExpired {
			w.t.Fatalf("%s starts at %s after the successful end of its run %d on %s was acknowledged\n%s",
				task, w.now.Format("05.000"), e.row.Run, e.at.ID, w.logLines(anyLogLine))
		}
	}
}

// checkOrder checks that the steps that the task's step depends on are done.
func (w *world) checkOrder(k taskKey, rec Record) {
	for _, a := range rec.Steps[k.step].After {
		for x := range rec.Steps[a].Count {
			b := taskKey{id: k.id, instance: k.instance, step: a, index: x}.String()
			if len(w.doneRuns[b]) == 0 {
				w.t.Fatalf("%s starts before %s is done", k, b)
			}
		}
	}
}

// acknowledge is called when a worker forgets an end, as the owner has acknowledged it. The task
// may not have been started again since that end.
func (w *world) acknowledge(e *worldEnd) {
	e.acknowledged = true
	if e.row.End != platform.EndDone || e.leaseExpired {
		return
	}
	for _, o := range w.restarted[e.row.Task] {
		if o == e {
			w.t.Fatalf("%s was started again after run %d was done on %s, and that end was acknowledged\n%s", e.row.Task, e.row.Run, e.at.ID, w.logLines(anyLogLine))
		}
	}
}

// checkFinal checks that the final state of a job in the store is right.
func (w *world) checkFinal(id ID, s platform.JobState) {
	rec := w.jobs[id]
	if s == platform.StateSucceeded {
		for n := range max(1, rec.Times) {
			w.checkInstanceDone(id, rec, n)
		}
	}
	if s == platform.StateFailed {
		w.checkFailed(id, rec)
	}
	if _, requested := w.cancelledAt[id]; s == platform.StateCancelled && !requested {
		w.t.Fatalf("job %s is cancelled without a request", id)
	}
}

// checkInstanceDone checks that all tasks of an instance have succeeded.
func (w *world) checkInstanceDone(id ID, rec Record, n int) {
	for i, d := range rec.Steps {
		if d.Gang && w.gangDone(id, n, i, d.Count) {
			continue
		}
		for x := range d.Count {
			k := taskKey{id: id, instance: n, step: i, index: x}
			if len(w.doneRuns[k.String()]) == 0 {
				w.t.Fatalf("job %s succeeded without task %s", id, k)
			}
		}
	}
}

func (w *world) submit() {
	var steps []platform.Step
	for i := range rapid.IntRange(1, 3).Draw(w.t, "steps") {
		s := platform.Step{
			Count:     rapid.IntRange(1, 4).Draw(w.t, "count"),
			Resources: platform.Resources{MilliCores: int64(rapid.IntRange(1, 4).Draw(w.t, "cores")) * 500},
			Estimate:  time.Duration(rapid.IntRange(1, 20).Draw(w.t, "estimate")) * 100 * time.Millisecond,
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	w.submitSteps(steps...)
}

// jobID returns the id of the next job.
func (w *world) jobID() ID {
	return ID(fmt.Sprintf("%016x", len(w.jobs)+1))
}

func (w *world) submitSteps(steps ...platform.Step) ID {
	id := w.jobID()
	w.store.revision++
	rec := NewRecord(w.acceptingQueue(), platform.Submission{Spec: w.spec, Steps: steps}, w.now)
	rec.Attempts = 3
	rec.Team = w.team()
	a := Accepted{ID: id, Record: rec, Created: w.store.revision}
	w.jobs[id] = rec
	w.store.records[id] = a
	if rapid.IntRange(0, 4).Draw(w.t, "fails") == 0 {
		w.failures[taskKey{id: id}.String()] = 1
	}
	for _, o := range w.owners {
		if o.fence == w.store.fence {
			w.tell(o, a)
		}
	}
	return id
}

// TestPromisesHoldUnderFaults subjects owners to lost and late messages, crashes, partitions,
// freezes and changes of owner, and checks the promises at each start, end and write. Finally all
// faults stop, and every job has to end.
func TestPromisesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newWorld(t).playPromises() })
}

func (w *world) playPromises() {
	t := w.t
	t.Repeat(map[string]func(*rapid.T){
		"submit": func(*rapid.T) { w.submit() },
		"submit many steps": func(t *rapid.T) {
			w.submitSteps(chained(rapid.IntRange(4, 26).Draw(t, "chained"))...)
		},
		"pass": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"lossy":      func(t *rapid.T) { w.lossy = rapid.Bool().Draw(t, "lossy") },
		"cancel":     func(*rapid.T) { w.cancelSome() },
		"cut":        func(*rapid.T) { v := w.pickWorker(); v.partitioned = !v.partitioned },
		"crash":      func(*rapid.T) { w.crash() },
		"unlist":     func(*rapid.T) { w.unlist() },
		"kill":       func(*rapid.T) { w.replaceOwner(func(o *worldOwner) { o.dead = true }) },
		"freeze":     func(*rapid.T) { w.replaceOwner(w.freeze) },
		"abandon":    func(*rapid.T) { w.deposeOwner() },
		"remove":     func(*rapid.T) { w.remove() },
		"cut record": func(*rapid.T) { w.cutRecord() },
		"split":      func(*rapid.T) { w.split() },
		"shrink":     func(t *rapid.T) { w.resize(int64(rapid.IntRange(1, 4).Draw(t, "cores")) * 1000) },
		"slow": func(t *rapid.T) {
			w.slowBy = rapid.SampledFrom([]int{1, 10, 100}).Draw(t, "slow_by")
		},
	})
	w.heal()
	require.Empty(t, w.store.records, "jobs that never end")
}

// pickWorker draws a worker that is alive, and lets time pass until there is one.
func (w *world) pickWorker() *worldWorker {
	var l []*worldWorker
	for {
		for _, v := range w.workersByStart {
			if v.alive {
				l = append(l, v)
			}
		}
		if len(l) > 0 {
			break
		}
		w.advance(100 * time.Millisecond)
	}
	return l[rapid.IntRange(0, len(l)-1).Draw(w.t, "worker")]
}

// fullWorkerCores is the capacity of a worker that has not shrunk, in thousandths of a core.
const fullWorkerCores = 4000

// capacityVisibleWithin is how long after a change of capacity a start may still rely on the
// previous one: until the worker's next record has reached the owner.
const capacityVisibleWithin = 1500 * time.Millisecond

// resize changes the capacity of some worker while it runs.
func (w *world) resize(milliCores int64) {
	v := w.pickWorker()
	v.previousCores, v.previousUntil = v.room(w.now), w.now.Add(capacityVisibleWithin)
	v.Capacity.MilliCores = milliCores
	w.after(capacityVisibleWithin/2, func() {
		if v.alive && !v.unlisted {
			w.writeRecord(v)
		}
	})
}

// room returns the capacity that starts may use up.
func (v *worldWorker) room(now time.Time) int64 {
	if now.Before(v.previousUntil) {
		return max(v.previousCores, v.Capacity.MilliCores)
	}
	return v.Capacity.MilliCores
}

func (w *world) cancelSome() {
	id := ID(fmt.Sprintf("%016x", rapid.IntRange(1, len(w.jobs)+1).Draw(w.t, "job")))
	w.cancel(id)
}

// crash has some worker crash. Its machine starts another.
func (w *world) crash() {
	w.crashWorker(w.pickWorker())
}

// unlist deletes the record of some worker, which goes on running and writes its record again
// after three seconds.
func (w *world) unlist() {
	v := w.pickWorker()
	w.deleteRecord(v)
	w.after(3*time.Second, func() {
		if v.alive {
			w.writeRecord(v)
		}
	})
}

// replaceOwner calls the function with the owner, and has another take over after ownerTTL.
func (w *world) replaceOwner(f func(*worldOwner)) {
	f(w.owners[len(w.owners)-1])
	w.advance(ownerTTL)
	w.takeOver()
}

// deposeOwner has another owner take over while the current one goes on sending orders for as long
// as it has authority.
func (w *world) deposeOwner() {
	w.replaceOwner(func(o *worldOwner) { w.after(ownerAuthority, func() { o.dead = true }) })
}

// split partitions the owner from the store and from all workers but one, which the next owner
// cannot reach until the partition ends.
func (w *world) split() {
	old := w.owners[len(w.owners)-1]
	kept := w.pickWorker()
	for _, v := range w.workersByStart {
		v.unreachableBy[old] = v != kept
	}
	w.deposeOwner()
	next := w.owners[len(w.owners)-1]
	kept.unreachableBy[next] = true
	w.after(ownerAuthority, func() { delete(kept.unreachableBy, next) })
}

func (w *world) freeze(o *worldOwner) {
	o.frozen = true
	w.after(4*time.Second, func() { o.frozen = false })
}

// heal stops all faults, and lets time pass until all jobs but lasting ones have ended, for two
// minutes at most.
func (w *world) heal() {
	w.lossy = false
	w.slowBy = 1
	w.ordersLateUntil = w.now
	for _, v := range w.workersByStart {
		v.partitioned = false
		v.Capacity.MilliCores = fullWorkerCores
		if v.alive && !v.unlisted {
			w.writeRecord(v)
		}
	}
	for range 120 {
		w.advance(time.Second)
		if w.onlyLastingLeft() {
			return
		}
	}
}

// onlyLastingLeft reports whether all jobs that are left have lasting steps.
func (w *world) onlyLastingLeft() bool {
	for _, a := range w.store.records {
		if !slices.ContainsFunc(a.Record.Steps, func(s platform.Step) bool { return s.Lasting }) {
			return false
		}
	}
	return true
}
