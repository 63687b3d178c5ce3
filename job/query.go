package job

import (
	"time"

	"amberway/platform"
)

// StateOf returns the state of a job as shown to callers. A final state is shown only once
// it is stored; for a cancelled job the stored cancel mark is enough.
func (c *Core) StateOf(id ID) (platform.JobState, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if j.state.Final() && j.storedState != j.state && j.state != platform.StateCancelled {
		return platform.StateRunning, true
	}
	return j.state, true
}

// Waiting returns how many accepted jobs of a queue have not started.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, j := range c.active {
		if !j.started && j.Queue == queue {
			n++
		}
	}
	return n
}

// Limits for detecting that the owner itself is cut off from the workers.
const (
	// cutOffAfter is how long more workers must be silent than answer before an owner
	// considers itself cut off.
	cutOffAfter = 900 * time.Millisecond
	// cutOffMinSilent is the minimum number of silent workers for that.
	cutOffMinSilent = 4
	// recentAnswerWithin is how long after an answer a worker counts as reachable.
	recentAnswerWithin = 3 * time.Second
)

// checkConnectivity steps down if the owner still reaches the store but not most workers:
// another host may reach them. Workers that are known by their records only do not count, as no host
// may reach them.
func (c *Core) checkConnectivity() {
	silent, reached := 0, 0
	for _, w := range c.workers {
		switch {
		case !w.listed || w.stale || w.cordoned || !c.knownToExist(w):
		case w.missedPolls > 0:
			silent++
		case c.now.Sub(w.answeredAt) < recentAnswerWithin:
			reached++
		}
	}
	if silent < cutOffMinSilent || silent <= reached {
		c.cutOffSince = time.Time{}
		return
	}
	if c.cutOffSince.IsZero() {
		c.cutOffSince = c.now
	}
	if c.now.Sub(c.cutOffSince) > cutOffAfter {
		c.emit(LogLine{What: "workers unreachable", Why: "more workers are silent than answer", Fields: []any{"silent", silent, "reached", reached}})
		c.emit(StepDown{Why: whyCutOff})
	}
}

// knownToExist reports whether more than its record says that the worker exists: it has answered an owner,
// or the machine list names it.
func (c *Core) knownToExist(w *worker) bool {
	if w.mayHaveRuns() || c.now.Before(c.rosterUnknownUntil) {
		return true
	}
	m := c.machinesByName[w.Host]
	return m != nil && m.Worker == w.ID.Name()
}

// whyCutOff is the reason for stepping down if too few workers are reachable.
const whyCutOff = "most workers cannot be reached from here"
