package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"amberway/config"
	"amberway/platform"
)

// ErrNoHost says that the data centre has no row for a host.
var ErrNoHost = errors.New("fleet: no such host in this data centre")

// maxHoldTries is how often a change by an operator is tried against others.
const maxHoldTries = 10

// Hold has a host drained and kept so, or lets it back. A host that stays away
// from a reboot is taken out of its wave when it is let back.
func (c *Coordinator) Hold(ctx context.Context, name string, held bool) error {
	for range maxHoldTries {
		if _, err := c.view.Refresh(ctx); err != nil {
			return merry.Prepend(err, "fleet: hold "+name)
		}
		s := c.view.Current()
		w, ok := s.Record.Hosts[name]
		if !ok {
			return fmt.Errorf("%w: %s", ErrNoHost, name)
		}
		if w.Held == held && w.State != Overdue {
			return nil
		}
		r := s.Record.Clone()
		r.Hosts[name] = withHold(w, held)
		err := c.writeRecord(ctx, r, s.Revision)
		if err == nil || !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return merry.Errorf("fleet: hold %s: others change the record all the time", name)
}

func withHold(w HostStatus, held bool) HostStatus {
	w.Held = held
	if !held && w.State == Overdue {
		w.State = Drained
		w.Wave = ""
	}
	return w
}

// writeRecord swaps in a record whose rows an operator changed.
func (c *Coordinator) writeRecord(ctx context.Context, r Record, base platform.Revision) error {
	r.Version++
	r.WriteID = uuid.NewString()
	b, err := json.Marshal(r)
	if err != nil {
		return merry.Prepend(err, "fleet: record")
	}
	rev, err := c.store.Swap(ctx, RecordKey(c.dc), b, base)
	if err != nil {
		return merry.Prepend(err, "fleet: record")
	}
	c.view.OfferRecord(r, rev)
	return nil
}

// WaveProgress is how far a wave is in one data centre.
type WaveProgress struct {
	Hosts       int
	Done        int
	Maintenance []string
	Overdue     []string
}

// ProgressOf counts the rows that the wave covers.
func ProgressOf(v config.Wave, r Record) WaveProgress {
	p := WaveProgress{}
	for _, n := range r.Names() {
		w := r.Hosts[n]
		if !slices.Contains(v.Pools, w.Pool) {
			continue
		}
		p.Hosts++
		switch {
		case w.Wave == v.Name && w.State == Overdue:
			p.Overdue = append(p.Overdue, n)
		case w.Wave == v.Name:
			p.Maintenance = append(p.Maintenance, n)
		case slices.Contains(w.Done, v.Name):
			p.Done++
		}
	}
	return p
}
