package config

import (
	"maps"
	"time"
)

// Snapshot is one configuration that is in force. It is immutable.
type Snapshot struct {
	Head     *Head
	Document *Document
	// Blobs are the encoded sections by hash, as they are sent to peers.
	Blobs map[Hash][]byte
	// AdoptedAt is when this process put it in force.
	AdoptedAt time.Time
}

// Adopter decides which head is in force. Its callers offer heads from any source; a
// lower generation never replaces a higher one. It has no clock and does no I/O.
type Adopter struct {
	current *Snapshot
	pending *Head
	blobs   map[Hash][]byte
	// ConfirmedAt is when the platform itself last confirmed its head, by a read
	// or by the watch.
	ConfirmedAt time.Time
}

// NewAdopter returns an adopter with an empty configuration of generation zero.
func NewAdopter() *Adopter {
	s := &Snapshot{Head: &Head{Sections: map[string]Hash{}}, Document: &Document{}}
	return &Adopter{current: s, blobs: map[Hash][]byte{}}
}

// Current returns the snapshot in force.
func (a *Adopter) Current() *Snapshot {
	return a.current
}

// Offer makes the head pending if it is newer than all heads before, and reports
// whether it is.
func (a *Adopter) Offer(h *Head) bool {
	if h.Generation <= a.current.Head.Generation {
		return false
	}
	if a.pending != nil && h.Generation <= a.pending.Generation {
		return false
	}
	a.pending = h
	return true
}

// Missing returns the hashes of the sections that the pending head still lacks.
func (a *Adopter) Missing() []Hash {
	if a.pending == nil {
		return nil
	}
	return a.pending.Missing(a.blobs)
}

// Supply adds sections, and puts the pending head in force once none is missing. It
// returns the new snapshot, or nil if the head in force stays. Sections whose content
// does not match their hash are dropped.
func (a *Adopter) Supply(now time.Time, blobs map[Hash][]byte) (*Snapshot, error) {
	for h, b := range blobs {
		if HashOf(b) == h {
			a.blobs[h] = b
		}
	}
	if a.pending == nil || len(a.Missing()) > 0 {
		return nil, nil
	}
	d, err := a.pending.Assemble(a.blobs)
	if err != nil {
		return nil, err
	}
	a.dropUnused(a.pending)
	a.current = &Snapshot{Head: a.pending, Document: d, Blobs: maps.Clone(a.blobs), AdoptedAt: now}
	a.pending = nil
	return a.current, nil
}

// dropUnused drops the sections that the head does not refer to.
func (a *Adopter) dropUnused(h *Head) {
	used := map[Hash]bool{}
	for _, v := range h.Sections {
		used[v] = true
	}
	for v := range a.blobs {
		if !used[v] {
			delete(a.blobs, v)
		}
	}
}
