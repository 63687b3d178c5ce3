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

// maxStoreSilence is how long a node stays ready without answers of the store. A
// watch answers well within it, also where its connection has gone silent.
const maxStoreSilence = 3 * time.Second

// Settings are what a node is told at its start.
type Settings struct {
	Name string
	// DataCentre is where the host stands.
	DataCentre string
	// Peer is the address for other entry hosts.
	Peer netip.AddrPort
	Size
	// ConfigWithin is the time from the acknowledgement of a configuration until it
	// has to be in force here; zero is DefaultConfigWithin.
	ConfigWithin time.Duration
	// KeysWithin is how long a team's key that was taken away may go on working; zero is
	// no bound, and says that callers need keys only where the configuration has teams.
	KeysWithin time.Duration
}

// DefaultConfigWithin is what platforms have asked for so far.
const DefaultConfigWithin = 2 * time.Second

// Node is the jobs' part of one entry host: it takes jobs in, tells of them,
// and owns them all when it is its turn.
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
	// storeAnsweredAt is when the store last answered, currentAt when the configuration was last
	// known to be the newest, by the store or by another entry host.
	storeAnsweredAt, configCurrentAt common.Instant
	// configMissed says that the store has just not told of the configuration.
	configMissed chan struct{}
	refusals     *refusals
	mu           sync.Mutex
	owner        *owner
	resign       context.CancelFunc
}

// NewNode returns a node that has not started yet. It serves its metrics by the
// handler.
func NewNode(s Settings, p Clients, log *Logger, d common.Deps, exposed http.Handler) (*Node, error) {
	now := d.Now
	if s.ConfigWithin == 0 {
		s.ConfigWithin = DefaultConfigWithin
	}
	n := &Node{Clients: p, settings: s, log: log, now: now, peers: newPeers(), configMissed: make(chan struct{}, 1), refusals: newRefusals()}
	n.authorizer = authorizer{required: s.KeysWithin > 0, keysWithin: s.KeysWithin, newKeysWithin: s.ConfigWithin}
	n.election = newElection(p.KV, Owner{Name: s.Name, Peer: s.Peer}, s.Size, log, now, d.Suspended)
	n.intake = newIntake(p.KV, log, now)
	n.speed = newSpeedMonitor(now)
	n.metricsHandler = exposed
	conns := append(p.connections(), n.peers.exchange.Connections())
	common.Join(conns...)
	if err := observeTraffic(d.Meter, conns); err != nil {
		return nil, err
	}
	var err error
	n.metrics, err = newMetrics(d.Meter, n.worstTenth)
	return n, err
}

// Run works until the context ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){n.followOperator, n.followOwnerConfig, n.election.follow, n.intake.run, n.ownWhenVacant} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
}

// Callers serves callers' requests.
func (n *Node) Callers() http.Handler {
	return callerHandler{node: n}
}

// Peers serves other entry hosts.
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

// Leave hands ownership on and has callers sent elsewhere.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.election.withdraw()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resign != nil {
		n.resign()
	}
}

// followOperator keeps the configuration in force, and tells the owner of it
// and of waves.
func (n *Node) followOperator(ctx context.Context) {
	take := func(e platform.Entry) {
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
			take(e)
		}
	}
	f.onChange = func(l []platform.Event) {
		for _, e := range l {
			if !e.Deleted {
				take(e.Entry)
			}
		}
	}
	f.run(ctx)
}

// noteAnswer notes whether the store has told of the configuration.
func (n *Node) noteAnswer(err error) {
	now := n.now()
	switch {
	case err == nil:
		n.storeAnsweredAt.Set(now)
		n.configCurrentAt.Advance(now)
	case errors.Is(err, platform.ErrCompacted):
		// The store answers, and the list that follows tells what has changed.
		n.storeAnsweredAt.Set(now)
	default:
		select {
		case n.configMissed <- struct{}{}:
		default:
		}
	}
}

// applyConfig puts a configuration in force, as the operator wrote it, unless it is older
// than the one that is.
func (n *Node) applyConfig(written []byte) {
	d, err := platform.DecodeConfig(written)
	if err != nil {
		n.log.Write(LogLine{What: "configuration not understood", Why: err.Error()})
		return
	}
	r := newRoutes(d)
	r.written = written
	if !n.swapRoutes(r) {
		return
	}
	n.log.Write(LogLine{What: "configuration", Fields: []any{"version", d.Version, "queues", len(d.Queues), "teams", len(d.Teams), "keys", len(r.keys)}})
	n.tellOwner(ConfigChanged{Config: d})
}

// swapRoutes reports false where a configuration as new is in force: two come at once,
// from the store and from another entry host.
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
		n.log.Write(LogLine{What: "wave not understood", Why: err.Error()})
		return
	}
	n.tellOwner(WaveRequested{Wave: w})
}

func (n *Node) tellOwner(e Event) {
	if o := n.localOwner(); o != nil {
		o.post(e)
	}
}

// ownWhenVacant claims ownership whenever nobody has it, and owns while it can.
func (n *Node) ownWhenVacant(ctx context.Context) {
	for ctx.Err() == nil && !n.leaving.Load() {
		t, ok := n.election.campaign(ctx)
		if !ok {
			return
		}
		n.runTenure(ctx, t)
	}
}

func (n *Node) runTenure(ctx context.Context, t tenure) {
	own, cancel := context.WithCancel(ctx)
	defer cancel()
	o := newOwner(n.Clients, n.log, n.now, n.election.suspended, n.settings, t, n.speed, n.metrics)
	n.mu.Lock()
	n.owner, n.resign = o, cancel
	n.mu.Unlock()
	n.metrics.takeovers.Add(ctx, 1)
	var d *platform.Deployed
	if r := n.routes.Load(); r != nil {
		d = r.config
	}
	why := o.run(own, d)
	n.mu.Lock()
	n.owner, n.resign = nil, nil
	n.mu.Unlock()
	n.log.Write(LogLine{What: "ownership ended", Why: why, Fields: []any{"fence", int64(t.fence)}})
	if why == whyCutOff || why == whySlow {
		n.election.abstain()
	}
	go n.election.revokeLease(ctx, t.lease)
}

// localOwner returns the owner that runs here, or nil.
func (n *Node) localOwner() *owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner
}
