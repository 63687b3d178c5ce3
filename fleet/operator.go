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

// holdTries is how often a change by an operator is tried against others.
const holdTries = 10

// Hold has a host drained and kept so, or lets it back. A host that stays away
// from a reboot is taken out of its wave when it is let back.
func (c *Coordinator) Hold(ctx context.Context, name string, held bool) error {
	for range holdTries {
		if _, err := c.view.Refresh(ctx); err != nil {
			return merry.Prepend(err, "fleet: hold "+name)
		}
		s := c.view.Current()
		w, ok := s.Record.Hosts[name]
		if !ok {
			return fmt.Errorf("%w: %s", ErrNoHost, name)
		}
		if w.Held == held && w.State != Away {
			return nil
		}
		r := s.Record.Clone()
		r.Hosts[name] = holdRow(w, held)
		err := c.write(ctx, r, s.Revision)
		if err == nil || !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return merry.Errorf("fleet: hold %s: others change the record all the time", name)
}

func holdRow(w Row, held bool) Row {
	w.Held = held
	if !held && w.State == Away {
		w.State = Drained
		w.Wave = ""
	}
	return w
}

// write swaps in a record whose rows an operator changed.
func (c *Coordinator) write(ctx context.Context, r Record, base platform.Revision) error {
	r.Version++
	r.Write = uuid.NewString()
	b, err := json.Marshal(r)
	if err != nil {
		return merry.Prepend(err, "fleet: record")
	}
	rev, err := c.store.Swap(ctx, RecordKey(c.dc), b, base)
	if err != nil {
		return merry.Prepend(err, "fleet: record")
	}
	c.view.Offer(r, rev)
	return nil
}

// Progress is how far a wave is in one data centre.
type Progress struct {
	Hosts       int
	Done        int
	Maintenance []string
	Away        []string
}

// ProgressOf counts the rows that the wave covers.
func ProgressOf(v config.Wave, r Record) Progress {
	p := Progress{}
	for _, n := range r.Names() {
		w := r.Hosts[n]
		if !slices.Contains(v.Pools, w.Pool) {
			continue
		}
		p.Hosts++
		switch {
		case w.Wave == v.Name && w.State == Away:
			p.Away = append(p.Away, n)
		case w.Wave == v.Name:
			p.Maintenance = append(p.Maintenance, n)
		case slices.Contains(w.Done, v.Name):
			p.Done++
		}
	}
	return p
}
