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
	queue string
	// acceptedAt is zero until the store has it.
	acceptedAt time.Time
}

// configure writes the next configuration. It drops the queue that the last one
// added, and adds one.
func (r *Run) configure() {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	r.mu.Lock()
	n := len(r.versions)
	v := version{queue: fmt.Sprintf("extra-%03d", n)}
	r.versions = append(r.versions, v)
	r.mu.Unlock()
	r.fail(r.jobs.Configure(v.queue))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[n].acceptedAt = time.Now()
}

// accepted returns the last configuration that the store has, and how many there
// are with those that are being written.
func (r *Run) accepted() (newest, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all = len(r.versions)
	newest = all - 1
	if newest >= 0 && r.versions[newest].acceptedAt.IsZero() {
		newest--
	}
	return newest, all
}

// watchConfigs asks an entry host, by the queue that was added last and the one
// that was dropped for it, which configuration is in force there.
func (r *Run) watchConfigs(entry int) {
	highest, life := -1, process{}
	for !r.settled() && !r.watched() {
		time.Sleep(askEvery)
		x := r.entry(entry)
		if p := r.process(x.Name); p != life {
			highest, life = -1, p
		}
		n, all := r.accepted()
		for _, i := range []int{n, n - 1} {
			if i < 0 {
				continue
			}
			q := question{entry: x, version: i, newest: n, all: all, sentAt: time.Now()}
			a := q.ask(r.versionOf(i).queue)
			if r.process(x.Name) != life || a == unknown {
				break
			}
			r.checkForce(q, a, highest)
			if a == there {
				highest = max(highest, i)
			}
		}
	}
}

func (r *Run) versionOf(i int) version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions[i]
}

// presence is what an entry host says of a queue.
type presence int

const (
	unknown presence = iota
	there
	absent
)

// question is one about a queue that only one configuration has.
type question struct {
	entry *local.JobsEntry
	// version is that configuration; newest the last that was accepted and all
	// how many were begun when the question was sent.
	version, newest, all int
	sentAt               time.Time
}

func (q question) ask(queue string) presence {
	code, body, err := q.entry.Call(http.MethodGet, queue, "", nil)
	switch {
	case err != nil, strings.Contains(body, "no configuration yet"):
		return unknown
	case code == http.StatusNotFound:
		return absent
	}
	return there
}

// checkForce checks an answer: no older configuration after a newer one, and none
// older than the newest once that has had its time, at an entry host in touch.
func (r *Run) checkForce(q question, a presence, highest int) {
	_, all := r.accepted()
	newest := r.versionOf(q.newest)
	touches := func(scope string) bool { return scope == q.entry.Name || scope == scopeStore || scope == scopeAll }
	switch {
	case a == there && q.version < highest, a == absent && q.version == highest && q.version == q.newest && all == q.all:
		r.brokef("%s went back from configuration %d: queue of %d is %s", q.entry.Name, highest, q.version, a)
	case q.sentAt.Sub(newest.acceptedAt) < configuredWithin, q.sentAt.Sub(r.disturbedAt(touches)) < contactFor:
	case a == absent && q.version == q.newest && all == q.all, a == there && q.version < q.newest:
		r.brokef("%s does not have configuration %d in force %.1f s after it was accepted: queue of %d is %s",
			q.entry.Name, q.newest, q.sentAt.Sub(newest.acceptedAt).Seconds(), q.version, a)
	}
}

// String returns the presence as messages tell it.
func (p presence) String() string {
	return [...]string{"unknown", "there", "absent"}[p]
}
