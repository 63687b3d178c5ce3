package peers

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"amberway/peers/peerspb"
)

// Holding returns the names of the members of the data centre that may use what
// is shared out among them. A member that is silent, and so taken for dead, is
// one of them: it may be paused or cut off and use its share at any time. It
// holds it until it says that it leaves, its process is known to have ended, or
// it is forgotten.
func (t *Table) Holding(dc string) []string {
	var l []string
	for _, m := range t.Members() {
		if m.DataCentre == dc && m.State != Left && !t.ended(m) {
			l = append(l, m.Name)
		}
	}
	return l
}

// Silent returns the members of the data centre that are taken for dead because
// they do not answer.
func (t *Table) Silent(dc string) []Member {
	var l []Member
	for _, m := range t.Members() {
		if m.DataCentre == dc && m.State == Dead && !t.ended(m) {
			l = append(l, m)
		}
	}
	return l
}

// Ended notes that the process of the member, in its incarnation, has ended.
func (t *Table) Ended(m Member) {
	if e, ok := t.rows[m.Name]; ok && e.Incarnation == m.Incarnation {
		e.gone = true
	}
}

// ended reports whether the member's process is known to have ended: it was seen
// so, or a live member of another name has its address.
func (t *Table) ended(m Member) bool {
	if m.State != Dead {
		return false
	}
	if t.rows[m.Name].gone {
		return true
	}
	for n, e := range t.rows {
		if n != m.Name && e.Peer == m.Peer && e.State <= Suspect {
			return true
		}
	}
	return false
}

// knockEvery is how many periods apart the address of a silent member is tried.
const knockEvery = 2

// Holding returns the names of the members of the data centre that may use what
// is shared out among them.
func (s *Service) Holding(dc string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Holding(dc)
}

// knock tries the address of each silent member of the data centre. Where
// nothing listens any more the process has ended, as it closes its listener
// last.
func (s *Service) knock(ctx context.Context) {
	s.mu.Lock()
	l := s.table.Silent(s.Self.DataCentre)
	s.mu.Unlock()
	for _, m := range l {
		go s.knockAt(ctx, m)
	}
}

func (s *Service) knockAt(ctx context.Context, m Member) {
	d := net.Dialer{Timeout: probeTimeout}
	c, err := d.DialContext(ctx, "tcp", m.Peer.String())
	if err == nil {
		_ = c.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Ended(m)
	s.log.Infof("%s has ended", m.Name)
}

// Relearn asks every live member of the data centre for its table, after a pause
// in which others may have joined. One that does not answer is left out.
func (s *Service) Relearn(ctx context.Context) {
	var g sync.WaitGroup
	for _, m := range s.Live() {
		if m.DataCentre == s.Self.DataCentre && m.Name != s.Self.Name {
			g.Go(func() { s.ask(ctx, m, &peerspb.ProbeRequest{Full: true}) })
		}
	}
	g.Wait()
}

// Met reports whether every live member of the data centre has answered this
// process since its start, and so knows of it.
func (s *Service) Met(dc string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.table.Live() {
		if m.DataCentre == dc && m.Name != s.Self.Name && s.met[m.Name] != m.Incarnation {
			return false
		}
	}
	return true
}
