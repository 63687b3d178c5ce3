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
	// configuredWithin is when an accepted configuration has to be in force at
	// each entry host in touch: the daemons wait two seconds in a watch.
	configuredWithin = 2 * time.Second
	// contactFor is how long an entry host must have been without faults, and the
	// store as well, to be in touch.
	contactFor = 3 * time.Second
	// askEvery is the pause between two questions to one entry host.
	askEvery = 100 * time.Millisecond
)

// version is a configuration with a queue that no other one has.
type version struct {
	// acceptedAt is zero until the store has it.
	acceptedAt time.Time
}

func queueOf(version int) string {
	return fmt.Sprintf("extra-%03d", version)
}

// configure writes the next configuration. It drops the queue that the last one
// added, and adds one.
func (r *Run) configure() {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	r.mu.Lock()
	n := len(r.versions)
	r.versions = append(r.versions, version{})
	r.mu.Unlock()
	r.fail(r.jobs.Configure(queueOf(n)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[n].acceptedAt = time.Now()
}

// standing is what was accepted and begun at a time.
type standing struct {
	at time.Time
	// due is the newest configuration that has to be in force by now, newest the
	// last that was accepted; -1 is none. All counts those that were begun.
	due, newest, all int
}

func (r *Run) standing() standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := standing{at: time.Now(), due: -1, newest: -1, all: len(r.versions)}
	for i, v := range r.versions {
		if v.acceptedAt.IsZero() {
			break
		}
		s.newest = i
		if s.at.Sub(v.acceptedAt) > configuredWithin {
			s.due = i
		}
	}
	return s
}

// follower asks one entry host which configuration is in force there, by the
// queues that only one has.
type follower struct {
	run   *Run
	index int
	life  process
	// highest is the newest that was seen in this life, missed how often in a row
	// none was found that may be in force; told is the last that was told of.
	highest, missed, told int
}

// missedMost is how often none may be found in a row: one that changes between
// two questions hides from both.
const missedMost = 3

// watch asks until what lasts was watched for long enough.
func (f *follower) watch() {
	for !f.run.watched() {
		time.Sleep(askEvery)
		x := f.run.entry(f.index)
		if p := f.run.process(x.Name); p != f.life {
			f.life, f.highest, f.missed = p, -1, 0
		}
		s := f.run.standing()
		if s.newest+1 < s.all {
			// One that is being written may be in force already.
			continue
		}
		in, ok := f.ask(x, s)
		if ok && f.run.process(x.Name) == f.life {
			f.check(x, s, in)
		}
	}
}

// ask returns the newest configuration that is in force, down to the one before
// that which is due; -1 is none of them.
func (f *follower) ask(x *local.JobsEntry, s standing) (int, bool) {
	for i := s.newest; i >= max(0, s.due-1); i-- {
		code, body, err := x.Call(http.MethodGet, queueOf(i), "", nil)
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
func (f *follower) check(x *local.JobsEntry, s standing, in int) {
	if in >= 0 && in < f.highest || in < f.highest && f.highest == s.newest && f.run.standing().all == s.all {
		f.run.brokef("%s went back from configuration %d to %d", x.Name, f.highest, in)
		f.highest = in
	}
	f.highest = max(f.highest, in)
	f.missed++
	if in >= s.due || f.run.standing().all != s.all {
		f.missed = 0
		return
	}
	touches := func(scope string) bool { return scope == x.Name || scope == scopeStore || scope == scopeAll }
	if f.missed < missedMost && in < 0 || f.told == s.due || s.at.Sub(f.run.disturbedAt(touches)) < contactFor {
		return
	}
	f.told = s.due
	f.run.brokef("%s has configuration %d in force, and %d was accepted %.1f s ago", x.Name, in, s.due,
		s.at.Sub(f.run.versionOf(s.due).acceptedAt).Seconds())
}

func (r *Run) versionOf(i int) version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions[i]
}
