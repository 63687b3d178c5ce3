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

// readyWithout is how long a node stays ready without answers of the store. A
// watch answers well within it, also where its connection has gone silent.
const readyWithout = 3 * time.Second

// Settings are what a node is told at its start.
type Settings struct {
	Name string
	// Peer is the address for other entry hosts.
	Peer netip.AddrPort
	Size
	// ConfigWithin is the time from the acknowledgement of a configuration until it
	// has to be in force here; zero is DefaultConfigWithin.
	ConfigWithin time.Duration
}

// DefaultConfigWithin is what platforms have asked for so far.
const DefaultConfigWithin = 2 * time.Second

// Node is the jobs' part of one entry host: it takes jobs in, tells of them,
// and owns them all when it is its turn.
type Node struct {
	Clients
	settings Settings
	log      *Journal
	now      func() time.Time
	routes   atomic.Pointer[routes]
	election *election
	intake   *intake
	speed    *speedometer
	metrics  *metrics
	exposed  http.Handler
	peers    *peers
	leaving  atomic.Bool
	// heardAt is when the store last answered.
	heardAt common.Instant
	mu      sync.Mutex
	owner   *owner
	resign  context.CancelFunc
}

// NewNode returns a node that has not started yet. It serves its metrics by the
// handler.
func NewNode(s Settings, p Clients, log *Journal, d common.Deps, exposed http.Handler) (*Node, error) {
	now := d.Now
	if s.ConfigWithin == 0 {
		s.ConfigWithin = DefaultConfigWithin
	}
	n := &Node{Clients: p, settings: s, log: log, now: now, peers: newPeers()}
	n.election = newElection(p.KV, Owner{Name: s.Name, Peer: s.Peer}, s.Size, log, now, d.Suspended)
	n.intake = newIntake(p.KV, log, now)
	n.speed = newSpeedometer(now)
	n.exposed = exposed
	conns := append(p.connections(), n.peers.x.Connections())
	common.Join(conns...)
	if err := countTraffic(d.Meter, conns); err != nil {
		return nil, err
	}
	var err error
	n.metrics, err = newMetrics(d.Meter)
	return n, err
}

// Run works until the context ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){n.followOperator, n.election.follow, n.intake.run, n.own} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
}

// Callers serves callers' requests.
func (n *Node) Callers() http.Handler {
	return front{node: n}
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
	return n.now().Sub(n.heardAt.Get()) < readyWithout
}

// Leave hands ownership on and has callers sent elsewhere.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.election.retire()
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
			n.takeConfig(e)
		} else {
			n.takeWave(e)
		}
	}
	f := &follower{kv: n.KV, prefix: platform.OperatorPrefix, watchTimes: configWatch(n.settings.ConfigWithin), newest: true, log: n.log}
	f.heard = func(err error) {
		n.speed.sample()
		if err == nil || errors.Is(err, platform.ErrCompacted) {
			n.heardAt.Set(n.now())
		}
	}
	f.listed = func(l []platform.Entry) {
		for _, e := range l {
			take(e)
		}
	}
	f.changed = func(l []platform.Event) {
		for _, e := range l {
			if !e.Deleted {
				take(e.Entry)
			}
		}
	}
	f.run(ctx)
}

func (n *Node) takeConfig(e platform.Entry) {
	d, err := platform.DecodeConfig(e.Value)
	if err != nil {
		n.log.Write(Note{What: "configuration not understood", Why: err.Error()})
		return
	}
	if r := n.routes.Load(); r != nil && r.config.Version >= d.Version {
		return
	}
	n.routes.Store(newRoutes(d))
	n.log.Write(Note{What: "configuration", Inputs: []any{"version", d.Version, "queues", len(d.Queues), "revision", int64(e.Revision)}})
	n.tellOwner(ConfigTaken{Config: d})
}

func (n *Node) takeWave(e platform.Entry) {
	if len(e.Key) <= len(platform.WavePrefix) || e.Key[:len(platform.WavePrefix)] != platform.WavePrefix {
		return
	}
	w, err := platform.DecodeWave(e)
	if err != nil {
		n.log.Write(Note{What: "wave not understood", Why: err.Error()})
		return
	}
	n.tellOwner(WaveAsked{Wave: w})
}

func (n *Node) tellOwner(e Event) {
	if o := n.owned(); o != nil {
		o.post(e)
	}
}

// own claims ownership whenever nobody has it, and owns while it can.
func (n *Node) own(ctx context.Context) {
	for ctx.Err() == nil && !n.leaving.Load() {
		t, ok := n.election.wait(ctx)
		if !ok {
			return
		}
		n.serveTenure(ctx, t)
	}
}

func (n *Node) serveTenure(ctx context.Context, t tenure) {
	own, cancel := context.WithCancel(ctx)
	defer cancel()
	o := newOwner(n.Clients, n.log, n.now, n.election.suspended, n.settings, t, n.speed, n.metrics)
	n.mu.Lock()
	n.owner, n.resign = o, cancel
	n.mu.Unlock()
	n.metrics.took.Add(ctx, 1)
	var d *platform.Deployed
	if r := n.routes.Load(); r != nil {
		d = r.config
	}
	why := o.run(own, d)
	n.mu.Lock()
	n.owner, n.resign = nil, nil
	n.mu.Unlock()
	n.log.Write(Note{What: "ownership ended", Why: why, Inputs: []any{"fence", int64(t.fence)}})
	if why == whyCutOff || why == whySlow {
		n.election.abstain()
	}
	go n.election.endLease(ctx, t.lease)
}

// owned returns the owner that runs here, or nil.
func (n *Node) owned() *owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner
}
