package common

import (
	"sync"
	"time"
)

// shownWithin is how far apart two addresses may show silence to count as one event:
// what a waiting look and a renewal take to show it differs by about a second.
const shownWithin = 1500 * time.Millisecond

// Silences joins the connections of several clients. A kept connection that was silent
// while a new one to its address answers tells of its address only; a request of it
// may have been lost. Where two addresses show that at a time, the host's connections
// have gone silent together, and those to every address are given up that have brought
// nothing since.
type Silences struct {
	mu    sync.Mutex
	of    []*Connections
	shown map[string]silence
}

// silence is what one address has shown.
type silence struct {
	// due is when the kept connection should have answered, and at when the new one
	// had.
	due, at time.Time
}

// Join has the connections show each other their silences. It is called before any is
// opened.
func Join(l ...*Connections) {
	s := &Silences{of: l, shown: map[string]silence{}}
	for _, o := range l {
		o.silences = s
	}
}

// show notes that a new connection to the address has answered where a kept one, due
// at a time, was silent.
func (s *Silences) show(address string, due, now time.Time) {
	if s == nil {
		return
	}
	since, together := s.note(address, silence{due: due, at: now})
	if !together {
		return
	}
	for _, o := range s.of {
		o.distrustAll(since)
	}
}

// note returns since when a connection has to have brought something, and whether two
// addresses have shown silence by now. Both begin anew after that.
func (s *Silences) note(address string, n silence) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shown[address] = n
	since, together := n.due, false
	for a, v := range s.shown {
		switch {
		case n.at.Sub(v.at) > shownWithin:
			delete(s.shown, a)
		case a != address:
			together = true
			if v.due.Before(since) {
				since = v.due
			}
		}
	}
	if together {
		clear(s.shown)
	}
	return since.Add(answerWithin), together
}
