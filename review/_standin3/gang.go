package main

import (
	"fmt"
	"sync"
	"time"
)

// gangs knows which members of which gangs run, on all workers.
type gangs struct {
	mu      sync.Mutex
	waitFor time.Duration
	byRun   map[string]*gang
}

// gang is one run of a gang. Its members work together once all of them are there and have brought
// the same snapshot.
type gang struct {
	size    int
	members map[int]*run
	broken  bool
	// complete says that all members are there, with the same snapshot.
	complete bool
}

func newGangs(wait time.Duration) *gangs {
	return &gangs{waitFor: wait, byRun: map[string]*gang{}}
}

func gangKey(o *run) string {
	return fmt.Sprintf("%s.%d.%d/%d", o.task.job, o.task.instance, o.task.step, o.number)
}

// join adds a member that has just started.
func (g *gangs) join(o *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := gangKey(o)
	v := g.byRun[k]
	if v == nil {
		v = &gang{size: o.step.Count, members: map[int]*run{}}
		g.byRun[k] = v
	}
	v.members[o.task.index] = o
	if len(v.members) < v.size || v.broken {
		return
	}
	for _, m := range v.members {
		if m.brought != o.brought {
			return
		}
	}
	v.complete = true
}

// waiting returns how a member ends that does not work yet, or "" if it goes on. It sets when the member
// began to work. The caller holds the lock of the member's worker.
func (g *gangs) waiting(o *run) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.byRun[gangKey(o)]
	switch {
	case v.broken:
		return "broken"
	case v.complete:
		o.workingFrom = time.Now()
		return ""
	case time.Since(o.startedAt) > g.waitFor:
		return "alone"
	}
	return ""
}

func (g *gangs) isBroken(o *run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byRun[gangKey(o)].broken
}

// breakUp ends the other members of a gang of which one has ended.
func (g *gangs) breakUp(o *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.byRun[gangKey(o)]
	delete(v.members, o.task.index)
	if v.complete {
		v.broken = true
	}
}
