package job

import (
	"time"

	"amberway/platform"
)

// StateOf returns the state of a job as callers may see it: a final state is
// told only once the store holds it.
func (c *Core) StateOf(id ID) (platform.State, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if j.state.Final() && j.kept != j.state {
		return platform.StateRunning, true
	}
	return j.state, true
}

// Waiting returns how many accepted jobs of a queue have not begun.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, j := range c.live {
		if !j.began && j.Queue == queue {
			n++
		}
	}
	return n
}

// Figures of an owner's own reach.
const (
	// cutOffShare is the share of the workers, as its inverse, that have to be
	// silent before an owner takes itself to be cut off.
	cutOffShare = 2
	// cutOffFor is how long they have to be.
	cutOffFor = 900 * time.Millisecond
	// cutOffLeast is the fewest workers that say anything about it.
	cutOffLeast = 4
)

// checkReach gives ownership up when most workers cannot be reached while the
// store can: another host may reach them.
func (c *Core) checkReach() {
	silent, tried := 0, 0
	for _, w := range c.workers {
		if !w.listed || w.stale || w.leaving || (w.met && len(w.runs) == 0 && w.silent == 0) {
			continue
		}
		tried++
		if w.silent > 0 {
			silent++
		}
	}
	if tried < cutOffLeast || silent*cutOffShare <= tried {
		c.cutOffSince = time.Time{}
		return
	}
	if c.cutOffSince.IsZero() {
		c.cutOffSince = c.now
	}
	if c.now.Sub(c.cutOffSince) > cutOffFor {
		c.do(StepDown{Why: whyCutOff})
	}
}

// whyCutOff is the reason of an owner that reaches too few workers.
const whyCutOff = "most workers cannot be reached from here"
