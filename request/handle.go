package request

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"amberway/common"
)

// verdictOf returns the verdict for a target's complete answer. A target that reports a
// failure of its own may have run some of the request.
func verdictOf(status int) common.Verdict {
	if status >= http.StatusInternalServerError {
		return common.MayHaveRun
	}
	return common.Ran
}

// attemptResult is the answer that an attempt got.
type attemptResult struct {
	reply *Reply
	// relayed says that the answer comes from another entry host and has a verdict.
	relayed bool
	// finish ends the attempt; ok says that the answer was passed on completely.
	finish func(ok bool)
}

// handle runs the request and returns its answer, or a problem with its verdict.
func (s *Server) handle(ctx context.Context, q *acceptedRequest) (*attemptResult, *common.ProblemError) {
	if q.issued != nil && !s.Issuer.Issued(*q.issued) {
		return s.relayToIssuer(ctx, q)
	}
	for n := 1; ; n++ {
		v, err := s.attempt(ctx, q)
		if err == nil && !s.shouldRetryAnswer(q, v, n) {
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
			return nil, s.noAnswerProblem(ctx, q, err)
		}
	}
}

// shouldRetryAnswer reports whether a target's failure answer should be retried on
// another target. If so, it takes the retry from the budget.
func (s *Server) shouldRetryAnswer(q *acceptedRequest, v *attemptResult, n int) bool {
	if q.atMostOnce || v.reply.Status < http.StatusInternalServerError || v.reply.Rest != nil {
		return false
	}
	return n < maxAttempts && s.budget.Spend()
}

// mayRetry reports whether the request may be attempted again after the error. If so, it
// takes the retry from the budget.
func (s *Server) mayRetry(ctx context.Context, q *acceptedRequest, err error, n int) bool {
	var a *AttemptError
	if !errors.As(err, &a) || ctx.Err() != nil || n >= maxAttempts {
		return false
	}
	if a.Sent && q.atMostOnce {
		return false
	}
	return s.budget.Spend()
}

// noAnswerProblem returns the problem that ends a request whose attempt failed.
func (s *Server) noAnswerProblem(ctx context.Context, q *acceptedRequest, err error) *common.ProblemError {
	retryAt := s.deps.Now().Add(defaultRetryDelay)
	if ctx.Err() != nil {
		return q.problem(http.StatusGatewayTimeout, "no answer by the deadline", err.Error(), retryAt)
	}
	return q.problem(http.StatusBadGateway, "no answer from the target", err.Error(), retryAt)
}

// errTargetRemoved is the error of a target that was removed after the scheduler chose
// it.
var errTargetRemoved = errors.New("the target was removed")

// attempt sends the request to a target that has not been removed. The error is an
// *AttemptError or a *common.ProblemError.
func (s *Server) attempt(ctx context.Context, q *acceptedRequest) (*attemptResult, error) {
	for {
		v, err := s.offer(ctx, q)
		if !errors.Is(err, errTargetRemoved) {
			return v, err
		}
	}
}

// offer queues the request, claims it if necessary and sends it to the target that the
// scheduler chooses. The error is errTargetRemoved or one that attempt returns.
func (s *Server) offer(ctx context.Context, q *acceptedRequest) (*attemptResult, error) {
	i := &Item{Service: QueueName(q.service, q.job), Job: q.job.Name, Class: q.class, Deadline: q.deadline}
	started, refusal := s.Dispatcher.Offer(i)
	if refusal != nil {
		return nil, s.refusalProblem(q, refusal)
	}
	if p := s.claim(ctx, q); p != nil {
		s.Dispatcher.Drop(i)
		return nil, p
	}
	refusal, err := s.Dispatcher.Wait(ctx, i, started)
	if refusal != nil {
		return nil, s.refusalProblem(q, refusal)
	}
	if err != nil {
		return nil, s.noAnswerProblem(ctx, q, err)
	}
	return s.send(ctx, q, i)
}

// statusOf maps each reason for a refusal to an HTTP status.
var statusOf = map[Reason]int{
	ReasonLate:     http.StatusServiceUnavailable,
	ReasonFull:     http.StatusTooManyRequests,
	ReasonNoTarget: http.StatusServiceUnavailable,
	ReasonUnknown:  http.StatusNotFound,
}

func (s *Server) refusalProblem(q *acceptedRequest, r *Refusal) *common.ProblemError {
	return q.problem(statusOf[r.Reason], "refused", string(r.Reason), r.RetryAt)
}

// claim claims a request that may run at most once, if it is not claimed yet.
func (s *Server) claim(ctx context.Context, q *acceptedRequest) *common.ProblemError {
	if !q.atMostOnce || q.claimed {
		return nil
	}
	retryAt := s.deps.Now().Add(defaultRetryDelay)
	switch s.claimOutcome(ctx, q) {
	case ClaimGranted:
		q.claimed = true
		return nil
	case ClaimTaken:
		return q.problem(http.StatusConflict, "the request was taken before",
			"another copy with this id may have run or may run now", time.Time{})
	case ClaimExpired:
		return q.problem(http.StatusGone, "the id is too old",
			"an id may be run within "+IDLifetime.String()+" of its making; an earlier copy may have run", time.Time{})
	default:
		return q.problem(http.StatusServiceUnavailable, "the request could not be claimed",
			"come back with the same id", retryAt)
	}
}

// requestClaimTimeout is how long a claim is tried. A request that cannot be claimed by
// then is answered at once, however late its deadline is.
const requestClaimTimeout = 2 * time.Second

func (s *Server) claimOutcome(ctx context.Context, q *acceptedRequest) ClaimOutcome {
	ctx, cancel := context.WithTimeout(ctx, requestClaimTimeout)
	defer cancel()
	if q.issued != nil {
		return s.Issuer.Claim(s.deps.Now(), *q.issued)
	}
	return s.Claims.Claim(ctx, q.id)
}

// pausePollInterval is the time between two checks whether a process that was paused has
// caught up.
const pausePollInterval = 20 * time.Millisecond

// awaitResume holds the request back while the process catches up with what it missed in
// a pause. It is the last point at which a request whose deadline has passed, or whose id
// is too old, is refused.
func (s *Server) awaitResume(ctx context.Context, q *acceptedRequest) *common.ProblemError {
	now := s.deps.Now()
	for s.PauseDetector.Recovering(now) && now.Before(q.deadline) && ctx.Err() == nil {
		common.Sleep(ctx, pausePollInterval)
		now = s.deps.Now()
	}
	switch {
	case s.PauseDetector.Recovering(now):
		return q.problem(http.StatusServiceUnavailable, "this entry host was paused", "", now.Add(defaultRetryDelay))
	case !now.Before(q.deadline) || (q.atMostOnce && !Fresh(now, q.id)):
		return q.problem(http.StatusGatewayTimeout, "the deadline has passed", "", time.Time{})
	}
	return nil
}

// send runs the item on the target that the scheduler chose.
func (s *Server) send(ctx context.Context, q *acceptedRequest, i *Item) (*attemptResult, error) {
	if p := s.awaitResume(ctx, q); p != nil {
		s.Dispatcher.Drop(i)
		return nil, p
	}
	a, ok := s.Hosts.Address(i.Target)
	if !ok {
		s.Dispatcher.TargetRemoved(i, func() bool {
			_, ok := s.Hosts.Address(i.Target)
			return !ok
		})
		return nil, errTargetRemoved
	}
	c := q.call
	c.RunsToCompletion = true
	r, err := s.Runner.Run(ctx, a, c)
	if err != nil {
		s.recordFailure(ctx, q, i, err)
		return nil, err
	}
	finish := func(ok bool) {
		s.Dispatcher.Done(i, Outcome{OK: ok && r.Status < http.StatusInternalServerError, Cancelled: !ok && ctx.Err() != nil})
	}
	return &attemptResult{reply: r, finish: finish}, nil
}

// recordFailure records an attempt without an answer. One that the caller cancelled says
// nothing about the target; one that hit the deadline does. If the target may still run
// the request, the slot stays occupied until the run ends.
func (s *Server) recordFailure(ctx context.Context, q *acceptedRequest, i *Item, err error) {
	q.sent = q.sent || wasSent(err)
	s.Dispatcher.RecordOutcome(i, Outcome{Cancelled: errors.Is(ctx.Err(), context.Canceled)})
	var a *AttemptError
	if !errors.As(err, &a) || a.Done == nil {
		s.Dispatcher.Release(i)
		return
	}
	s.detachedRuns.Go(func() {
		<-a.Done
		s.Dispatcher.Release(i)
	})
}

// Drain waits until no target runs a request that came through this process, or the
// context ends.
func (s *Server) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.detachedRuns.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// spill relays a request that was refused here for lack of capacity to another data
// centre. A request is relayed once at most.
func (s *Server) spill(ctx context.Context, q *acceptedRequest, p *common.ProblemError) (*attemptResult, *common.ProblemError) {
	if q.relayed || q.claimed || q.sent || q.issued != nil || !isCapacityRefusal(p) {
		return nil, p
	}
	r, err := s.Relay.ToOtherDataCentre(ctx, q)
	if err == nil {
		return relayedResult(r), nil
	}
	if wasSent(err) {
		q.sent = true
		return nil, s.noAnswerProblem(ctx, q, err)
	}
	return nil, p
}

// relayToIssuer relays a request to the process that issued its id.
func (s *Server) relayToIssuer(ctx context.Context, q *acceptedRequest) (*attemptResult, *common.ProblemError) {
	m, ok := s.Relay.member(q.issued.Name)
	if q.relayed || !ok || m.Incarnation != q.issued.Incarnation {
		return nil, q.problem(http.StatusGone, "the entry host that issued the id is gone",
			"nobody else may run it; it may have run", time.Time{})
	}
	r, err := s.Relay.send(ctx, m, q)
	if err == nil {
		return relayedResult(r), nil
	}
	q.sent = q.sent || wasSent(err)
	return nil, s.noAnswerProblem(ctx, q, err)
}

func relayedResult(r *Reply) *attemptResult {
	return &attemptResult{reply: r, relayed: true, finish: func(bool) {}}
}

// wasSent reports whether the attempt may have reached its target.
func wasSent(err error) bool {
	var a *AttemptError
	return errors.As(err, &a) && a.Sent
}

// isCapacityRefusal reports whether the request was refused for lack of capacity here.
func isCapacityRefusal(p *common.ProblemError) bool {
	return slices.Contains([]Reason{ReasonLate, ReasonFull, ReasonNoTarget}, Reason(p.Detail))
}
