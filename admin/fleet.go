package admin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"amberway/config"
	"amberway/fleet"
)

func (s *Server) pools(*http.Request) (any, error) {
	c := s.View.Current()
	d := s.Follower.Current().Document
	t := fleet.PoolCapacities(s.now(), d, s.DataCentre, c.Record, c.List)
	l := []Pool{}
	for _, p := range d.Pools {
		l = append(l, Pool{Name: p.Name, Team: p.Team, PoolCapacity: *t[p.Name], Buffer: t[p.Name].Buffer()})
	}
	return l, nil
}

func (s *Server) hosts(*http.Request) (any, error) {
	c := s.View.Current()
	// A plan made here shows what each host waits for, even if another entry host is the
	// coordinator.
	cfg := s.Follower.Current()
	blocked := fleet.Plan(s.planInput(c, cfg.Document, cfg.Head.Generation)).Blocked
	l := []Host{}
	for _, h := range c.List.Hosts {
		status, ok := c.Record.Hosts[h.Name]
		if !ok {
			continue
		}
		l = append(l, Host{Name: h.Name, HostStatus: status, Rack: h.Rack, Live: h.Live, Leaving: h.Leaving, Blocked: blocked[h.Name]})
	}
	slices.SortFunc(l, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return l, nil
}

func decodeChange(r *http.Request) (Change, error) {
	var c Change
	b, err := readBody(r)
	if err != nil {
		return c, err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	return c, nil
}

func (s *Server) changeHost(r *http.Request) (any, error) {
	c, err := decodeChange(r)
	if err != nil {
		return nil, err
	}
	return struct{}{}, s.Coordinator.Hold(r.Context(), r.PathValue("name"), c.Held)
}

func (s *Server) waves(*http.Request) (any, error) {
	c := s.View.Current()
	l := []Wave{}
	for _, v := range s.Follower.Current().Document.Waves {
		p := fleet.ProgressOf(v, c.Record)
		l = append(l, Wave{Wave: v, Hosts: p.Hosts, Done: p.Done, Maintenance: p.Maintenance, Overdue: p.Overdue})
	}
	return l, nil
}

// changeWave publishes the configuration in force with the state of one wave changed.
func (s *Server) changeWave(r *http.Request) (any, error) {
	c, err := decodeChange(r)
	if err != nil {
		return nil, err
	}
	cfg := s.Follower.Current()
	d := *cfg.Document
	d.Waves = slices.Clone(d.Waves)
	i := slices.IndexFunc(d.Waves, func(v config.Wave) bool { return v.Name == r.PathValue("name") })
	if i < 0 {
		return nil, fmt.Errorf("%w: there is no wave %q", errBadRequest, r.PathValue("name"))
	}
	d.Waves[i].State = c.State
	if err := d.Check(); err != nil {
		return nil, err
	}
	return s.publish(r.Context(), &d, cfg.Head.Generation)
}
