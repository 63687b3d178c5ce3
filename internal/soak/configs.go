package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"amberway/internal/local"
)

// Parameters of the configuration checks.
const (
	// configTimeout is how long after its acceptance a configuration may take to be in force
	// on each connected entry host. It is the limit that the daemons have by default.
	configTimeout = 2 * time.Second
	// reconnectTime is how long an entry host and the store must have been without faults
	// before the entry host counts as connected.
	reconnectTime = 3 * time.Second
	// configPollInterval is the pause between two polls of one entry host.
	configPollInterval = 100 * time.Millisecond
)

// configuration is one that the run writes, with a queue that no other configuration has.
type configuration struct {
	// acceptedAt is zero until the store has accepted it.
	acceptedAt time.Time
}

// extraQueue returns the name of the queue that only this configuration has.
func extraQueue(version int) string {
	return fmt.Sprintf("extra-%03d", version)
}

// configure writes the next configuration, which replaces the extra queue of the last one by
// another.
func (r *Run) configure() {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.mu.Lock()
	n := len(r.configs)
	r.configs = append(r.configs, configuration{})
	r.mu.Unlock()
	r.recordError(r.deployment.Configure(extraQueue(n)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configs[n].acceptedAt = time.Now()
}

// configState says which configurations have been written by a point in time.
type configState struct {
	at time.Time
	// due is the newest configuration that has to be in force by then, and newest the last
	// one that was accepted. Each is -1 if there is none. begun counts those whose write has
	// begun.
	due, newest, begun int
}

func (r *Run) configState() configState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := configState{at: time.Now(), due: -1, newest: -1, begun: len(r.configs)}
	for i, v := range r.configs {
		if v.acceptedAt.IsZero() {
			break
		}
		s.newest = i
		if s.at.Sub(v.acceptedAt) > configTimeout {
			s.due = i
		}
	}
	return s
}

// configChecker polls one entry host for the configuration that is in force there, which it
// recognises by its extra queue.
type configChecker struct {
	run         *Run
	index       int
	incarnation incarnation
	// highest is the newest configuration that was seen in this incarnation. misses is how
	// many polls in a row found none that may be in force. reported is the last one for
	// which a violation was reported.
	highest, misses, reported int
}

// maxMisses is how many polls in a row may find no configuration: one that comes into force
// between the requests of a poll is missed by all of them.
const maxMisses = 3

// watch polls and checks until the watch is over.
func (c *configChecker) watch() {
	for !c.run.watchIsOver() {
		time.Sleep(configPollInterval)
		x := c.run.entry(c.index)
		if p := c.run.incarnationOf(x.Name); p != c.incarnation {
			c.incarnation, c.highest, c.misses = p, -1, 0
		}
		s := c.run.configState()
		if s.newest+1 < s.begun {
			// The one that is being written may already be in force.
			continue
		}
		found, ok := c.poll(x, s)
		if ok && c.run.incarnationOf(x.Name) == c.incarnation {
			c.check(x, s, found)
		}
	}
}

// poll returns the configuration that is in force. It looks no further back than to the one
// before the due one, and returns -1 if the one in force is older. It reports false if the entry
// host does not answer or has no configuration yet.
func (c *configChecker) poll(x *local.JobsEntry, s configState) (int, bool) {
	for i := s.newest; i >= max(0, s.due-1); i-- {
		code, body, err := x.Call(http.MethodGet, extraQueue(i), "", nil)
		switch {
		case err != nil, strings.Contains(body, "no configuration yet"):
			return 0, false
		case code != http.StatusNotFound:
			return i, true
		}
	}
	return -1, true
}

// check checks the result of a poll. It is a violation if an entry host returns to a
// configuration older than one that was seen before, or if a connected one has a configuration
// older than the due one.
func (c *configChecker) check(x *local.JobsEntry, s configState, found int) {
	if found >= 0 && found < c.highest || found < c.highest && c.highest == s.newest && c.run.configState().begun == s.begun {
		c.run.violationf("%s went back from configuration %d to %d", x.Name, c.highest, found)
		c.highest = found
	}
	c.highest = max(c.highest, found)
	c.misses++
	if found >= s.due || c.run.configState().begun != s.begun {
		c.misses = 0
		return
	}
	affects := func(scope string) bool { return scope == x.Name || scope == scopeStore || scope == scopeAll }
	if c.misses < maxMisses && found < 0 || c.reported == s.due || s.at.Sub(c.run.lastFaultAt(affects)) < reconnectTime {
		return
	}
	c.reported = s.due
	c.run.violationf("%s has configuration %d in force, but %d was accepted %.1f s ago", x.Name, found, s.due,
		s.at.Sub(c.run.configAt(s.due).acceptedAt).Seconds())
}

func (r *Run) configAt(i int) configuration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configs[i]
}
