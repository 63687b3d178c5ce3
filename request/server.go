package request

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"path"
	"slices"
	"strconv"
	"sync/atomic"
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
	// stopping asks callers to open their next connection elsewhere.
	stopping atomic.Bool
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

// Stopping makes every further answer close its connection.
func (s *Server) Stopping() {
	s.stopping.Store(true)
}

func (s *Server) hopToken(v string) bool {
	return subtle.ConstantTimeCompare([]byte(v), []byte(s.HopToken)) == 1
}

// ServeHTTP answers one caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
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

// verdictOf returns the verdict with a target's whole answer. A target that
// reports a failure of its own may have run some of the request.
func verdictOf(status int) common.Verdict {
	if status >= http.StatusInternalServerError {
		return common.MayHaveRun
	}
	return common.Ran
}

// run is one attempt that has an answer.
type run struct {
	reply *Reply
	// relayed says that the answer is another data centre's and has a verdict.
	relayed bool
	finish  func(ok bool)
}

// handle brings the request to its answer, or to a problem with its verdict.
func (s *Server) handle(ctx context.Context, q *intake) (*run, *common.ProblemError) {
	if q.issued != nil && !s.Issuer.Issued(*q.issued) {
		return s.relay(ctx, q)
	}
	for n := 1; ; n++ {
		v, err := s.attempt(ctx, q)
		if err == nil && !s.again(q, v, n) {
			return v, nil
		}
		if err == nil {
			v.finish(true)
			continue
		}
		var p *common.ProblemError
		if errors.As(err, &p) {
			return s.spill(ctx, q, p)
		}
		if !s.mayRetry(ctx, q, err, n) {
			return nil, s.gaveUp(ctx, q, err)
		}
	}
}

// again reports whether a failure that the target answered with is worth
// another target.
func (s *Server) again(q *intake, v *run, n int) bool {
	if q.once || v.reply.Status < http.StatusInternalServerError || v.reply.Rest != nil {
		return false
	}
	return n < maxAttempts && s.budget.Spend()
}

// mayRetry reports whether another attempt is true to the request and within
// the budget.
func (s *Server) mayRetry(ctx context.Context, q *intake, err error, n int) bool {
	var a *AttemptError
	if !errors.As(err, &a) || ctx.Err() != nil || n >= maxAttempts {
		return false
	}
	if a.Sent && q.once {
		return false
	}
	return s.budget.Spend()
}

// gaveUp returns the final answer after a failed attempt.
func (s *Server) gaveUp(ctx context.Context, q *intake, err error) *common.ProblemError {
	retry := s.deps.Now().Add(retryLater)
	if ctx.Err() != nil {
		return q.problem(http.StatusGatewayTimeout, "no answer by the deadline", err.Error(), retry)
	}
	return q.problem(http.StatusBadGateway, "no answer from the target", err.Error(), retry)
}

// attempt queues the request, claims it where needed and sends it to one
// target. The error is an *AttemptError or a *common.ProblemError.
func (s *Server) attempt(ctx context.Context, q *intake) (*run, error) {
	i := &Item{Service: UnitOf(q.service, q.job), Job: q.job.Name, Class: q.class, Deadline: q.deadline}
	started, refusal := s.Dispatcher.Offer(i)
	if refusal != nil {
		return nil, s.refusal(q, refusal)
	}
	if p := s.claim(ctx, q); p != nil {
		s.Dispatcher.Drop(i)
		return nil, p
	}
	refusal, err := s.Dispatcher.Wait(ctx, i, started)
	if refusal != nil {
		return nil, s.refusal(q, refusal)
	}
	if err != nil {
		return nil, s.gaveUp(ctx, q, err)
	}
	return s.send(ctx, q, i)
}

// statusOf gives the HTTP status of each reason.
var statusOf = map[Reason]int{
	ReasonLate:     http.StatusServiceUnavailable,
	ReasonFull:     http.StatusTooManyRequests,
	ReasonNoTarget: http.StatusServiceUnavailable,
	ReasonUnknown:  http.StatusNotFound,
}

func (s *Server) refusal(q *intake, r *Refusal) *common.ProblemError {
	return q.problem(statusOf[r.Reason], "refused", string(r.Reason), r.RetryAt)
}

// claim claims a request that may not be repeated, once.
func (s *Server) claim(ctx context.Context, q *intake) *common.ProblemError {
	if !q.once || q.claimed {
		return nil
	}
	retry := s.deps.Now().Add(retryLater)
	switch s.claimOutcome(ctx, q) {
	case ClaimGranted:
		q.claimed = true
		return nil
	case ClaimTaken:
		return q.problem(http.StatusConflict, "the request was taken before",
			"another copy with this id may have run or may run now", time.Time{})
	case ClaimExpired:
		return q.problem(http.StatusGone, "the id is too old",
			"an id may be run within "+IDWindow.String()+" of its making; an earlier copy may have run", time.Time{})
	default:
		return q.problem(http.StatusServiceUnavailable, "the request could not be claimed",
			"come back with the same id", retry)
	}
}

// claimFor is how long a claim is tried. A request that cannot be claimed by then
// gets its answer at once, however late its deadline is.
const claimFor = 2 * time.Second

func (s *Server) claimOutcome(ctx context.Context, q *intake) ClaimOutcome {
	ctx, cancel := context.WithTimeout(ctx, claimFor)
	defer cancel()
	if q.issued != nil {
		return s.Issuer.Claim(s.deps.Now(), *q.issued)
	}
	return s.Claims.Claim(ctx, q.id)
}

// send runs the item on the target that the scheduler gave it. It is the last
// point at which a request whose time has passed is held back.
func (s *Server) send(ctx context.Context, q *intake, i *Item) (*run, error) {
	now := s.deps.Now()
	if !now.Before(q.deadline) || (q.once && !Fresh(now, q.id)) {
		s.Dispatcher.Drop(i)
		return nil, q.problem(http.StatusGatewayTimeout, "the deadline has passed", "", time.Time{})
	}
	if s.Pulse.Suspended(now) {
		s.Dispatcher.Drop(i)
		return nil, q.problem(http.StatusServiceUnavailable, "this entry host was paused", "", now.Add(retryLater))
	}
	a, ok := s.Hosts.Address(i.Target)
	if !ok {
		s.Dispatcher.Drop(i)
		return nil, &AttemptError{Cause: errors.New("the target left")}
	}
	r, err := s.Runner.Run(ctx, a, q.call)
	if err != nil {
		s.ended(ctx, q, i, err)
		return nil, err
	}
	finish := func(ok bool) {
		s.Dispatcher.Done(i, Outcome{OK: ok && r.Status < http.StatusInternalServerError, Cancelled: !ok && ctx.Err() != nil})
	}
	return &run{reply: r, finish: finish}, nil
}

// ended notes an attempt without an answer. One that the caller ended says
// nothing about the target; one that ran into the deadline does.
func (s *Server) ended(ctx context.Context, q *intake, i *Item, err error) {
	q.sent = q.sent || wasSent(err)
	s.Dispatcher.Done(i, Outcome{Cancelled: errors.Is(ctx.Err(), context.Canceled)})
}

// spill passes a request that was refused here for want of capacity on to
// another data centre, by one hop.
func (s *Server) spill(ctx context.Context, q *intake, p *common.ProblemError) (*run, *common.ProblemError) {
	if q.hop || q.claimed || q.sent || q.issued != nil || !spillable(p) {
		return nil, p
	}
	r, err := s.Spill.Run(ctx, q)
	if err == nil {
		return relayed(r), nil
	}
	if wasSent(err) {
		q.sent = true
		return nil, s.gaveUp(ctx, q, err)
	}
	return nil, p
}

// relay passes a request on to the process that issued its id.
func (s *Server) relay(ctx context.Context, q *intake) (*run, *common.ProblemError) {
	m, ok := s.Spill.member(q.issued.Name)
	if q.hop || !ok || m.Incarnation != q.issued.Incarnation {
		return nil, q.problem(http.StatusGone, "the entry host that issued the id is gone",
			"nobody else may run it; it may have run", time.Time{})
	}
	r, err := s.Spill.to(ctx, m, q)
	if err == nil {
		return relayed(r), nil
	}
	q.sent = q.sent || wasSent(err)
	return nil, s.gaveUp(ctx, q, err)
}

func relayed(r *Reply) *run {
	return &run{reply: r, relayed: true, finish: func(bool) {}}
}

// wasSent reports whether the attempt may have reached its target.
func wasSent(err error) bool {
	var a *AttemptError
	return errors.As(err, &a) && a.Sent
}

// spillable reports whether the refusal is for want of capacity here.
func spillable(p *common.ProblemError) bool {
	return slices.Contains([]Reason{ReasonLate, ReasonFull, ReasonNoTarget}, Reason(p.Detail))
}
