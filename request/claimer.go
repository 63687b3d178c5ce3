package request

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"amberway/common"
	"amberway/peers"
	"amberway/platform"
	"amberway/request/requestpb"
)

// Limits of claims over the whole deployment.
const (
	// claimShards is the number of logs that claims are sharded over.
	claimShards = 8
	// segmentWritesPerSecond is the most segments that all shards together write in a
	// second, out of the 100 writes a second that the platform takes.
	segmentWritesPerSecond = 60
	// ownerCallTimeout bounds one call to a shard's owner: time for several batches at
	// the shard's share of the writes.
	ownerCallTimeout = 700 * time.Millisecond
	// claimRetryDelay is the pause before the next try.
	claimRetryDelay = 50 * time.Millisecond
	// maxRemoteTries is how often the owner is called before the process writes to the
	// log itself.
	maxRemoteTries = 1
)

// Members reports which entry hosts are alive and how to reach them.
type Members interface {
	// LiveNames returns the names of the live members of a data centre, or of all if dc
	// is empty.
	LiveNames(dc string) []string
	// Member returns the live member with the name, or false.
	Member(name string) (peers.Member, bool)
}

// Claimer claims requests that may run at most once. Which process writes to a shard's
// log is only an optimisation: correctness rests on the compare-and-swap that creates a
// segment, which keeps two processes from claiming the same request.
type Claimer struct {
	self    string
	store   platform.Store
	members Members
	dialer  *peers.Dialer
	deps    common.Deps
	logger  common.Log
	ctx     context.Context
	mu      sync.Mutex
	shards  map[uint32]*shard
	// SegmentsWritten counts the segments that this process wrote.
	SegmentsWritten atomic.Int64
}

// NewClaimer returns a claimer whose shards run until the context ends.
func NewClaimer(ctx context.Context, d common.Deps, self string, s platform.Store, m Members, l *peers.Dialer) *Claimer {
	return &Claimer{
		self:    self,
		store:   s,
		members: m,
		dialer:  l,
		deps:    d,
		logger:  d.Log("claims"),
		ctx:     ctx,
		shards:  map[uint32]*shard{},
	}
}

// Register registers the claim service on a server.
func (c *Claimer) Register(g *grpc.Server) {
	requestpb.RegisterClaimsServer(g, claimServer{claimer: c})
}

// claimServer serves claims of other entry hosts.
type claimServer struct {
	requestpb.UnimplementedClaimsServer
	claimer *Claimer
}

// ShardOf returns the shard that an id belongs to.
func ShardOf(id uuid.UUID) uint32 {
	return uint32(xxhash.Sum64(id[:]) % claimShards)
}

// Claim claims the id for a new attempt. It retries until the context ends.
func (c *Claimer) Claim(ctx context.Context, id uuid.UUID) ClaimOutcome {
	k := Claim{ID: id, Attempt: rand.Uint64()}
	for n := 0; ctx.Err() == nil; n++ {
		o, err := c.tryClaim(ctx, k, n)
		if err == nil && o != ClaimUnknown {
			return o
		}
		common.Sleep(ctx, claimRetryDelay)
	}
	return ClaimUnknown
}

// tryClaim calls the shard's owner. It writes to the log itself if this process is the
// owner, if the owner is not alive, or if n, the number of tries before, is
// maxRemoteTries or more.
func (c *Claimer) tryClaim(ctx context.Context, k Claim, n int) (ClaimOutcome, error) {
	s := ShardOf(k.ID)
	owner := common.RankFirst(shardPrefix(s), c.members.LiveNames(""))
	m, ok := c.members.Member(owner)
	if owner == c.self || !ok || n >= maxRemoteTries {
		return c.local(ctx, s, k)
	}
	return c.remote(ctx, m, s, k)
}

func (c *Claimer) remote(ctx context.Context, m peers.Member, s uint32, k Claim) (ClaimOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	conn, err := c.dialer.Conn(m.Peer)
	if err != nil {
		return ClaimUnknown, err
	}
	q := &requestpb.ClaimRequest{Shard: s, Claim: &requestpb.Claim{Id: k.ID[:], Attempt: k.Attempt}}
	r, err := requestpb.NewClaimsClient(conn).Claim(ctx, q)
	if err != nil {
		return ClaimUnknown, err
	}
	return ClaimOutcome(r.GetOutcome()), nil
}

// Claim serves a claim on a shard which the calling entry host believes this process to
// own.
func (v claimServer) Claim(ctx context.Context, q *requestpb.ClaimRequest) (*requestpb.ClaimReply, error) {
	id, err := uuid.FromBytes(q.GetClaim().GetId())
	if err != nil || q.GetShard() != ShardOf(id) {
		return nil, status.Error(codes.InvalidArgument, "claims: the id is not of the shard")
	}
	o, err := v.claimer.local(ctx, q.GetShard(), Claim{ID: id, Attempt: q.GetClaim().GetAttempt()})
	return &requestpb.ClaimReply{Outcome: uint32(o)}, err
}

// local commits the claim through this process's own copy of the shard.
func (c *Claimer) local(ctx context.Context, n uint32, k Claim) (ClaimOutcome, error) {
	p := pendingClaim{ctx: ctx, claim: k, done: make(chan ClaimOutcome, 1)}
	select {
	case c.shard(n).queue <- p:
	case <-ctx.Done():
		return ClaimUnknown, ctx.Err()
	}
	select {
	case o := <-p.done:
		return o, nil
	case <-ctx.Done():
		return ClaimUnknown, ctx.Err()
	}
}

func (c *Claimer) shard(n uint32) *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.shards[n]
	if !ok {
		perSecond := rate.Limit(float64(segmentWritesPerSecond) / claimShards)
		s = newShard(claimStore{c.store, n}, perSecond, c.deps.Now, c.logger, func() { c.SegmentsWritten.Add(1) })
		c.shards[n] = s
		go s.run(c.ctx)
	}
	return s
}
