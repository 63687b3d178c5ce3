package config

import (
	"maps"
	"time"
)

// Snapshot is one configuration in force. It is never changed.
type Snapshot struct {
	Head     *Head
	Document *Document
	// Blobs are the sections by hash, handed on to peers.
	Blobs map[Hash][]byte
	// AdoptedAt is when this process put it in force.
	AdoptedAt time.Time
}

// Adopter decides which head is in force. It has no clock and no I/O: heads
// are offered from wherever they were learned, and a lower generation never
// follows a higher one.
type Adopter struct {
	current *Snapshot
	pending *Head
	blobs   map[Hash][]byte
	// ConfirmedAt is when the platform itself last told its head.
	ConfirmedAt time.Time
}

// NewAdopter returns an adopter with generation zero in force.
func NewAdopter() *Adopter {
	s := &Snapshot{Head: &Head{Sections: map[string]Hash{}}, Document: &Document{}}
	return &Adopter{current: s, blobs: map[Hash][]byte{}}
}

// Current returns the snapshot in force.
func (a *Adopter) Current() *Snapshot {
	return a.current
}

// Offer takes note of a head and reports whether it is newer than all before.
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

// Missing returns the sections that the offered head still lacks.
func (a *Adopter) Missing() []Hash {
	if a.pending == nil {
		return nil
	}
	return a.pending.Missing(a.blobs)
}

// Supply adds sections and puts the offered head in force if it is whole. A
// section whose content does not fit its hash is dropped.
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

// dropUnused drops the sections that the head does not name.
func (a *Adopter) dropUnused(h *Head) {
	keep := map[Hash]bool{}
	for _, v := range h.Sections {
		keep[v] = true
	}
	for v := range a.blobs {
		if !keep[v] {
			delete(a.blobs, v)
		}
	}
}
