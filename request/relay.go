package request

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"amberway/common"
	"amberway/peers"
)

// Relay passes requests on to other entry hosts.
type Relay struct {
	dc     string
	token  string
	live   func() []peers.Member
	runner Runner
	budget *RetryBudget
}

// NewRelay returns a relay from the data centre to the live members, which recognise
// relayed requests by the token.
func NewRelay(dc, token string, live func() []peers.Member, r Runner) *Relay {
	return &Relay{dc: dc, token: token, live: live, runner: r, budget: NewRetryBudget()}
}

// ToOtherDataCentre sends the request to one entry host of another data centre. The error
// is an *AttemptError.
func (s *Relay) ToOtherDataCentre(ctx context.Context, q *acceptedRequest) (*Reply, error) {
	s.budget.Earn()
	var l []peers.Member
	for _, m := range s.live() {
		if m.DataCentre != s.dc && m.State == peers.Alive {
			l = append(l, m)
		}
	}
	if len(l) == 0 || !s.budget.Spend() {
		return nil, &AttemptError{Cause: errNoOtherDataCentre}
	}
	return s.send(ctx, l[rand.IntN(len(l))], q)
}

// member returns the live member with the name, or false.
func (s *Relay) member(name string) (peers.Member, bool) {
	for _, m := range s.live() {
		if m.Name == name {
			return m, true
		}
	}
	return peers.Member{}, false
}

// send sends the request to the member. The error is an *AttemptError.
func (s *Relay) send(ctx context.Context, m peers.Member, q *acceptedRequest) (*Reply, error) {
	c := q.call
	c.Header = c.Header.Clone()
	c.Header.Set(common.HeaderHop, s.token)
	c.Header.Set(common.HeaderDeadline, q.deadline.Format(time.RFC3339Nano))
	c.Header.Set(common.HeaderClass, q.class.String())
	c.Header.Set(common.HeaderRepeatable, strconv.FormatBool(!q.atMostOnce))
	c.Header.Set(common.HeaderRequestID, c.ID)
	switch {
	case q.issued != nil:
		c.Header.Set(common.HeaderIdempotencyKey, q.issued.String())
	case q.hasKey:
		c.Header.Set(common.HeaderIdempotencyKey, c.ID)
	}
	return s.runner.Run(ctx, m.Caller, c)
}
