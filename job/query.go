package job

import (
	"time"

	"amberway/platform"
)

// StateOf returns the state of a job as callers may see it: a final state is
// told only once the store holds it. Of a cancelled job it holds the mark.
func (c *Core) StateOf(id ID) (platform.State, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if j.state.Final() && j.storedState != j.state && j.state != platform.StateCancelled {
		return platform.StateRunning, true
	}
	return j.state, true
}

// Waiting returns how many accepted jobs of a queue have not begun.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, j := range c.active {
		if !j.started && j.Queue == queue {
			n++
		}
	}
	return n
}

// Figures of an owner's own reach.
const (
	// cutOffAfter is how long more workers have to be silent than answer before
	// an owner takes itself to be cut off.
	cutOffAfter = 900 * time.Millisecond
	// cutOffMinSilent is the fewest silent workers that say anything about it.
	cutOffMinSilent = 4
	// recentAnswerWithin is how long an answer speaks for the way to a worker.
	recentAnswerWithin = 3 * time.Second
)

// checkConnectivity gives ownership up when most workers cannot be reached while the
// store can: another host may reach them.
func (c *Core) checkConnectivity() {
	silent, reached := 0, 0
	for _, w := range c.workers {
		switch {
		case !w.listed || w.stale || w.leaving:
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
		c.emit(LogLine{What: "cut off", Why: "more workers are silent than answer", Fields: []any{"silent", silent, "reached", reached}})
		c.emit(StepDown{Why: whyCutOff})
	}
}

// whyCutOff is the reason of an owner that reaches too few workers.
const whyCutOff = "most workers cannot be reached from here"
