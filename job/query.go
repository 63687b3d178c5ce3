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
	if j.state.Final() && j.kept != j.state && j.state != platform.StateCancelled {
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
	// cutOffFor is how long more workers have to be silent than answer before
	// an owner takes itself to be cut off.
	cutOffFor = 900 * time.Millisecond
	// cutOffLeast is the fewest silent workers that say anything about it.
	cutOffLeast = 4
	// heardLately is how long an answer speaks for the way to a worker.
	heardLately = 3 * time.Second
)

// checkReach gives ownership up when most workers cannot be reached while the
// store can: another host may reach them.
func (c *Core) checkReach() {
	silent, reached := 0, 0
	for _, w := range c.workers {
		switch {
		case !w.listed || w.stale || w.leaving:
		case w.silent > 0:
			silent++
		case c.now.Sub(w.heardAt) < heardLately:
			reached++
		}
	}
	if silent < cutOffLeast || silent <= reached {
		c.cutOffSince = time.Time{}
		return
	}
	if c.cutOffSince.IsZero() {
		c.cutOffSince = c.now
	}
	if c.now.Sub(c.cutOffSince) > cutOffFor {
		c.do(Note{What: "cut off", Why: "more workers are silent than answer", Inputs: []any{"silent", silent, "reached", reached}})
		c.do(StepDown{Why: whyCutOff})
	}
}

// whyCutOff is the reason of an owner that reaches too few workers.
const whyCutOff = "most workers cannot be reached from here"
