package request

import (
	"context"
	"crypto/subtle"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"path"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"amberway/common"
	"amberway/config"
)

// Limits of one request.
const (
	// maxAttempts is the most attempts for one request. One whose target was removed
	// before it was sent does not count.
	maxAttempts = 3
	// defaultRetryDelay is the delay after which a caller is told to retry if no queue
	// gives an estimate.
	defaultRetryDelay = time.Second
)

// Hosts resolves the addresses of hosts.
type Hosts interface {
	// Address returns the address of a host that may get work, or false.
	Address(name string) (netip.AddrPort, bool)
}

// Claims decides which attempt may run a request that may run at most once.
type Claims interface {
	// Claim claims the id for a new attempt. It retries until the context ends.
	Claim(ctx context.Context, id uuid.UUID) ClaimOutcome
}

// Runner runs one attempt on a target. Its error is an *AttemptError.
type Runner interface {
	Run(ctx context.Context, a netip.AddrPort, c Call) (*Reply, error)
}

// ServerOptions are the dependencies of a Server.
type ServerOptions struct {
	// Config returns the configuration in force.
	Config     func() *config.Snapshot
	Dispatcher *Dispatcher
	Claims     Claims
	Runner     Runner
	Hosts      Hosts
	Relay      *Relay
	Issuer     *Issuer
	Metrics    *Metrics
	// PauseDetector reports whether the process was paused just now.
	PauseDetector *common.PauseDetector
	// HopToken proves that a request was relayed by another entry host.
	HopToken string
}

// Server is the HTTP handler for callers.
type Server struct {
	ServerOptions
	deps   common.Deps
	log    common.Log
	mux    *http.ServeMux
	budget *RetryBudget
	// detachedRuns are the runs that go on although their callers have been answered.
	detachedRuns sync.WaitGroup
}

// NewServer returns the handler for callers.
func NewServer(d common.Deps, p ServerOptions) *Server {
	s := &Server{
		ServerOptions: p,
		deps:          d,
		log:           d.Log("request"),
		mux:           http.NewServeMux(),
		budget:        NewRetryBudget(),
	}
	s.mux.HandleFunc("POST /ids", s.issueIDs)
	s.mux.HandleFunc("/", s.serveRequest)
	return s
}

// maxIssuedIDs is the most ids issued at once.
const maxIssuedIDs = 1000

// issueIDs answers with ids that only this process may run, one per line.
func (s *Server) issueIDs(w http.ResponseWriter, r *http.Request) {
	n := 1
	if v := r.URL.Query().Get("count"); v != "" {
		var err error
		if n, err = strconv.Atoi(v); err != nil || n < 1 || n > maxIssuedIDs {
			p := &common.ProblemError{
				Type: "about:blank", Title: "bad count", Status: http.StatusBadRequest, Verdict: common.NotRun,
				Detail: fmt.Sprintf("it is no number from 1 to %d", maxIssuedIDs),
			}
			p.Write(w, s.deps.Now())
			return
		}
	}
	w.Header().Set("Content-Type", "text/plain")
	for range n {
		fmt.Fprintln(w, s.Issuer.New())
	}
}

func (s *Server) isHopToken(v string) bool {
	return subtle.ConstantTimeCompare([]byte(v), []byte(s.HopToken)) == 1
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if path.Clean(r.URL.Path) != r.URL.Path {
		// The mux would redirect it, without a verdict.
		s.serveRequest(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// serveRequest accepts one request and answers it with a verdict.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	start := s.deps.Now()
	q, p := s.accept(w, r)
	if p != nil {
		s.writeProblem(w, q, p)
		return
	}
	s.answer(w, r, q, start)
}

func (s *Server) writeProblem(w http.ResponseWriter, q *acceptedRequest, p *common.ProblemError) {
	class := common.Quick
	if q != nil {
		class = q.class
	}
	s.Metrics.countVerdict(class, p.Verdict)
	p.Write(w, s.deps.Now())
}

// answer runs the request and passes on the answer.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, q *acceptedRequest, start time.Time) {
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	s.budget.Earn()
	result, p := s.handle(ctx, q)
	if p != nil {
		s.writeProblem(w, q, p)
		return
	}
	err := s.writeAnswer(w, q, result)
	result.finish(err == nil)
	if err != nil {
		s.log.Warnf("answer to request %s was cut off: %v", q.id, err)
		// The caller must not take the part that it has for the whole answer.
		panic(http.ErrAbortHandler)
	}
	s.Metrics.recordAnswer(q.class, verdictOf(result.reply.Status), s.deps.Now().Sub(start))
}

// writeAnswer writes the target's answer to the caller.
func (s *Server) writeAnswer(w http.ResponseWriter, q *acceptedRequest, result *attemptResult) error {
	copyHeader(w.Header(), result.reply.Header)
	w.Header().Set(common.HeaderRequestID, q.id.String())
	if w.Header().Get(common.HeaderVerdict) == "" || !result.relayed {
		w.Header().Set(common.HeaderVerdict, verdictOf(result.reply.Status).String())
	}
	w.WriteHeader(result.reply.Status)
	//nolint:gosec // A target's answer goes to its caller as it is.
	if _, err := w.Write(result.reply.Buffered); err != nil {
		return err
	}
	if result.reply.Rest == nil {
		return nil
	}
	defer result.reply.Rest.Close()
	_, err := io.Copy(w, result.reply.Rest)
	return err
}
