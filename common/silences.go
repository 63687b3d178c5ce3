package common

import (
	"sync"
	"time"
)

// silenceWindow is how far apart two addresses may show silence to count as one event:
// what a waiting look and a renewal take to show it differs by about a second.
const silenceWindow = 1500 * time.Millisecond

// ConnectionGroup joins the connections of several clients. A kept connection that was silent
// while a new one to its address answers tells of its address only; a request of it
// may have been lost. Where two addresses show that at a time, the host's connections
// have gone silent together, and those to every address are given up that have brought
// nothing since.
type ConnectionGroup struct {
	mu       sync.Mutex
	members  []*Connections
	silences map[string]silence
}

// silence is what one address has shown.
type silence struct {
	// due is when the kept connection should have answered, and at when the new one
	// had.
	due, answeredAt time.Time
}

// JoinConnections has the connections show each other their silences. It is called before any is
// opened.
func JoinConnections(l ...*Connections) {
	s := &ConnectionGroup{members: l, silences: map[string]silence{}}
	for _, o := range l {
		o.group = s
	}
}

// reportSilence notes that a new connection to the address has answered where a kept one, due
// at a time, was silent.
func (s *ConnectionGroup) reportSilence(address string, due, now time.Time) {
	if s == nil {
		return
	}
	since, together := s.record(address, silence{due: due, answeredAt: now})
	if !together {
		return
	}
	for _, o := range s.members {
		o.distrustAll(since)
	}
}

// record returns since when a connection has to have brought something, and whether two
// addresses have shown silence by now. Both begin anew after that.
func (s *ConnectionGroup) record(address string, n silence) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silences[address] = n
	since, together := n.due, false
	for a, v := range s.silences {
		switch {
		case n.answeredAt.Sub(v.answeredAt) > silenceWindow:
			delete(s.silences, a)
		case a != address:
			together = true
			if v.due.Before(since) {
				since = v.due
			}
		}
	}
	if together {
		clear(s.silences)
	}
	return since.Add(usualAnswerTime), together
}
