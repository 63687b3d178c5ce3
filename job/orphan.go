package job

import (
	"cmp"
	"slices"

	"amberway/platform"
)

// rawRunID identifies a run by the task name that its worker reports, which may not be a valid
// key.
type rawRunID struct {
	task   string
	number int64
}

// orphan is a run on a worker that no job of the owner wants. It is to be stopped.
type orphan struct {
	// stopPending reports whether a stop order is in flight.
	stopPending bool
	// job is the run's job, or nil if it is not known; usage is what the run takes of the
	// cap of the job's team.
	job   *job
	usage platform.Resources
}

// addOrphan adds an orphaned run. It counts towards its team's cap.
func (w *worker) addOrphan(id rawRunID, o *orphan) {
	w.orphans[id] = o
	o.charge(1)
}

// dropOrphan removes an orphaned run that has ended, if there is one with the id.
func (w *worker) dropOrphan(id rawRunID) {
	if o := w.orphans[id]; o != nil {
		delete(w.orphans, id)
		o.charge(-1)
	}
}

// charge counts the run towards its team's cap: 1 adds it, -1 removes it.
func (o *orphan) charge(n int64) {
	if o.job == nil {
		return
	}
	o.job.orphanUsage = o.job.orphanUsage.AddTimes(o.usage, n)
	o.job.team.charge(o.usage, n)
}

// dropOrphans removes all orphaned runs, which have ended.
func (w *worker) dropOrphans() {
	for id := range w.orphans {
		w.dropOrphan(id)
	}
}

// orphansToStop returns the orphaned runs to which no order to stop is in flight, by task.
func (w *worker) orphansToStop() []rawRunID {
	var l []rawRunID
	for id, o := range w.orphans {
		if !o.stopPending {
			l = append(l, id)
		}
	}
	slices.SortFunc(l, func(a, b rawRunID) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
	return l
}
