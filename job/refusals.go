package job

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// maxRefusals is how many refused jobs a host remembers: about as many as a busy host refuses
// in some minutes.
const maxRefusals = 1024

// Reasons for refusing a job, as shown to operators who ask about the job.
const (
	refusedKey      = "no such key"
	refusedOutdated = "it was not known whether its key was in force"
	refusedFull     = "its queue was full"
	refusedShare    = "its queue was full, and its team beyond its share"
	refusedRoom     = "its pool had too few hosts to run it in time"
	// refusedRoomShare: jobs of teams within their shares were admitted.
	refusedRoomShare = "its pool had too few hosts to run it in time, and its team was beyond its share"
	refusedCap       = "it can never run within its team's cap"
)

// Refusal describes a job that this entry host has refused.
type Refusal struct {
	ID  ID        `json:"id"`
	Why string    `json:"why"`
	At  time.Time `json:"at"`
}

// refusals remembers the last jobs that this host has refused, and counts them by team.
type refusals struct {
	mu     sync.Mutex
	byID   map[ID]Refusal
	order  []ID
	byTeam map[string]int64
}

func newRefusals() *refusals {
	return &refusals{byID: map[ID]Refusal{}, byTeam: map[string]int64{}}
}

// add remembers a refusal. The team is "" if the caller's team is not known.
func (l *refusals) add(r Refusal, team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if team != "" {
		l.byTeam[team]++
	}
	if _, known := l.byID[r.ID]; !known {
		l.order = append(l.order, r.ID)
	}
	l.byID[r.ID] = r
	if len(l.order) > maxRefusals {
		delete(l.byID, l.order[0])
		l.order = l.order[1:]
	}
}

func (l *refusals) find(id ID) (Refusal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.byID[id]
	return r, ok
}

// counts returns the number of refused jobs by team.
func (l *refusals) counts() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.byTeam)
}

func (n *Node) serveRefusal(w http.ResponseWriter, r *http.Request) {
	v, ok := n.refusals.find(ID(r.PathValue("id")))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, v)
}
