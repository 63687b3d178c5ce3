package job

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

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
	mu           sync.Mutex
	owner        *owner
	resign       context.CancelFunc
}

// NewNode returns a node, which Run starts. Other entry hosts read its metrics from the
// handler.
func NewNode(s Settings, p Clients, log *Logger, d common.Deps, metricsHandler http.Handler) (*Node, error) {
	now := d.Now
	if s.ConfigWithin == 0 {
		s.ConfigWithin = DefaultConfigWithin
	}
	n := &Node{Clients: p, settings: s, log: log, now: now, peers: newPeers(), configMissed: make(chan struct{}, 1), refusals: newRefusals()}
	n.authorizer = authorizer{required: s.KeysWithin > 0, keysWithin: s.KeysWithin, newKeysWithin: s.ConfigWithin}
	n.election = newElection(p.KV, Owner{Name: s.Name, Peer: s.Peer}, s.Size, log, now, d.SuspendedFor)
	n.intake = newIntake(p.KV, log, now)
	n.speed = newSpeedMonitor(now)
	n.metricsHandler = metricsHandler
	conns := append(p.connections(), n.peers.client.Connections())
	common.JoinConnections(conns...)
	if err := observeTraffic(d.Meter, conns); err != nil {
		return nil, err
	}
	var err error
	n.metrics, err = newMetrics(d.Meter, n.worstTenth)
	return n, err
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

// followOperator follows what operators write: it puts configurations in force, and passes
// configurations and waves on to the owner if it runs here.
func (n *Node) followOperator(ctx context.Context) {
	apply := func(e platform.Entry) {
		if e.Key == platform.ConfigKey {
			n.applyConfig(e.Value)
		} else {
			n.applyWave(e)
		}
	}
	f := &follower{kv: n.KV, prefix: platform.OperatorPrefix, watchTimes: configWatch(n.settings.ConfigWithin), newestOnly: true, log: n.log}
	f.onAnswer = func(err error) {
		n.speed.sample()
		n.noteAnswer(err)
	}
	f.onList = func(l []platform.Entry) {
		for _, e := range l {
			apply(e)
		}
	}
	f.onChange = func(l []platform.Event) {
		for _, e := range l {
			if !e.Deleted {
				apply(e.Entry)
			}
		}
	}
	f.run(ctx)
}

// noteAnswer notes whether a request to the store for the configuration has succeeded.
func (n *Node) noteAnswer(err error) {
	now := n.now()
	switch {
	case err == nil:
		n.storeAnsweredAt.Set(now)
		n.configCurrentAt.Advance(now)
	case errors.Is(err, platform.ErrCompacted):
		// The store answers; the list that follows tells whether the configuration changed.
		n.storeAnsweredAt.Set(now)
	default:
		select {
		case n.configMissed <- struct{}{}:
		default:
		}
	}
}

// applyConfig puts a configuration in force, given as the operator wrote it, unless the one in
// force is at least as new.
func (n *Node) applyConfig(raw []byte) {
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		n.log.Write(LogLine{What: "configuration invalid", Why: err.Error()})
		return
	}
	r := newRoutes(c)
	r.raw = raw
	if !n.swapRoutes(r) {
		return
	}
	n.log.Write(LogLine{What: "configuration", Fields: []any{"version", c.Version, "queues", len(c.Queues), "teams", len(c.Teams), "keys", len(r.keys)}})
	n.tellOwner(ConfigChanged{Config: c})
}

// swapRoutes puts the routes of a configuration in force. It returns false if the one in force
// is at least as new: the store and another entry host may both provide it.
func (n *Node) swapRoutes(r *routes) bool {
	for {
		o := n.routes.Load()
		if o != nil && o.config.Version >= r.config.Version {
			return false
		}
		if n.routes.CompareAndSwap(o, r) {
			return true
		}
	}
}

func (n *Node) applyWave(e platform.Entry) {
	if len(e.Key) <= len(platform.WavePrefix) || e.Key[:len(platform.WavePrefix)] != platform.WavePrefix {
		return
	}
	w, err := platform.DecodeWave(e)
	if err != nil {
		n.log.Write(LogLine{What: "wave invalid", Why: err.Error()})
		return
	}
	n.tellOwner(WaveRequested{Wave: w})
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
	n.metrics.takeovers.Add(ctx, 1)
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
	go n.election.revokeLease(ctx, t.lease)
}

// localOwner returns the owner that runs on this host, or nil.
func (n *Node) localOwner() *owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner
}
