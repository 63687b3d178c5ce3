package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Hash identifies a section by its content.
type Hash string

// HashOf returns the hash of an encoded section.
func HashOf(b []byte) Hash {
	s := sha256.Sum256(b)
	return Hash(hex.EncodeToString(s[:hashBytes]))
}

// hashBytes is the length to which the SHA-256 sum of a section is truncated.
const hashBytes = 16

// Kinds of sections. Section names begin with them.
const (
	sectionRoot    = "root"
	sectionTeam    = "team/"
	sectionPool    = "pool/"
	sectionService = "service/"
	sectionWave    = "wave/"
)

// Head lists the sections of one generation of the configuration.
type Head struct {
	// Generation is raised with each publication. Zero means that there is no
	// configuration.
	Generation int64 `json:"generation"`
	// WriteID is the id of the write that stored this head.
	WriteID string `json:"write"`
	// RecentWrites are the ids of previous writes, newest first. A publisher whose
	// answer was lost uses them to find out whether its write took effect.
	RecentWrites []string `json:"recent,omitempty"`
	// Order has the names of the sections in the order of the document.
	Order []string `json:"order"`
	// Sections has the hash of each section by its name.
	Sections map[string]Hash `json:"sections"`
}

// maxRecentWrites bounds Head.RecentWrites.
const maxRecentWrites = 16

// HasWrite reports whether the write with the id stored this head or a recent one.
func (h *Head) HasWrite(id string) bool {
	return h.WriteID == id || slices.Contains(h.RecentWrites, id)
}

// next returns the head that follows h and lists the sections of d, and these sections
// encoded, by hash.
func (h *Head) next(d *Document, write string) (*Head, map[Hash][]byte, error) {
	n := &Head{Generation: h.Generation + 1, WriteID: write, Sections: map[string]Hash{}}
	if h.WriteID != "" {
		n.RecentWrites = append([]string{h.WriteID}, h.RecentWrites...)
	}
	n.RecentWrites = n.RecentWrites[:min(len(n.RecentWrites), maxRecentWrites)]
	blobs, err := n.addSections(d)
	return n, blobs, err
}

// addSections adds the sections of the document to the head, and returns them encoded,
// by hash.
func (h *Head) addSections(d *Document) (map[Hash][]byte, error) {
	blobs := map[Hash][]byte{}
	add := func(name string, v any) error {
		b, err := json.Marshal(v)
		if err != nil {
			return merry.Prepend(err, "config: section "+name)
		}
		h.Order = append(h.Order, name)
		h.Sections[name] = HashOf(b)
		blobs[HashOf(b)] = b
		return nil
	}
	root := Document{Operator: d.Operator, DataCentres: d.DataCentres, Placement: d.Placement}
	if err := add(sectionRoot, root); err != nil {
		return nil, err
	}
	for _, v := range d.Teams {
		if err := add(sectionTeam+v.Name, v); err != nil {
			return nil, err
		}
	}
	for _, v := range d.Pools {
		if err := add(sectionPool+v.Name, v); err != nil {
			return nil, err
		}
	}
	for _, v := range d.Services {
		if err := add(sectionService+v.Name, v); err != nil {
			return nil, err
		}
	}
	for _, v := range d.Waves {
		if err := add(sectionWave+v.Name, v); err != nil {
			return nil, err
		}
	}
	return blobs, nil
}

// Missing returns the hashes of the head's sections that are not in have.
func (h *Head) Missing(have map[Hash][]byte) []Hash {
	var l []Hash
	for _, n := range h.Order {
		if _, ok := have[h.Sections[n]]; !ok {
			l = append(l, h.Sections[n])
		}
	}
	return l
}

// Assemble decodes the document from its sections, and verifies their hashes.
func (h *Head) Assemble(have map[Hash][]byte) (*Document, error) {
	d := &Document{}
	for _, n := range h.Order {
		b, ok := have[h.Sections[n]]
		if !ok {
			return nil, fmt.Errorf("config: section %s is missing", n)
		}
		if HashOf(b) != h.Sections[n] {
			return nil, fmt.Errorf("config: section %s does not match its hash", n)
		}
		if err := d.addSection(n, b); err != nil {
			return nil, merry.Prepend(err, "config: section "+n)
		}
	}
	return d, nil
}

// addSection decodes one section and adds it to the document.
func (d *Document) addSection(name string, b []byte) error {
	switch {
	case name == sectionRoot:
		return json.Unmarshal(b, d)
	case strings.HasPrefix(name, sectionTeam):
		return appendTo(&d.Teams, b)
	case strings.HasPrefix(name, sectionPool):
		return appendTo(&d.Pools, b)
	case strings.HasPrefix(name, sectionService):
		return appendTo(&d.Services, b)
	case strings.HasPrefix(name, sectionWave):
		return appendTo(&d.Waves, b)
	}
	return fmt.Errorf("unknown kind of section")
}

func appendTo[T any](l *[]T, b []byte) error {
	var v T
	if err := json.Unmarshal(b, &v); err != nil {
		return err
	}
	*l = append(*l, v)
	return nil
}

// Changes returns the sorted names of the sections that differ between two heads.
func Changes(a, b *Head) []string {
	var l []string
	for n, h := range b.Sections {
		if a.Sections[n] != h {
			l = append(l, n)
		}
	}
	for n := range a.Sections {
		if _, ok := b.Sections[n]; !ok {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}
