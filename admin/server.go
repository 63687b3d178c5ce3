package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"amberway/common"
	"amberway/config"
	"amberway/fleet"
	"amberway/peers"
)

// maxDocument is the largest document taken, in bytes.
const maxDocument = 4 << 20

// Parts are what a Server is made of.
type Parts struct {
	Name        string
	DataCentre  string
	Version     string
	Tokens      []string
	Follower    *config.Follower
	Publisher   *config.Publisher
	View        *fleet.View
	Coordinator *fleet.Coordinator
	Members     *peers.Service
	Ready       func() bool
	// Dump returns the state of every part.
	Dump func() any
	// Metrics serves the metrics, which need no token.
	Metrics http.Handler
}

// Server is the operators' interface.
type Server struct {
	Parts
	log common.Log
	now func() time.Time
	mux *http.ServeMux
}

// New returns the operators' interface.
func New(d common.Deps, p Parts) *Server {
	s := &Server{Parts: p, log: d.Log("admin"), now: d.Now, mux: http.NewServeMux()}
	s.mux.Handle("GET /metrics", p.Metrics)
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "alive") })
	s.mux.HandleFunc("GET /readyz", s.readyz)
	s.handle("GET /v1/status", s.status)
	s.handle("GET /v1/dump", s.dump)
	s.handle("GET /v1/config", s.getConfig)
	s.handle("PUT /v1/config", s.putConfig)
	s.handle("POST /v1/config/preview", s.previewConfig)
	s.handle("GET /v1/jobs", s.jobs)
	s.handle("GET /v1/pools", s.pools)
	s.handle("GET /v1/hosts", s.hosts)
	s.handle("POST /v1/hosts/{name}", s.changeHost)
	s.handle("GET /v1/waves", s.waves)
	s.handle("POST /v1/waves/{name}", s.changeWave)
	return s
}

// ServeHTTP answers one operator's request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// handler returns the body of its answer, or an error.
type handler func(r *http.Request) (any, error)

// handle serves the pattern to those who show a token.
func (s *Server) handle(pattern string, h handler) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if !s.allowed(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, Failure{Error: "admin: a bearer token is needed"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxDocument)
		v, err := h(r)
		if err != nil {
			s.fail(w, r, err)
			return
		}
		writeJSON(w, http.StatusOK, v)
	})
}

// allowed compares the token with every one of the settings in constant time.
func (s *Server) allowed(r *http.Request) bool {
	t, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	got := sha256.Sum256([]byte(t))
	found := 0
	for _, v := range s.Tokens {
		want := sha256.Sum256([]byte(v))
		found |= subtle.ConstantTimeCompare(got[:], want[:])
	}
	return found == 1
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// errBad marks an error in what the operator sent.
var errBad = errors.New("bad request")

func (s *Server) fail(w http.ResponseWriter, r *http.Request, err error) {
	f := Failure{Error: err.Error()}
	status := http.StatusBadGateway
	var faults config.FaultsError
	var stale *config.StaleError
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &faults):
		status = http.StatusUnprocessableEntity
		f.Faults = faults
	case errors.As(err, &stale):
		status = http.StatusConflict
		f.Current = stale.Current
		f.Changed = stale.Changed
	case errors.Is(err, fleet.ErrNoHost):
		status = http.StatusNotFound
	case errors.As(err, &large):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errBad):
		status = http.StatusBadRequest
	}
	s.log.Warnf("%s %s failed: %v", r.Method, r.URL.Path, err)
	writeJSON(w, status, f)
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (s *Server) status(r *http.Request) (any, error) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Second)
	defer cancel()
	return Status{
		Name:        s.Name,
		DataCentre:  s.DataCentre,
		Version:     s.Version,
		Ready:       s.Ready(),
		Generation:  s.Follower.Current().Head.Generation,
		ConfirmedAt: s.Follower.ConfirmedAt(),
		ListAsOf:    s.View.Current().List.AsOf,
		JobMoves:    s.View.Current().Record.Moves,
		Members:     s.Members.Members(),
		Generations: s.Members.Generations(ctx),
	}, nil
}

func (s *Server) dump(*http.Request) (any, error) {
	return s.Dump(), nil
}

func (s *Server) getConfig(*http.Request) (any, error) {
	c := s.Follower.Current()
	return Configured{Generation: c.Head.Generation, Document: c.Document}, nil
}

func (s *Server) parse(r *http.Request) (*config.Document, error) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	d, err := config.Parse(b)
	var faults config.FaultsError
	if err != nil && !errors.As(err, &faults) {
		return nil, fmt.Errorf("%w: %w", errBad, err)
	}
	return d, err
}

// previewConfig returns what a document comes to here before it is applied.
func (s *Server) previewConfig(r *http.Request) (any, error) {
	d, err := s.parse(r)
	if err != nil {
		return nil, err
	}
	c := s.View.Current()
	return fleet.PreviewOf(s.input(c, d, s.Follower.Current().Head.Generation+1)), nil
}

// input is what a plan of this data centre is made from.
func (s *Server) input(c *fleet.Snapshot, d *config.Document, gen int64) fleet.Input {
	return fleet.Input{
		Now: s.now(), Document: d, Generation: gen, DataCentre: s.DataCentre, Record: c.Record, List: c.List,
	}
}

func (s *Server) jobs(*http.Request) (any, error) {
	r := s.View.Current().Record
	l := []Job{}
	for _, v := range s.Follower.Current().Document.Services {
		for _, j := range v.Jobs {
			n := fleet.JobName(v.Name, j.Name)
			l = append(l, Job{Service: v.Name, Job: j, Hosts: r.Placement[n], Unplaced: r.Unplaced[n]})
		}
	}
	return l, nil
}

func (s *Server) putConfig(r *http.Request) (any, error) {
	base, err := strconv.ParseInt(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%w: base has to be the generation that the change was made from", errBad)
	}
	d, err := s.parse(r)
	if err != nil {
		return nil, err
	}
	return s.publish(r.Context(), d, base)
}

func (s *Server) publish(ctx context.Context, d *config.Document, base int64) (any, error) {
	h, err := s.Publisher.Publish(ctx, d, base)
	if err != nil {
		return nil, err
	}
	s.log.Infof("generation %d published", h.Generation)
	return Applied{Generation: h.Generation}, nil
}

func (s *Server) pools(*http.Request) (any, error) {
	c := s.View.Current()
	d := s.Follower.Current().Document
	t := fleet.Tallies(s.now(), d, s.DataCentre, c.Record, c.List)
	l := []Pool{}
	for _, p := range d.Pools {
		l = append(l, Pool{Name: p.Name, Team: p.Team, Tally: *t[p.Name], Buffer: t[p.Name].Buffer()})
	}
	return l, nil
}

func (s *Server) hosts(*http.Request) (any, error) {
	c := s.View.Current()
	// What a plan made here would come to tells what each host waits for, also
	// where another entry host is the coordinator.
	g := s.Follower.Current()
	blocked := fleet.Plan(s.input(c, g.Document, g.Head.Generation)).Blocked
	l := []Host{}
	for _, h := range c.List.Hosts {
		w, ok := c.Record.Hosts[h.Name]
		if !ok {
			continue
		}
		l = append(l, Host{Name: h.Name, Row: w, Rack: h.Rack, Live: h.Live, Leaving: h.Leaving, Blocked: blocked[h.Name]})
	}
	slices.SortFunc(l, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return l, nil
}

func decodeChange(r *http.Request) (Change, error) {
	var c Change
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, fmt.Errorf("%w: %w", errBad, err)
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
		l = append(l, Wave{Wave: v, Hosts: p.Hosts, Done: p.Done, Maintenance: p.Maintenance, Away: p.Away})
	}
	return l, nil
}

// changeWave publishes the configuration in force with one wave's state
// changed.
func (s *Server) changeWave(r *http.Request) (any, error) {
	c, err := decodeChange(r)
	if err != nil {
		return nil, err
	}
	n := s.Follower.Current()
	d := *n.Document
	d.Waves = slices.Clone(d.Waves)
	i := slices.IndexFunc(d.Waves, func(v config.Wave) bool { return v.Name == r.PathValue("name") })
	if i < 0 {
		return nil, fmt.Errorf("%w: there is no wave %q", errBad, r.PathValue("name"))
	}
	d.Waves[i].State = c.State
	if err := d.Check(); err != nil {
		return nil, err
	}
	return s.publish(r.Context(), &d, n.Head.Generation)
}
