package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/platform"
)

// worldRestarts is the model's state of workers that restart under their names.
type worldRestarts struct {
	// tellsIncarnation says that workers report their incarnation.
	tellsIncarnation bool
	// workersByStart are the workers in the order of their starts, latestByName the latest of
	// each name.
	workersByStart []*worldWorker
	latestByName   map[platform.WorkerName]*worldWorker
	// recordChanges numbers the changes of records, lastHeard is the latest change of each name
	// that an owner was told: a watch reports those of one name in order, also after a freeze.
	recordChanges int
	lastHeard     map[*worldOwner]map[platform.WorkerName]int
	// staleRecords are the records in the store of names whose latest incarnation has not written
	// its own yet.
	staleRecords map[platform.WorkerName]platform.Worker
	worldBinding
}

func newWorldRestarts() worldRestarts {
	return worldRestarts{
		latestByName: map[platform.WorkerName]*worldWorker{},
		staleRecords: map[platform.WorkerName]platform.Worker{},
		lastHeard:    map[*worldOwner]map[platform.WorkerName]int{},
	}
}

// nextID returns the id of the next incarnation under a name. Clocks of machines jump: a later
// incarnation may report an earlier time.
func (w *world) nextID(n platform.WorkerName) platform.WorkerID {
	if !w.tellsIncarnation {
		return platform.NewWorkerID(n, 0)
	}
	i := 1e12 + w.incarnations
	if w.incarnations%2 == 0 {
		i = 1e12 - w.incarnations
	}
	return platform.NewWorkerID(n, platform.Incarnation(i))
}

// recordOf returns the worker's record in the store.
func (w *world) recordOf(v *worldWorker) platform.Worker {
	if r, stale := w.staleRecords[v.ID.Name()]; stale {
		return r
	}
	return v.Worker
}

// recipient returns the worker that an order to v reaches: orders name a worker, not its
// incarnation. Only a bound start reaches none but v. A start of a version before that an earlier
// incarnation would have rejected, since the run was stopped there or a later owner had sent orders
// there, never reaches the later incarnation. The later one knows of neither and would accept it:
// the model does not cover that case.
func (w *world) recipient(o *worldOwner, v *worldWorker, a Action) *worldWorker {
	last := w.latestByName[v.ID.Name()]
	s, start := a.(StartRun)
	switch {
	case !start || last == v:
		return last
	case o.bindsStarts:
		return v
	}
	for _, o := range w.workersByStart {
		if o.ID.Name() == v.ID.Name() && (o.fence > s.Order.Fence || o.highestRun[s.Order.Task] >= s.Order.Run) {
			return v
		}
	}
	return last
}

// downFor is the shortest time between a worker's crash and its next start.
const downFor = 50 * time.Millisecond

// restart has a worker crash and restart under its name after downFor. Its record follows at
// the next heartbeat, and one of the earlier incarnation may arrive before that.
func (w *world) restart(v *worldWorker) {
	w.noteCrash(v)
	w.incarnations++
	next := w.addIncarnation(v.Host, w.nextID(v.ID.Name()))
	next.partitioned, next.restarting = v.partitioned, true
	w.after(downFor, func() { next.restarting, next.born = false, w.now })
	before := w.recordOf(v)
	w.staleRecords[v.ID.Name()] = before
	recordAfter := downFor + time.Duration(rapid.IntRange(0, 1500).Draw(w.t, "recorded_after_ms"))*time.Millisecond
	if rapid.Bool().Draw(w.t, "old_news") {
		w.after(recordAfter/2, func() {
			if r, stale := w.staleRecords[v.ID.Name()]; stale && r.ID == before.ID {
				w.announceChange(v.ID.Name(), WorkerListed{Worker: before})
			}
		})
	}
	w.after(recordAfter, func() {
		if w.latestByName[v.ID.Name()] == next && next.alive {
			w.writeRecord(next)
		}
	})
}

// noteListed records that an owner has listed the current records.
func (w *world) noteListed(o *worldOwner) {
	w.lastHeard[o] = map[platform.WorkerName]int{}
	for n := range w.latestByName {
		w.lastHeard[o][n] = w.recordChanges
	}
}

// writeRecord has a worker write its record.
func (w *world) writeRecord(v *worldWorker) {
	delete(w.staleRecords, v.ID.Name())
	w.announceChange(v.ID.Name(), WorkerListed{Worker: v.Worker})
}

// deleteRecord deletes the worker's record from the store.
func (w *world) deleteRecord(v *worldWorker) {
	w.announceChange(v.ID.Name(), WorkerUnlisted{Name: v.ID.Name()})
}

// announceChange tells all owners of a change to a record.
func (w *world) announceChange(n platform.WorkerName, e Event) {
	w.recordChanges++
	for _, o := range w.owners {
		w.tellChange(o, n, e, w.recordChanges)
	}
}

// tellChange tells an owner of a change, unless it was told of a later one.
func (w *world) tellChange(o *worldOwner, n platform.WorkerName, e Event, change int) {
	switch {
	case w.lastHeard[o][n] > change:
	case o.frozen:
		w.after(50*time.Millisecond, func() { w.tellChange(o, n, e, change) })
	default:
		w.lastHeard[o][n] = change
		w.tell(o, e)
	}
}

// TestPromisesHoldWhenWorkersRestart has workers restart under their names: while partitioned,
// several times, within their heartbeat interval and during orders, together with lost and late
// messages, crashes and changes of owner. It finds planted faults of the kind that each promise
// guards against (docs/PROMISES.md).
func TestPromisesHoldWhenWorkersRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newWorldOf(t, true).playRestarts() })
}

func (w *world) playRestarts() {
	t := w.t
	t.Repeat(map[string]func(*rapid.T){
		"submit":  func(*rapid.T) { w.submit() },
		"crasher": func(*rapid.T) { w.submitCrasher() },
		"pass": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"again":         func(*rapid.T) { w.restart(w.pickWorker()) },
		"again and cut": func(*rapid.T) { w.restartAndCut() },
		"gone and back": func(*rapid.T) { w.returnAfterLoss() },
		"again after a moment": func(t *rapid.T) {
			v := w.pickWorker()
			w.after(time.Duration(rapid.IntRange(0, 300).Draw(t, "moment_ms"))*time.Millisecond, func() {
				if v.alive {
					w.restart(v)
				}
			})
		},
		"lossy":      func(t *rapid.T) { w.lossy = rapid.Bool().Draw(t, "lossy") },
		"cancel":     func(*rapid.T) { w.cancelSome() },
		"cut":        func(*rapid.T) { v := w.pickWorker(); v.partitioned = !v.partitioned },
		"crash":      func(*rapid.T) { w.crash() },
		"unlist":     func(*rapid.T) { w.unlist() },
		"kill":       func(*rapid.T) { w.replaceOwner(func(o *worldOwner) { o.dead = true }) },
		"freeze":     func(*rapid.T) { w.replaceOwner(w.freeze) },
		"split":      func(*rapid.T) { w.split() },
		"cut record": func(*rapid.T) { w.cutRecord() },
		"shrink":     func(t *rapid.T) { w.resize(int64(rapid.IntRange(1, 4).Draw(t, "cores")) * 1000) },
	})
	w.heal()
	require.Empty(t, w.store.records, "jobs that never end")
}

// restartAndCut restarts the worker of a long task, whose next incarnation may carry out orders to the
// earlier one, replaces the owner, and cuts the worker off soon after.
func (w *world) restartAndCut() {
	task := taskKey{id: w.submitSteps(platform.Step{Count: 1, Resources: platform.Resources{MilliCores: 500}, Estimate: 15 * time.Second})}.String()
	w.advance(w.drawMillis("started_after", 1500))
	v := w.runsOn(task)
	if v == nil {
		return
	}
	w.restart(v)
	w.advance(500*time.Millisecond + w.drawMillis("again_after", 1500))
	w.owner().dead = true
	w.advance(w.drawMillis("owned_after", 1500))
	w.takeOver()
	w.advance(w.drawMillis("cut_after", 1000))
	w.cutRunning(task)
	w.advance(w.drawMillis("cut_for", 9000))
}

// returnAfterLoss cuts a worker off until its owner takes it for ended, replaces the owner, and has the worker
// come back under its name. Once it runs a long task, it is cut off again.
func (w *world) returnAfterLoss() {
	if !w.bindsStarts || w.mixedVersions {
		// A start of a version before that was ruled out may reach the next incarnation.
		return
	}
	v := w.pickWorker()
	v.partitioned = true
	w.deleteRecord(v)
	w.advance(4*time.Second + w.drawMillis("gone_for", 3000))
	w.owner().dead = true
	w.advance(w.drawMillis("owned_after", 1500))
	w.takeOver()
	if !v.alive {
		return
	}
	w.restart(v)
	w.latestByName[v.ID.Name()].partitioned = false
	task := taskKey{id: w.submitSteps(platform.Step{Count: 1, Resources: platform.Resources{MilliCores: 500}, Estimate: 15 * time.Second})}.String()
	w.advance(w.drawMillis("started_after", 3000))
	w.cutRunning(task)
	w.advance(w.drawMillis("cut_for", 9000))
}

// cutRunning cuts the workers off that run a task, for nine seconds.
func (w *world) cutRunning(task string) {
	for _, v := range w.workersByStart {
		if v.alive && v.runs[task] != nil {
			v.partitioned = true
			w.after(9*time.Second, func() { v.partitioned = false })
		}
	}
}

// TestTasksResumeSoonAfterWorkerRestart restarts the worker of a task and requires that the task
// runs again a second after the new incarnation's record at the latest.
func TestTasksResumeSoonAfterWorkerRestart(t *testing.T) {
	const recordWithin = 1500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		w := newWorldOf(t, true)
		lasting := taskKey{id: w.submitLasting()}.String()
		short := taskKey{id: w.submitSteps(platform.Step{Count: 1, Resources: platform.Resources{MilliCores: 500}, Estimate: 20 * time.Second})}.String()
		w.advance(time.Duration(rapid.IntRange(5, 30).Draw(t, "at_work_tenths")) * 100 * time.Millisecond)
		for _, task := range []string{lasting, short} {
			v := w.runsOn(task)
			require.NotNil(t, v, "%s does not run", task)
			w.restart(v)
			w.advance(recordWithin + time.Second)
			require.NotNil(t, w.runsOn(task), "%s does not run a second after the record", task)
		}
	})
}
