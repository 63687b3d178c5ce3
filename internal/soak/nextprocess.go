package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"amberway/internal/local"
)

// Parameters of next processes.
const (
	// nextProcessInterval is the mean time between two of them.
	nextProcessInterval = 4 * time.Second
	// ownerSampleInterval is how often the owner's key is read.
	ownerSampleInterval = 10 * time.Millisecond
)

// nextProcesses returns processes that are started under the name of an entry host, mostly the owner,
// while the earlier process stands still (Hangs), is cut off from the platform, or goes on.
func nextProcesses(r *rand.Rand, entries int, until time.Duration) []Event {
	var l []Event
	for at := time.Second; at < until; at += time.Duration(r.ExpFloat64() * float64(nextProcessInterval)) {
		e := Event{At: at, Kind: NextProcess, Entry: r.IntN(entries), Owner: r.IntN(4) > 0, Duration: randomDuration(r, 300*time.Millisecond, 6*time.Second)}
		switch r.IntN(3) {
		case 0:
			e.Hangs = true
		case 1:
			e.LinkState = Blocked
		}
		l = append(l, e)
	}
	return l
}

// startNextProcess starts another process under the name of an entry host. The earlier one goes on
// for the event's duration after its fault, and is then killed.
func (r *Run) startNextProcess(x *local.JobsEntry, e Event) {
	if !r.reserve(x.Name) {
		return
	}
	earlier := r.linksOf(x.Name, false)
	set := func(s LinkState) {
		for _, l := range earlier {
			for _, k := range l {
				k.SetState(s)
			}
		}
	}
	if e.Hangs {
		_ = x.Signal(syscall.SIGSTOP)
	}
	set(e.LinkState)
	r.newIncarnation(x.Name)
	_, err := r.deployment.StartNext(x)
	r.newIncarnation(x.Name)
	r.recordError(err)
	r.count("next processes")
	r.release(x.Name)
	time.Sleep(e.Duration)
	set(Healthy)
	if e.Hangs {
		r.noteThaw()
		_ = x.Signal(syscall.SIGCONT)
	}
	time.Sleep(e.Duration)
	x.Kill()
}

// ownerClaims are the claims that the owner's key has held.
type ownerClaims struct {
	seen    map[string]bool
	current string
}

// note notes the claim of a process, which has replaced another claim or was made at a vacancy, and
// reports whether the process has taken the key back.
func (c *ownerClaims) note(process string, replaced bool) bool {
	if process == c.current {
		return false
	}
	back := replaced && c.seen[process]
	c.seen[process] = true
	c.current = process
	return back
}

// watchOwner reports processes that take the owner's key from another one although they had it before.
func (r *Run) watchOwner() {
	c := ownerClaims{seen: map[string]bool{}}
	for time.Now().Before(r.settledAt) {
		b, replaced := r.deployment.Fleet.Store.Replaced("jobs/owner")
		var o struct {
			Name    string `json:"name"`
			Process string `json:"process"`
		}
		if json.Unmarshal(b, &o) == nil && o.Process != "" {
			if replaced && o.Process != c.current {
				r.count("predecessors replaced")
			}
			if c.note(o.Process, replaced) {
				r.violationf("a process of %s has taken the owner's key back", o.Name)
			}
		}
		time.Sleep(ownerSampleInterval)
	}
}

// nextProcessString describes the start of a next process on one line.
func (e Event) nextProcessString(host string) string {
	how := "goes on"
	switch {
	case e.Hangs:
		how = "stands still"
	case e.LinkState != Healthy:
		how = "is cut off"
	}
	return fmt.Sprintf("%6.2fs %-9s %-9s the earlier one %s for %s", e.At.Seconds(), e.Kind, host, how, e.Duration)
}
