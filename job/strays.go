package job

import "amberway/platform"

// rawRunID names a run by the words of its worker.
type rawRunID struct {
	task   string
	number int64
}

// orphan is a run that is not to be there.
type orphan struct {
	// stopPending says that an order to stop it is under way.
	stopPending bool
	// job is what it belongs to, nil where that is not known, and takes what it takes of
	// the cap of the job's team.
	job       *job
	resources platform.Resources
}

// addOrphan notes a run that is not to be there. It counts towards its team's cap.
func (w *worker) addOrphan(id rawRunID, s *orphan) {
	w.orphans[id] = s
	s.charge(1)
}

// dropOrphan notes that a run which is not to be there has ended.
func (w *worker) dropOrphan(id rawRunID) {
	if s := w.orphans[id]; s != nil {
		delete(w.orphans, id)
		s.charge(-1)
	}
}

// charge counts the run towards its team's cap, or no more with -1.
func (s *orphan) charge(n int64) {
	if s.job == nil {
		return
	}
	s.job.orphanUsage = s.job.orphanUsage.Plus(s.resources, n)
	s.job.team.charge(s.resources, n)
}

// dropOrphans notes that all of them have ended.
func (w *worker) dropOrphans() {
	for id := range w.orphans {
		w.dropOrphan(id)
	}
}
