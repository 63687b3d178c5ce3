package job

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"amberway/common"
	"amberway/platform"
)

// maxStoreSilence is how long a node stays ready without an answer from the store. A
// watch is answered well within it, even if its connection has gone silent.
const maxStoreSilence = 3 * time.Second

// Settings configures a node.
type Settings struct {
	Name string
	// DataCentre is the data centre of the host.
	DataCentre string
	// Peer is the address for other entry hosts.
	Peer netip.AddrPort
	Size
	// ConfigWithin is the time from the acknowledgement of a configuration until it
	// has to be in force here; zero is DefaultConfigWithin.
	ConfigWithin time.Duration
	// KeysWithin is how long a revoked key of a team may still be accepted. Zero means no
	// limit, and that callers need keys only where the configuration has teams.
	KeysWithin time.Duration
	// EvacuationWithin is the time from the acknowledgement of an evacuation until its data
	// centre may get no more starts. Zero means no limit.
	EvacuationWithin time.Duration
}

// DefaultConfigWithin is the limit that the known platforms require.
const DefaultConfigWithin = 2 * time.Second

// Node handles jobs on one entry host: it accepts them, reports their states, and owns all jobs
// while it holds the owner's lease.
type Node struct {
	Clients
	settings       Settings
	log            *Logger
	now            func() time.Time
	routes         atomic.Pointer[routes]
	election       *election
	intake         *intake
	speed          *speedMonitor
	metrics        *metrics
	metricsHandler http.Handler
	peers          *peers
	leaving        atomic.Bool
	authorizer     authorizer
	// storeAnsweredAt is when the store last answered, configCurrentAt when the
	// configuration was last known to be the newest, from the store or another entry host.
	storeAnsweredAt, configCurrentAt common.Instant
	// configMissed wakes followOwnerConfig when a request to the store for the
	// configuration has failed.
	configMissed chan struct{}
	refusals     *refusals
	// decoding has an element for each large body that is being decoded.
	decoding chan struct{}
	// evacuations are those that this host has read from the store.
	evacuations atomic.Pointer[Evacuations]
	mu          sync.Mutex
	owner       *owner
	resign      context.CancelFunc
}

// NewNode returns a node, which Run starts. Other entry hosts read its metrics from the
// handler.
func NewNode(s Settings, p Clients, log *Logger, d common.Deps, metricsHandler http.Handler) (*Node, error) {
	now := d.Now
	if s.ConfigWithin == 0 {
		s.ConfigWithin = DefaultConfigWithin
	}
	n := &Node{Clients: p, settings: s, log: log, now: now, peers: newPeers(), configMissed: make(chan struct{}, 1), refusals: newRefusals(), decoding: make(chan struct{}, maxDecoding)}
	n.evacuations.Store(&Evacuations{})
	n.authorizer = authorizer{required: s.KeysWithin > 0, keysWithin: s.KeysWithin, newKeysWithin: s.ConfigWithin}
	n.election = newElection(p.KV, Owner{Name: s.Name, Peer: s.Peer, Process: uuid.NewString()}, s.Size, log, now, d.SuspendedFor)
	n.intake = newIntake(p.KV, log, now)
	n.speed = newSpeedMonitor(now)
	n.metricsHandler = metricsHandler
	conns := append(p.connections(), n.peers.client.Connections())
	common.JoinConnections(conns...)
	if err := observeTraffic(d.Meter, conns); err != nil {
		return nil, err
	}
	var err error
	n.metrics, err = newMetrics(d.Meter, observed{worstTenth: n.worstTenth, evacuated: n.evacuatedCount, poolHosts: n.poolHosts, handshakes: p.Workers.Handshakes})
	return n, errors.Join(err, observeLimits(d.Meter, n.limitOverviews))
}

// Run runs the node until the context ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){n.followOperator, n.followOwnerConfig, n.election.follow, n.intake.run, n.ownWhenVacant} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
}

// Callers returns the handler of callers' requests.
func (n *Node) Callers() http.Handler {
	return callerHandler{node: n}
}

// Peers returns the handler of requests from other entry hosts.
func (n *Node) Peers() http.Handler {
	return n.peerMux()
}

// Ready reports whether callers should be sent here.
func (n *Node) Ready() bool {
	if n.leaving.Load() || n.routes.Load() == nil {
		return false
	}
	return n.now().Sub(n.storeAnsweredAt.Get()) < maxStoreSilence
}

// Leave gives up ownership for good and reports the node as not ready, so that callers are
// sent elsewhere.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.election.withdraw()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resign != nil {
		n.resign()
	}
}

func (n *Node) tellOwner(e Event) {
	if o := n.localOwner(); o != nil {
		o.post(e)
	}
}

// ownWhenVacant claims ownership whenever it is vacant, and acts as the owner for as long as
// it lasts.
func (n *Node) ownWhenVacant(ctx context.Context) {
	for ctx.Err() == nil && !n.leaving.Load() {
		t, ok := n.election.campaign(ctx)
		if !ok {
			return
		}
		n.runTenure(ctx, t)
	}
}

// runTenure runs an owner until the ownership ends.
func (n *Node) runTenure(ctx context.Context, t tenure) {
	tenureCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := newOwner(n.Clients, n.log, n.now, n.election.suspended, n.settings, t, n.speed, n.metrics)
	n.mu.Lock()
	n.owner, n.resign = o, cancel
	n.mu.Unlock()
	n.metrics.takeovers.Add(ctx, 1, label("kind", string(t.kind())))
	var c *platform.Config
	if r := n.routes.Load(); r != nil {
		c = r.config
	}
	why := o.run(tenureCtx, c)
	n.mu.Lock()
	n.owner, n.resign = nil, nil
	n.mu.Unlock()
	n.log.Write(LogLine{What: "ownership ended", Why: why, Fields: []any{"fence", int64(t.fence)}})
	if why == whyCutOff || why == whySlow {
		n.election.abstain()
	}
	if o.loaded.Load() {
		// The lease of the claim that was replaced has been revoked.
		t.replaced = 0
	}
	go n.election.revokeLeases(ctx, t)
}

// localOwner returns the owner that runs on this host, or nil.
func (n *Node) localOwner() *owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner
}
