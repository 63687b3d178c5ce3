package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"amberway/common"
	"amberway/config"
	"amberway/fleet"
	"amberway/peers"
)

// MaxDocumentBytes is the largest size of a document, in bytes.
const MaxDocumentBytes = 4 << 20

// ServerOptions are the dependencies and settings of a Server.
type ServerOptions struct {
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
	// Dump returns the state of all parts.
	Dump func() any
	// Metrics serves the metrics. It needs no token.
	Metrics http.Handler
}

// Server serves the operators' API.
type Server struct {
	ServerOptions
	log common.Log
	now func() time.Time
	mux *http.ServeMux
}

// New returns a server with all its routes.
func New(d common.Deps, o ServerOptions) *Server {
	s := &Server{ServerOptions: o, log: d.Log("admin"), now: d.Now, mux: http.NewServeMux()}
	s.mux.Handle("GET /metrics", o.Metrics)
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

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// handler handles a request and returns the body of the answer, or an error.
type handler func(r *http.Request) (any, error)

// handle registers a handler that requires an operator's token.
func (s *Server) handle(pattern string, h handler) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if !s.authorized(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, Failure{Error: "admin: a bearer token is needed"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxDocumentBytes)
		v, err := h(r)
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		writeJSON(w, http.StatusOK, v)
	})
}

// authorized reports whether the request carries one of the operators' tokens. It compares
// with each in constant time.
func (s *Server) authorized(r *http.Request) bool {
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

// errUnread marks an error of a body that could not be read in time or for lack of memory.
var errUnread = errors.New("the request was not read: come back later")

// unreadRetryAfter is the value of Retry-After of such a request, in seconds.
const unreadRetryAfter = "1"

// readBody reads the body of a request.
func readBody(r *http.Request) ([]byte, error) {
	b, err := common.ReadAll(r.Body)
	if errors.Is(err, common.ErrOverload) || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, fmt.Errorf("%w: %w", errUnread, err)
	}
	return b, err
}

// errBadRequest marks an error of the operator's request.
var errBadRequest = errors.New("bad request")

func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	f := Failure{Error: err.Error()}
	status := http.StatusBadGateway
	var invalid config.ValidationError
	var stale *config.StaleError
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &invalid):
		status = http.StatusUnprocessableEntity
		f.Violations = invalid
	case errors.As(err, &stale):
		status = http.StatusConflict
		f.Current = stale.Current
		f.Changed = stale.Changed
	case errors.Is(err, fleet.ErrNoHost):
		status = http.StatusNotFound
	case errors.As(err, &large):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errUnread):
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", unreadRetryAfter)
	case errors.Is(err, errBadRequest):
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
