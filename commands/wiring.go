package commands

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"google.golang.org/grpc"

	"amberway/admin"
	"amberway/common"
	"amberway/config"
	"amberway/fleet"
	"amberway/peers"
	"amberway/platform"
	"amberway/request"
)

// newRequestsDaemon creates the parts of a daemon for requests and connects them.
func newRequestsDaemon(s Settings, c parsedSettings, l *logrus.Logger) (*requestsDaemon, error) {
	h, m, err := newMeter()
	if err != nil {
		return nil, err
	}
	d := &requestsDaemon{settings: s, parsed: c, deps: common.NewDeps(l, m)}
	d.metrics = h
	d.log = d.deps.Log("daemon")
	d.startedAt = d.deps.Now()
	d.shares = request.NewSlotShares(d.startedAt, s.Name)
	d.pauseDetector = common.NewPauseDetector(d.deps.Now)
	client := platform.NewPlatformClient()
	d.store = platform.NewEtcd(c.platform, client, &d.platformCalls)
	d.hosts = platform.NewHTTPHosts(c.hostList, client, &d.platformCalls)
	d.dialer = peers.NewDialer(s.PeerToken)
	d.initMembers()
	d.initFleet()
	return d, d.registerMetrics(m)
}

// newMeter returns a meter and the HTTP handler that serves its metrics.
func newMeter() (http.Handler, metric.Meter, error) {
	r := prometheus.NewRegistry()
	e, err := otelprom.New(otelprom.WithRegisterer(r))
	if err != nil {
		return nil, nil, merry.Prepend(err, "daemon: metrics")
	}
	m := sdk.NewMeterProvider(sdk.WithReader(e)).Meter("amberway")
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{}), m, nil
}

// initMembers creates the configuration follower and the membership. They depend on each
// other: members announce generations, and newer ones are fetched from them.
func (d *requestsDaemon) initMembers() {
	d.follower = config.NewFollower(d.deps, d.store, func(*config.Snapshot) { d.updateRouting() })
	self := peers.Member{
		Name:        d.settings.Name,
		Incarnation: uint64(d.startedAt.UnixNano()),
		Peer:        d.parsed.peers,
		Caller:      d.parsed.callers,
		DataCentre:  d.settings.DataCentre,
	}
	d.members = peers.New(d.deps, peers.Settings{
		Self:         self,
		Seeds:        d.parsed.seeds,
		Options:      peers.DefaultOptions(),
		Generation:   func() int64 { return d.follower.Current().Head.Generation },
		OnGeneration: d.fetchConfig,
	}, d.dialer, d.store)
}

// initFleet creates the dispatcher, the fleet view and the coordinator.
func (d *requestsDaemon) initFleet() {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d.dispatcher = request.NewDispatcher(request.NewScheduler(request.DefaultPolicy(), r), d.deps.Now)
	d.view = fleet.NewView(d.deps, d.settings.DataCentre, d.store, d.hosts, func(*fleet.Snapshot) { d.updateRouting() })
	d.coordinator = fleet.NewCoordinator(d.deps, fleet.CoordinatorOptions{
		DataCentre:  d.settings.DataCentre,
		Self:        d.settings.Name,
		Store:       d.store,
		Hosts:       d.hosts,
		View:        d.view,
		Members:     d.members,
		Dialer:      d.dialer,
		IdleChecker: d.dispatcher,
		Config:      d.follower.Current,
	})
}

// initServers creates the handlers for callers and operators.
func (d *requestsDaemon) initServers(ctx context.Context) error {
	m, err := request.NewMetrics(d.deps.Meter)
	if err != nil {
		return err
	}
	f := request.NewForwarder(maxIdleConnsPerTarget)
	d.claimer = request.NewClaimer(ctx, d.deps, d.settings.Name, d.store, d.members, d.dialer)
	d.server = request.NewServer(d.deps, request.ServerOptions{
		Config:        d.follower.Current,
		Dispatcher:    d.dispatcher,
		Claims:        d.claimer,
		Runner:        f,
		Hosts:         d.view,
		Relay:         request.NewRelay(d.settings.DataCentre, d.settings.PeerToken, d.members.Live, f),
		Issuer:        request.NewIssuer(d.settings.Name, uint64(d.startedAt.UnixNano())),
		Metrics:       m,
		PauseDetector: d.pauseDetector,
		HopToken:      d.settings.PeerToken,
	})
	d.admin = admin.New(d.deps, admin.ServerOptions{
		Name:        d.settings.Name,
		DataCentre:  d.settings.DataCentre,
		Version:     Version,
		Tokens:      d.settings.Tokens,
		Follower:    d.follower,
		Publisher:   config.NewPublisher(d.store),
		View:        d.view,
		Coordinator: d.coordinator,
		Members:     d.members,
		Ready:       d.ready,
		Dump:        d.dump,
		Metrics:     d.metrics,
	})
	return nil
}

func (d *requestsDaemon) registerPeerServices(g *grpc.Server) {
	d.members.Register(g)
	d.claimer.Register(g)
	config.NewPeerServer(d.follower).Register(g)
	fleet.NewPeerServer(d.settings.DataCentre, d.view, d.dispatcher).Register(g)
}

// maxIdleConnsPerTarget is the maximum number of idle connections to each target.
const maxIdleConnsPerTarget = 8
