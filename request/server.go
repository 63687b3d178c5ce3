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
	"golang.org/x/sync/semaphore"

	"amberway/common"
	"amberway/config"
)

// Limits of one request and of all together.
const (
	// maxAttempts is the most targets that one request is sent to.
	maxAttempts = 3
	// maxHeld is the most bytes of bodies held at once. A body of unknown length
	// counts as the largest.
	maxHeld = 128 << 20
	// retryLater is when to come back after a failure that no queue explains.
	retryLater = time.Second
)

// Hosts tells where a host listens.
type Hosts interface {
	// Address returns the address of a host that may get work, or false.
	Address(name string) (netip.AddrPort, bool)
}

// Claims settles which attempt may run a request that may not be repeated.
type Claims interface {
	// Claim claims the id for a new attempt, until the context ends.
	Claim(ctx context.Context, id uuid.UUID) ClaimOutcome
}

// Runner runs one attempt on a target. Its error is an *AttemptError.
type Runner interface {
	Run(ctx context.Context, a netip.AddrPort, c Call) (*Reply, error)
}

// Parts are what a Server is made of.
type Parts struct {
	// Config returns the configuration in force.
	Config     func() *config.Snapshot
	Dispatcher *Dispatcher
	Claims     Claims
	Runner     Runner
	Hosts      Hosts
	Spill      *Spill
	Issuer     *Issuer
	Metrics    *Metrics
	// Pulse tells whether the process was paused just now.
	Pulse *common.Pulse
	// HopToken proves that a request comes from another entry host.
	HopToken string
}

// Server is the callers' interface.
type Server struct {
	Parts
	deps   common.Deps
	log    common.Log
	mux    *http.ServeMux
	budget *RetryBudget
	held   *semaphore.Weighted
	// running are the runs that go on although their callers have their answers.
	running sync.WaitGroup
}

// NewServer returns the callers' interface.
func NewServer(d common.Deps, p Parts) *Server {
	s := &Server{
		Parts:  p,
		deps:   d,
		log:    d.Log("request"),
		mux:    http.NewServeMux(),
		budget: NewRetryBudget(),
		held:   semaphore.NewWeighted(maxHeld),
	}
	s.mux.HandleFunc("POST /ids", s.issue)
	s.mux.HandleFunc("/", s.take)
	return s
}

// maxIssued is the most ids issued at once.
const maxIssued = 1000

// issue answers with ids that only this process may run, a line each.
func (s *Server) issue(w http.ResponseWriter, r *http.Request) {
	n := 1
	if v := r.URL.Query().Get("count"); v != "" {
		var err error
		if n, err = strconv.Atoi(v); err != nil || n < 1 || n > maxIssued {
			p := &common.ProblemError{
				Type: "about:blank", Title: "bad count", Status: http.StatusBadRequest, Verdict: common.NotRun,
				Detail: fmt.Sprintf("it is no number from 1 to %d", maxIssued),
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

func (s *Server) hopToken(v string) bool {
	return subtle.ConstantTimeCompare([]byte(v), []byte(s.HopToken)) == 1
}

// ServeHTTP answers one caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if path.Clean(r.URL.Path) != r.URL.Path {
		// The mux would redirect it, without a verdict.
		s.take(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// take takes one request and answers it with a verdict.
func (s *Server) take(w http.ResponseWriter, r *http.Request) {
	start := s.deps.Now()
	n := int64(MaxBody)
	if r.ContentLength >= 0 {
		n = min(r.ContentLength, MaxBody)
	}
	if !s.held.TryAcquire(n) {
		q := &intake{keyed: r.Header.Get(common.HeaderKey) != ""}
		s.refuse(w, q, q.problem(http.StatusServiceUnavailable, "too many bodies are held", "", start.Add(retryLater)))
		return
	}
	defer s.held.Release(n)
	q, p := s.accept(w, r)
	if p != nil {
		s.refuse(w, q, p)
		return
	}
	s.answer(w, r, q, start)
}

func (s *Server) refuse(w http.ResponseWriter, q *intake, p *common.ProblemError) {
	class := common.Quick
	if q != nil {
		class = q.class
	}
	s.Metrics.ended(class, p.Verdict)
	p.Write(w, s.deps.Now())
}

// answer runs the request and passes its answer on.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, q *intake, start time.Time) {
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	s.budget.Earn()
	run, p := s.handle(ctx, q)
	if p != nil {
		s.refuse(w, q, p)
		return
	}
	err := s.pass(w, q, run)
	run.finish(err == nil)
	if err != nil {
		s.log.Warnf("answer to %s broke off: %v", q.id, err)
		// The caller must not take what it has for the whole answer.
		panic(http.ErrAbortHandler)
	}
	s.Metrics.answered(q.class, verdictOf(run.reply.Status), s.deps.Now().Sub(start))
}

// pass writes the answer of the target to the caller.
func (s *Server) pass(w http.ResponseWriter, q *intake, run *run) error {
	copyHeader(w.Header(), run.reply.Header)
	w.Header().Set(common.HeaderID, q.id.String())
	if w.Header().Get(common.HeaderVerdict) == "" || !run.relayed {
		w.Header().Set(common.HeaderVerdict, verdictOf(run.reply.Status).String())
	}
	w.WriteHeader(run.reply.Status)
	//nolint:gosec // A target's answer goes to its caller as it is.
	if _, err := w.Write(run.reply.Head); err != nil {
		return err
	}
	if run.reply.Rest == nil {
		return nil
	}
	defer run.reply.Rest.Close()
	_, err := io.Copy(w, run.reply.Rest)
	return err
}
