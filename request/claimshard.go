package request

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"amberway/common"
	"amberway/platform"
)

// Limits of one shard.
const (
	// maxBatchClaims is the most claims in one segment.
	maxBatchClaims = 512
	// maxBatchTries is how often the write of one batch is tried before its claims are
	// answered with ClaimUnknown.
	maxBatchTries = 12
	// batchTimeout bounds the commit of one batch.
	batchTimeout = 5 * time.Second
	// trimInterval is the least time between two removals of old segments.
	trimInterval = time.Minute
)

// pendingClaim is a claim that waits for its outcome.
type pendingClaim struct {
	// ctx ends when nobody waits for the outcome any more.
	ctx   context.Context
	claim Claim
	done  chan ClaimOutcome
}

// shard commits the claims of one shard. Claims that arrive during a write are batched
// into the next one.
type shard struct {
	store    claimStore
	log      *ClaimLog
	limiter  *rate.Limiter
	queue    chan pendingClaim
	now      func() time.Time
	logger   common.Log
	nextTrim time.Time
	// retryDelay is the pause after a failed try.
	retryDelay time.Duration
	// onCommit is called for each segment that this process wrote.
	onCommit func()
}

func newShard(s claimStore, perSecond rate.Limit, now func() time.Time, l common.Log, committed func()) *shard {
	return &shard{
		store:      s,
		log:        NewClaimLog(),
		limiter:    rate.NewLimiter(perSecond, 2),
		queue:      make(chan pendingClaim, 4*maxBatchClaims),
		now:        now,
		logger:     l,
		retryDelay: claimRetryDelay,
		onCommit:   committed,
	}
}

// run commits batches until the context ends.
func (s *shard) run(ctx context.Context) {
	for {
		l := s.gather(ctx)
		if len(l) == 0 {
			return
		}
		s.commit(ctx, l)
		s.trim(ctx)
	}
}

// gather waits for one claim and for the rate limiter, and returns it with all others
// that have arrived by then.
func (s *shard) gather(ctx context.Context) []pendingClaim {
	var l []pendingClaim
	select {
	case <-ctx.Done():
		return nil
	case p := <-s.queue:
		l = append(l, p)
	}
	if s.limiter.Wait(ctx) != nil {
		answerAll(l, ClaimUnknown)
		return nil
	}
	for len(l) < maxBatchClaims {
		select {
		case p := <-s.queue:
			l = append(l, p)
		default:
			return l
		}
	}
	return l
}

// commit writes the claims of the batch and answers them, with ClaimUnknown if they could
// not be written.
func (s *shard) commit(ctx context.Context, l []pendingClaim) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	for range maxBatchTries {
		l = s.answerDecided(l)
		if len(l) == 0 {
			return
		}
		err := s.writeSegment(ctx, l)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			s.logger.Warnf("claims of shard %d not committed: %v", s.store.shard, err)
			common.Sleep(ctx, s.retryDelay)
		}
	}
	answerAll(l, ClaimUnknown)
}

// answerDecided answers the claims that the log decides and drops those that nobody waits
// for, so that their ids stay free for a caller that retries. It returns the others.
func (s *shard) answerDecided(l []pendingClaim) []pendingClaim {
	var undecided []pendingClaim
	now := s.now()
	for _, p := range l {
		o, ok := s.log.Decide(now, p.claim)
		if ok || p.ctx.Err() != nil {
			p.done <- o
			continue
		}
		undecided = append(undecided, p)
	}
	return undecided
}

// writeSegment writes the claims as the next segment of the log. If the log is out of
// date, it is reloaded instead, and the next try writes.
func (s *shard) writeSegment(ctx context.Context, l []pendingClaim) error {
	if !s.log.UpToDate(s.now()) {
		return s.reload(ctx)
	}
	n := s.log.Next()
	g := Segment{Write: uuid.NewString(), Committed: s.now()}
	for _, p := range l {
		g.Claims = append(g.Claims, p.claim)
	}
	err := s.store.create(ctx, n, g)
	if err != nil {
		return s.readBack(ctx, n, g, err)
	}
	s.applyOwn(n, g)
	return nil
}

// applyOwn applies the segment that this process wrote as the end of the log. If the
// process was paused for so long that the segment before it may have been removed, the
// log is read again instead.
func (s *shard) applyOwn(n int64, g Segment) {
	if !s.log.UpToDate(s.now()) {
		s.log = s.log.Restart()
		return
	}
	s.onCommit()
	s.log.Apply(s.now(), n, g)
	s.log.ReachedEnd(g.Committed)
}

// readBack reads what the log has at the number after a write that failed or whose answer
// was lost.
func (s *shard) readBack(ctx context.Context, n int64, g Segment, cause error) error {
	if errors.Is(cause, platform.ErrNotSent) {
		return cause
	}
	found, ok, err := s.store.get(ctx, n)
	if err != nil {
		return err
	}
	if !ok {
		// The write may still arrive. The next try creates the same number, and only one
		// of the two can succeed.
		return cause
	}
	if found.Write == g.Write {
		s.applyOwn(n, g)
		return nil
	}
	s.log.Apply(s.now(), n, found)
	return s.catchUp(ctx)
}

// catchUp reads the segments after the last one read.
func (s *shard) catchUp(ctx context.Context) error {
	for {
		n := s.log.Next()
		g, ok, err := s.store.get(ctx, n)
		if err != nil || !ok {
			return err
		}
		s.log.Apply(s.now(), n, g)
	}
}

// reload reads the whole log.
func (s *shard) reload(ctx context.Context) error {
	at := s.now()
	m, err := s.store.load(ctx)
	if err != nil {
		return err
	}
	s.log = s.log.Restart()
	for _, n := range slices.Sorted(maps.Keys(m)) {
		s.log.Apply(s.now(), n, m[n])
	}
	s.log.ReachedEnd(at)
	s.log.Trim(at)
	return nil
}

// trim removes old segments, at most once per trimInterval.
func (s *shard) trim(ctx context.Context) {
	now := s.now()
	if now.Before(s.nextTrim) {
		return
	}
	s.nextTrim = now.Add(trimInterval)
	old := s.log.Trim(now)
	if len(old) == 0 {
		return
	}
	to := int64(0)
	for _, n := range old {
		to = max(to, n+1)
	}
	if err := s.store.remove(ctx, to); err != nil {
		s.logger.Warnf("old segments of shard %d not removed: %v", s.store.shard, err)
		return
	}
	for _, n := range old {
		s.log.ForgetSegment(n)
	}
}

func answerAll(l []pendingClaim, o ClaimOutcome) {
	for _, p := range l {
		p.done <- o
	}
}
