package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"amberway/internal/local"
)

// Figures of the configurations.
const (
	// configTimeout is when an accepted configuration has to be in force at
	// each entry host in touch: the daemons wait two seconds in a watch.
	configTimeout = 2 * time.Second
	// reconnectTime is how long an entry host must have been without faults, and the
	// store as well, to be in touch.
	reconnectTime = 3 * time.Second
	// configPollInterval is the pause between two questions to one entry host.
	configPollInterval = 100 * time.Millisecond
)

// configuration is a configuration with a queue that no other one has.
type configuration struct {
	// acceptedAt is zero until the store has it.
	acceptedAt time.Time
}

func extraQueue(version int) string {
	return fmt.Sprintf("extra-%03d", version)
}

// configure writes the next configuration. It drops the queue that the last one
// added, and adds one.
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

// configState is what was accepted and begun at a time.
type configState struct {
	at time.Time
	// due is the newest configuration that has to be in force by now, newest the
	// last that was accepted; -1 is none. All counts those that were begun.
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

// configChecker asks one entry host which configuration is in force there, by the
// queues that only one has.
type configChecker struct {
	run         *Run
	index       int
	incarnation incarnation
	// highest is the newest that was seen in this life, missed how often in a row
	// none was found that may be in force; told is the last that was told of.
	highest, misses, reported int
}

// maxMisses is how often none may be found in a row: one that changes between
// two questions hides from both.
const maxMisses = 3

// watch asks until what lasts was watched for long enough.
func (f *configChecker) watch() {
	for !f.run.watchIsOver() {
		time.Sleep(configPollInterval)
		x := f.run.entry(f.index)
		if p := f.run.incarnationOf(x.Name); p != f.incarnation {
			f.incarnation, f.highest, f.misses = p, -1, 0
		}
		s := f.run.configState()
		if s.newest+1 < s.begun {
			// One that is being written may be in force already.
			continue
		}
		in, ok := f.poll(x, s)
		if ok && f.run.incarnationOf(x.Name) == f.incarnation {
			f.check(x, s, in)
		}
	}
}

// poll returns the newest configuration that is in force, down to the one before
// that which is due; -1 is none of them.
func (f *configChecker) poll(x *local.JobsEntry, s configState) (int, bool) {
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

// check checks what was found: nothing older than what was seen, and nothing older
// than what is due at an entry host in touch.
func (f *configChecker) check(x *local.JobsEntry, s configState, in int) {
	if in >= 0 && in < f.highest || in < f.highest && f.highest == s.newest && f.run.configState().begun == s.begun {
		f.run.violationf("%s went back from configuration %d to %d", x.Name, f.highest, in)
		f.highest = in
	}
	f.highest = max(f.highest, in)
	f.misses++
	if in >= s.due || f.run.configState().begun != s.begun {
		f.misses = 0
		return
	}
	touches := func(scope string) bool { return scope == x.Name || scope == scopeStore || scope == scopeAll }
	if f.misses < maxMisses && in < 0 || f.reported == s.due || s.at.Sub(f.run.lastFaultAt(touches)) < reconnectTime {
		return
	}
	f.reported = s.due
	f.run.violationf("%s has configuration %d in force, and %d was accepted %.1f s ago", x.Name, in, s.due,
		s.at.Sub(f.run.configAt(s.due).acceptedAt).Seconds())
}

func (r *Run) configAt(i int) configuration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configs[i]
}
