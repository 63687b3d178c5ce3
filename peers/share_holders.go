package peers

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"amberway/peers/peerspb"
)

// ShareHolders returns the names of the members of the data centre among which shared
// limits are divided. A member that is silent, and therefore considered dead, is one of
// them: it may be paused or partitioned, and may use its share at any time. It counts
// until it announces that it leaves, its process is known to have ended, or it is
// forgotten.
func (t *Table) ShareHolders(dc string) []string {
	var l []string
	for _, m := range t.Members() {
		if m.DataCentre == dc && m.State != Left && !t.processEnded(m) {
			l = append(l, m.Name)
		}
	}
	return l
}

// Silent returns the members of the data centre that are considered dead because they do
// not answer.
func (t *Table) Silent(dc string) []Member {
	var l []Member
	for _, m := range t.Members() {
		if m.DataCentre == dc && m.State == Dead && !t.processEnded(m) {
			l = append(l, m)
		}
	}
	return l
}

// MarkEnded records that the process of the member, in its incarnation, has ended.
func (t *Table) MarkEnded(m Member) {
	if e, ok := t.rows[m.Name]; ok && e.Incarnation == m.Incarnation {
		e.ended = true
	}
}

// processEnded reports whether the member's process is known to have ended: MarkEnded was
// called for it, or a live member of another name has its address.
func (t *Table) processEnded(m Member) bool {
	if m.State != Dead {
		return false
	}
	if t.rows[m.Name].ended {
		return true
	}
	for n, e := range t.rows {
		if n != m.Name && e.Peer == m.Peer && e.State <= Suspect {
			return true
		}
	}
	return false
}

// listenerCheckPeriods is the number of probe periods between two checks of the listeners
// of silent members.
const listenerCheckPeriods = 2

// ShareHolders returns the names of the members of the data centre among which shared
// limits are divided.
func (s *Service) ShareHolders(dc string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.ShareHolders(dc)
}

// checkListeners dials the address of each silent member of the data centre. If the
// connection is refused, the process has ended, as it closes its listener last.
func (s *Service) checkListeners(ctx context.Context) {
	s.mu.Lock()
	l := s.table.Silent(s.Self.DataCentre)
	s.mu.Unlock()
	for _, m := range l {
		go s.checkListener(ctx, m)
	}
}

func (s *Service) checkListener(ctx context.Context, m Member) {
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
	s.table.MarkEnded(m)
	s.log.Infof("process of %s has ended", m.Name)
}

// PullTables merges the tables of all live members of the data centre that answer. It is
// called after a pause of the process, during which others may have joined.
func (s *Service) PullTables(ctx context.Context) {
	var g sync.WaitGroup
	for _, m := range s.Live() {
		if m.DataCentre == s.Self.DataCentre && m.Name != s.Self.Name {
			g.Go(func() { s.sendProbe(ctx, m, &peerspb.ProbeRequest{Full: true}) })
		}
	}
	g.Wait()
}

// ContactedAll reports whether every live member of the data centre has answered this
// process since its start, and so knows of it.
func (s *Service) ContactedAll(dc string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.table.Live() {
		if m.DataCentre == dc && m.Name != s.Self.Name && s.contacted[m.Name] != m.Incarnation {
			return false
		}
	}
	return true
}
