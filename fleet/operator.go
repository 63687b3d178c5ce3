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

// ErrNoHost is returned for a host that the data centre's record does not have.
var ErrNoHost = errors.New("fleet: no such host in this data centre")

// maxHoldTries bounds the attempts at an operator's change while other writes of the
// record conflict with it.
const maxHoldTries = 10

// Hold has a host drained and kept drained, or releases it. Releasing a host that
// is overdue from its reboot also removes it from its wave.
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
	return merry.Errorf("fleet: hold %s: the record changed during every attempt", name)
}

// withHold returns the status of a host after Hold.
func withHold(w HostStatus, held bool) HostStatus {
	w.Held = held
	if !held && w.State == Overdue {
		w.State = Drained
		w.Wave = ""
	}
	return w
}

// writeRecord writes a record that was changed for an operator.
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

// WaveProgress is the progress of a wave in one data centre.
type WaveProgress struct {
	Hosts       int
	Done        int
	Maintenance []string
	Overdue     []string
}

// ProgressOf returns the progress of the wave over the hosts of its pools.
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
