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

// errLeft is the error of a target that left after the scheduler chose it.
var errLeft = errors.New("the target left")

// attempt sends the request to one target that has not left. The error is an
// *AttemptError or a *common.ProblemError.
func (s *Server) attempt(ctx context.Context, q *intake) (*run, error) {
	for {
		v, err := s.offer(ctx, q)
		if !errors.Is(err, errLeft) {
			return v, err
		}
	}
}

// offer queues the request, claims it where needed and sends it to the target
// that the scheduler chooses. The error is errLeft or that of attempt.
func (s *Server) offer(ctx context.Context, q *intake) (*run, error) {
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

// pauseLook is the time between two looks whether the process knows again what
// it missed in a pause.
const pauseLook = 20 * time.Millisecond

// hold holds a request back until a process that was paused knows what it has
// missed. It is the last point at which one whose time has passed is refused.
func (s *Server) hold(ctx context.Context, q *intake) *common.ProblemError {
	now := s.deps.Now()
	for s.Pulse.Suspended(now) && now.Before(q.deadline) && ctx.Err() == nil {
		common.Sleep(ctx, pauseLook)
		now = s.deps.Now()
	}
	switch {
	case s.Pulse.Suspended(now):
		return q.problem(http.StatusServiceUnavailable, "this entry host was paused", "", now.Add(retryLater))
	case !now.Before(q.deadline) || (q.once && !Fresh(now, q.id)):
		return q.problem(http.StatusGatewayTimeout, "the deadline has passed", "", time.Time{})
	}
	return nil
}

// send runs the item on the target that the scheduler gave it.
func (s *Server) send(ctx context.Context, q *intake, i *Item) (*run, error) {
	if p := s.hold(ctx, q); p != nil {
		s.Dispatcher.Drop(i)
		return nil, p
	}
	a, ok := s.Hosts.Address(i.Target)
	if !ok {
		s.Dispatcher.Left(i, func() bool {
			_, ok := s.Hosts.Address(i.Target)
			return !ok
		})
		return nil, errLeft
	}
	c := q.call
	c.RunsOn = true
	r, err := s.Runner.Run(ctx, a, c)
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
// nothing about the target; one that ran into the deadline does. The slot of one
// that the target may still run stays taken until its end.
func (s *Server) ended(ctx context.Context, q *intake, i *Item, err error) {
	q.sent = q.sent || wasSent(err)
	s.Dispatcher.Settle(i, Outcome{Cancelled: errors.Is(ctx.Err(), context.Canceled)})
	var a *AttemptError
	if !errors.As(err, &a) || a.Over == nil {
		s.Dispatcher.Release(i)
		return
	}
	s.running.Go(func() {
		<-a.Over
		s.Dispatcher.Release(i)
	})
}

// Drain waits until no target runs a request any more that came through this
// process, or the context ends.
func (s *Server) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
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
