package common

import (
	"sync"
	"time"
)

// silenceWindow is the time within which the silences of two addresses count as one event:
// the times that a long poll and a lease renewal need to detect it differ by about a second.
const silenceWindow = 1500 * time.Millisecond

// ConnectionGroup detects that the connections of several clients have become silent
// together. If a reused connection is silent while a new one to its address gets an answer,
// that says nothing about other addresses: only a request may have been lost. If it happens
// for two addresses at about the same time, all connections of the host are suspect, and
// those to every address that have received nothing since are closed or their calls
// abandoned.
type ConnectionGroup struct {
	mu       sync.Mutex
	members  []*Connections
	silences map[string]silence
}

// silence is the last silence of a connection to one address.
type silence struct {
	// due is when the answer should have come on the reused connection, answeredAt when it
	// came on a new one.
	due, answeredAt time.Time
}

// JoinConnections makes the connections one group. It must be called before any of them is
// opened.
func JoinConnections(l ...*Connections) {
	g := &ConnectionGroup{members: l, silences: map[string]silence{}}
	for _, o := range l {
		o.group = g
	}
}

// reportSilence records that a new connection to the address has got an answer, while a
// reused one had got none by due.
func (g *ConnectionGroup) reportSilence(address string, due, now time.Time) {
	if g == nil {
		return
	}
	since, together := g.record(address, silence{due: due, answeredAt: now})
	if !together {
		return
	}
	for _, o := range g.members {
		o.distrustAll(since)
	}
}

// record records the silence of the address. It reports whether another address was silent
// within silenceWindow, and returns the time since which a connection must have received
// something to be trusted. If two addresses were silent, all recorded silences are cleared.
func (g *ConnectionGroup) record(address string, newest silence) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silences[address] = newest
	since, together := newest.due, false
	for a, v := range g.silences {
		switch {
		case newest.answeredAt.Sub(v.answeredAt) > silenceWindow:
			delete(g.silences, a)
		case a != address:
			together = true
			if v.due.Before(since) {
				since = v.due
			}
		}
	}
	if together {
		clear(g.silences)
	}
	return since.Add(usualAnswerTime), together
}
