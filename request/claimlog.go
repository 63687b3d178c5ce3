package request

import (
	"time"

	"github.com/google/uuid"
)

// Times that the at-most-once guarantee rests on. It holds as long as all clocks of the
// deployment are within MaxClockSkew of each other.
const (
	// MaxClockSkew is the largest difference between two clocks.
	MaxClockSkew = 2 * time.Second
	// IDLifetime is how long after its creation an id may be run.
	IDLifetime = time.Hour + time.Minute
	// SegmentLifetime is how long a process that has read a segment waits before it
	// removes it. A process that saw the end of the log less than IDLifetime ago can
	// therefore not miss a segment that has been removed since.
	SegmentLifetime = 2*IDLifetime + 4*MaxClockSkew
)

// ClaimOutcome is the outcome of a claim.
type ClaimOutcome uint32

// The outcomes of a claim.
const (
	// ClaimUnknown says that the claim may or may not have been granted.
	ClaimUnknown ClaimOutcome = iota
	// ClaimGranted says that this attempt, and no other, may run the request.
	ClaimGranted
	// ClaimTaken says that another attempt has claimed the request.
	ClaimTaken
	// ClaimExpired says that the id is older than IDLifetime, so that an earlier run may
	// have been forgotten.
	ClaimExpired
)

// Claim is one attempt's claim on one request.
type Claim struct {
	ID      uuid.UUID
	Attempt uint64
}

// CreatedAt returns when the id was created. It returns false for an id without a
// timestamp: only version 7 of RFC 9562 has one.
func CreatedAt(id uuid.UUID) (time.Time, bool) {
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(ms), true
}

// Fresh reports whether an id may still be run: it was created less than IDLifetime ago
// and, up to clock skew, not in the future.
func Fresh(now time.Time, id uuid.UUID) bool {
	b, ok := CreatedAt(id)
	if !ok {
		return false
	}
	return now.Before(b.Add(IDLifetime)) && b.Before(now.Add(MaxClockSkew))
}

// Segment is one entry of a shard's log: claims that were committed together.
type Segment struct {
	// Write identifies the write that created the segment.
	Write     string
	Committed time.Time
	Claims    []Claim
}

// ClaimLog holds one shard's claims as far as this process has read them. It has no clock
// and does no I/O. Each segment of the log is a key in the platform's store, created by
// compare-and-swap under the number after the last: whoever creates one has read all
// before it.
type ClaimLog struct {
	// last is the number of the last segment read.
	last int64
	// endReadAt is when last was known to be the end of the log.
	endReadAt time.Time
	claims    map[uuid.UUID]uint64
	// firstReadAt holds when this process first read each segment. That is later than the
	// segment's creation, whatever pause came in between.
	firstReadAt map[int64]time.Time
}

// NewClaimLog returns an empty log.
func NewClaimLog() *ClaimLog {
	return &ClaimLog{claims: map[uuid.UUID]uint64{}, firstReadAt: map[int64]time.Time{}}
}

// Apply adds the segment with the number, read at the given time. Segments must be
// applied in the order of their numbers: the first claim on an id wins.
func (l *ClaimLog) Apply(now time.Time, n int64, s Segment) {
	for _, c := range s.Claims {
		if _, ok := l.claims[c.ID]; !ok {
			l.claims[c.ID] = c.Attempt
		}
	}
	if _, ok := l.firstReadAt[n]; !ok {
		l.firstReadAt[n] = now
	}
	l.last = max(l.last, n)
}

// ReachedEnd records that the last segment applied was the end of the log at the given
// time: the time before the read or write that showed it was sent.
func (l *ClaimLog) ReachedEnd(at time.Time) {
	l.endReadAt = at
}

// Restart returns a log without claims that keeps when each segment was first read, so
// that the log can be read again from its start.
func (l *ClaimLog) Restart() *ClaimLog {
	n := NewClaimLog()
	n.firstReadAt = l.firstReadAt
	return n
}

// Next returns the number of the next segment.
func (l *ClaimLog) Next() int64 {
	return l.last + 1
}

// UpToDate reports whether the end of the log was read recently enough to rely on the
// log. It must be checked again after a segment was created, since the process may have
// been paused in between.
func (l *ClaimLog) UpToDate(now time.Time) bool {
	return !l.endReadAt.IsZero() && now.Before(l.endReadAt.Add(IDLifetime-MaxClockSkew))
}

// Decide returns the outcome of a claim, and true if the log decides it. Other claims go
// into the next segment.
func (l *ClaimLog) Decide(now time.Time, c Claim) (ClaimOutcome, bool) {
	if !Fresh(now, c.ID) {
		return ClaimExpired, true
	}
	a, ok := l.claims[c.ID]
	switch {
	case !ok:
		return ClaimUnknown, false
	case a == c.Attempt:
		return ClaimGranted, true
	}
	return ClaimTaken, true
}

// Trim forgets ids that may not be run any more and returns the numbers of the segments
// that may be removed. The last segment is always kept, so that numbers are never reused.
func (l *ClaimLog) Trim(now time.Time) []int64 {
	for id := range l.claims {
		if b, ok := CreatedAt(id); !ok || now.After(b.Add(IDLifetime+MaxClockSkew)) {
			delete(l.claims, id)
		}
	}
	var old []int64
	for n, at := range l.firstReadAt {
		if n < l.last && now.After(at.Add(SegmentLifetime)) {
			old = append(old, n)
		}
	}
	return old
}

// ForgetSegment records that a segment was removed.
func (l *ClaimLog) ForgetSegment(n int64) {
	delete(l.firstReadAt, n)
}

// Len returns the number of ids held.
func (l *ClaimLog) Len() int {
	return len(l.claims)
}
