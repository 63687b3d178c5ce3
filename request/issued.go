package request

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// IssuedID is an id that only the process that issued it may run. That needs no agreement
// with other processes, so such requests are served while the platform is down.
type IssuedID struct {
	// Name and Incarnation are those of the process.
	Name        string
	Incarnation uint64
	ID          uuid.UUID
}

// issuedPrefix begins every issued id, and distinguishes it from a plain UUID.
const issuedPrefix = "issued"

// String returns the id in the form that callers send.
func (i IssuedID) String() string {
	return fmt.Sprintf("%s:%s:%d:%s", issuedPrefix, i.Name, i.Incarnation, i.ID)
}

// ParseIssued parses an issued id. It returns false for anything else.
func ParseIssued(s string) (IssuedID, bool) {
	p := strings.Split(s, ":")
	if len(p) != 4 || p[0] != issuedPrefix {
		return IssuedID{}, false
	}
	n, err := strconv.ParseUint(p[2], 10, 64)
	if err != nil {
		return IssuedID{}, false
	}
	id, err := uuid.Parse(p[3])
	if err != nil {
		return IssuedID{}, false
	}
	return IssuedID{Name: p[1], Incarnation: n, ID: id}, true
}

// Issuer issues ids and remembers in memory which of them were claimed. A restart loses
// that memory, and the new incarnation may not run ids of the old one.
type Issuer struct {
	name        string
	incarnation uint64
	mu          sync.Mutex
	claimed     map[uuid.UUID]bool
	nextSweep   time.Time
}

// NewIssuer returns the issuer of one incarnation of a process.
func NewIssuer(name string, incarnation uint64) *Issuer {
	return &Issuer{name: name, incarnation: incarnation, claimed: map[uuid.UUID]bool{}}
}

// New issues an id.
func (i *Issuer) New() IssuedID {
	return IssuedID{Name: i.name, Incarnation: i.incarnation, ID: uuid.Must(uuid.NewV7())}
}

// Issued reports whether this incarnation issued the id.
func (i *Issuer) Issued(v IssuedID) bool {
	return v.Name == i.name && v.Incarnation == i.incarnation
}

// Claim grants the id to the first attempt that asks for it.
func (i *Issuer) Claim(now time.Time, v IssuedID) ClaimOutcome {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sweep(now)
	switch {
	case !i.Issued(v):
		return ClaimTaken
	case !Fresh(now, v.ID):
		return ClaimExpired
	case i.claimed[v.ID]:
		return ClaimTaken
	}
	i.claimed[v.ID] = true
	return ClaimGranted
}

// sweep forgets ids that are too old to be claimed. The caller holds mu.
func (i *Issuer) sweep(now time.Time) {
	if now.Before(i.nextSweep) {
		return
	}
	i.nextSweep = now.Add(trimInterval)
	for id := range i.claimed {
		if b, _ := CreatedAt(id); now.After(b.Add(IDLifetime + MaxClockSkew)) {
			delete(i.claimed, id)
		}
	}
}
