package request

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"amberway/common"
)

// verdictOf returns the verdict with a target's whole answer. A target that
// reports a failure of its own may have run some of the request.
func verdictOf(status int) common.Verdict {
	if status >= http.StatusInternalServerError {
		return common.MayHaveRun
	}
	return common.Ran
}

// attemptResult is one attempt that has an answer.
type attemptResult struct {
	reply *Reply
	// relayed says that the answer is another data centre's and has a verdict.
	relayed bool
	finish  func(ok bool)
}

// handle brings the request to its answer, or to a problem with its verdict.
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

// shouldRetryAnswer reports whether a failure that the target answered with is worth
// another target.
func (s *Server) shouldRetryAnswer(q *acceptedRequest, v *attemptResult, n int) bool {
	if q.atMostOnce || v.reply.Status < http.StatusInternalServerError || v.reply.Rest != nil {
		return false
	}
	return n < maxAttempts && s.budget.Spend()
}

// mayRetry reports whether another attempt is true to the request and within
// the budget.
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

// noAnswerProblem returns the final answer after a failed attempt.
func (s *Server) noAnswerProblem(ctx context.Context, q *acceptedRequest, err error) *common.ProblemError {
	retry := s.deps.Now().Add(defaultRetryDelay)
	if ctx.Err() != nil {
		return q.problem(http.StatusGatewayTimeout, "no answer by the deadline", err.Error(), retry)
	}
	return q.problem(http.StatusBadGateway, "no answer from the target", err.Error(), retry)
}

// errTargetRemoved is the error of a target that left after the scheduler chose it.
var errTargetRemoved = errors.New("the target left")

// attempt sends the request to one target that has not left. The error is an
// *AttemptError or a *common.ProblemError.
func (s *Server) attempt(ctx context.Context, q *acceptedRequest) (*attemptResult, error) {
	for {
		v, err := s.offer(ctx, q)
		if !errors.Is(err, errTargetRemoved) {
			return v, err
		}
	}
}

// offer queues the request, claims it where needed and sends it to the target
// that the scheduler chooses. The error is errLeft or that of attempt.
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

// statusOf gives the HTTP status of each reason.
var statusOf = map[Reason]int{
	ReasonLate:     http.StatusServiceUnavailable,
	ReasonFull:     http.StatusTooManyRequests,
	ReasonNoTarget: http.StatusServiceUnavailable,
	ReasonUnknown:  http.StatusNotFound,
}

func (s *Server) refusalProblem(q *acceptedRequest, r *Refusal) *common.ProblemError {
	return q.problem(statusOf[r.Reason], "refused", string(r.Reason), r.RetryAt)
}

// claim claims a request that may not be repeated, once.
func (s *Server) claim(ctx context.Context, q *acceptedRequest) *common.ProblemError {
	if !q.atMostOnce || q.claimed {
		return nil
	}
	retry := s.deps.Now().Add(defaultRetryDelay)
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
			"come back with the same id", retry)
	}
}

// requestClaimTimeout is how long a claim is tried. A request that cannot be claimed by then
// gets its answer at once, however late its deadline is.
const requestClaimTimeout = 2 * time.Second

func (s *Server) claimOutcome(ctx context.Context, q *acceptedRequest) ClaimOutcome {
	ctx, cancel := context.WithTimeout(ctx, requestClaimTimeout)
	defer cancel()
	if q.issued != nil {
		return s.Issuer.Claim(s.deps.Now(), *q.issued)
	}
	return s.Claims.Claim(ctx, q.id)
}

// pausePollInterval is the time between two looks whether the process knows again what
// it missed in a pause.
const pausePollInterval = 20 * time.Millisecond

// awaitResume holds a request back until a process that was paused knows what it has
// missed. It is the last point at which one whose time has passed is refused.
func (s *Server) awaitResume(ctx context.Context, q *acceptedRequest) *common.ProblemError {
	now := s.deps.Now()
	for s.PauseDetector.Suspended(now) && now.Before(q.deadline) && ctx.Err() == nil {
		common.Sleep(ctx, pausePollInterval)
		now = s.deps.Now()
	}
	switch {
	case s.PauseDetector.Suspended(now):
		return q.problem(http.StatusServiceUnavailable, "this entry host was paused", "", now.Add(defaultRetryDelay))
	case !now.Before(q.deadline) || (q.atMostOnce && !Fresh(now, q.id)):
		return q.problem(http.StatusGatewayTimeout, "the deadline has passed", "", time.Time{})
	}
	return nil
}

// send runs the item on the target that the scheduler gave it.
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

// recordFailure notes an attempt without an answer. One that the caller ended says
// nothing about the target; one that ran into the deadline does. The slot of one
// that the target may still run stays taken until its end.
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

// Drain waits until no target runs a request any more that came through this
// process, or the context ends.
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

// spill passes a request that was refused here for want of capacity on to
// another data centre, by one hop.
func (s *Server) spill(ctx context.Context, q *acceptedRequest, p *common.ProblemError) (*attemptResult, *common.ProblemError) {
	if q.forwarded || q.claimed || q.sent || q.issued != nil || !isCapacityRefusal(p) {
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

// relayToIssuer passes a request on to the process that issued its id.
func (s *Server) relayToIssuer(ctx context.Context, q *acceptedRequest) (*attemptResult, *common.ProblemError) {
	m, ok := s.Relay.member(q.issued.Name)
	if q.forwarded || !ok || m.Incarnation != q.issued.Incarnation {
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

// isCapacityRefusal reports whether the refusal is for want of capacity here.
func isCapacityRefusal(p *common.ProblemError) bool {
	return slices.Contains([]Reason{ReasonLate, ReasonFull, ReasonNoTarget}, Reason(p.Detail))
}
