package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"amberway/admin"
	"amberway/common"
	"amberway/config"
	"amberway/fleet"
	"amberway/peers"
	"amberway/platform"
	"amberway/request"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"google.golang.org/grpc"
)

// idleConns is the most idle connections kept to each target.
const idleConns = 8

// Daemon is one entry host.
type Daemon struct {
	settings   Settings
	checked    checked
	deps       common.Deps
	log        common.Log
	calls      platform.Calls
	store      platform.Store
	hosts      platform.Hosts
	dialer     *peers.Dialer
	members    *peers.Service
	follower   *config.Follower
	view       *fleet.View
	coord      *fleet.Coordinator
	dispatcher *request.Dispatcher
	claimer    *request.Claimer
	server     *request.Server
	admin      *admin.Server
	metrics    http.Handler
	stopping   atomic.Bool
	started    time.Time
	pulse      *common.Pulse
}

// gcPercent makes the garbage collector keep less memory in reserve than its
// default of 100, as an entry host is small.
const gcPercent = 50

// RunDaemon is amberwayd: it returns the exit code.
func RunDaemon(args []string, out, errs io.Writer) int {
	debug.SetGCPercent(gcPercent)
	var s Settings
	if code, ok := parse(&s, "amberwayd", args, out, errs); !ok {
		return code
	}
	c, err := s.check()
	if err != nil {
		fmt.Fprintf(errs, "amberwayd: %v\n", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := newDaemon(s, c, newLogger(s, c, errs))
	if err != nil {
		fmt.Fprintf(errs, "amberwayd: %v\n", err)
		return ExitFailed
	}
	if err := d.run(ctx); err != nil {
		d.log.Errorf("ended: %v", err)
		return ExitFailed
	}
	return ExitOK
}

func newLogger(s Settings, c checked, w io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(c.level)
	if s.LogFormat == "json" {
		l.SetFormatter(&logrus.JSONFormatter{})
	}
	return l
}

// newDaemon makes the parts and joins them.
func newDaemon(s Settings, c checked, l *logrus.Logger) (*Daemon, error) {
	r := prometheus.NewRegistry()
	e, err := otelprom.New(otelprom.WithRegisterer(r))
	if err != nil {
		return nil, merry.Prepend(err, "daemon: metrics")
	}
	m := sdk.NewMeterProvider(sdk.WithReader(e)).Meter("amberway")
	d := &Daemon{settings: s, checked: c, deps: common.NewDeps(l, m)}
	d.metrics = promhttp.HandlerFor(r, promhttp.HandlerOpts{})
	d.log = d.deps.Log("daemon")
	d.started = d.deps.Now()
	d.pulse = common.NewPulse(d.deps.Now)
	d.store = platform.NewEtcd(c.platform, &d.calls)
	d.hosts = platform.NewHTTPHosts(c.hostList, &d.calls)
	d.dialer = peers.NewDialer(s.PeerToken)
	d.joinMembers()
	d.joinFleet()
	return d, d.observe(m)
}

// joinMembers makes configuration and membership, which feed each other.
func (d *Daemon) joinMembers() {
	d.follower = config.NewFollower(d.deps, d.store, func(*config.Snapshot) { d.refresh() })
	self := peers.Member{
		Name:        d.settings.Name,
		Incarnation: uint64(d.started.UnixNano()),
		Peer:        d.checked.peers,
		Caller:      d.checked.callers,
		DataCentre:  d.settings.DataCentre,
	}
	d.members = peers.New(d.deps, peers.Settings{
		Self:         self,
		Seeds:        d.checked.seeds,
		Options:      peers.DefaultOptions(),
		Generation:   func() int64 { return d.follower.Current().Head.Generation },
		OnGeneration: d.learnConfig,
	}, d.dialer, d.store)
}

// joinFleet makes the request path and the coordinator.
func (d *Daemon) joinFleet() {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d.dispatcher = request.NewDispatcher(request.NewScheduler(request.DefaultPolicy(), r), d.deps.Now)
	d.view = fleet.NewView(d.deps, d.settings.DataCentre, d.store, d.hosts, func(*fleet.Snapshot) { d.refresh() })
	d.coord = fleet.NewCoordinator(d.deps, fleet.CoordinatorParts{
		DataCentre: d.settings.DataCentre,
		Self:       d.settings.Name,
		Store:      d.store,
		Hosts:      d.hosts,
		View:       d.view,
		Members:    d.members,
		Dialer:     d.dialer,
		Runs:       d.dispatcher,
		Config:     d.follower.Current,
	})
}

// refresh hands configuration, fleet and membership on to the request path.
func (d *Daemon) refresh() {
	if d.dispatcher == nil || d.view == nil || d.members == nil {
		return
	}
	c := d.follower.Current()
	v := d.view.Current()
	names := d.members.LiveNames(d.settings.DataCentre)
	d.dispatcher.Update(func(s *request.Scheduler) {
		s.SetServices(servicesOf(c.Document, v.Record.Placement))
		for _, o := range c.Document.Services {
			for _, j := range o.Jobs {
				s.Declare(request.UnitOf(o, j), j.Name, j.RunTime)
			}
		}
		s.SetTargets(targetsOf(v, names, d.settings.Name))
	})
}

// servicesOf returns the services, and besides each job that has been placed on
// some of its pool's hosts.
func servicesOf(d *config.Document, p fleet.Placement) []request.ServiceSpec {
	l := make([]request.ServiceSpec, 0, len(d.Services))
	for _, s := range d.Services {
		l = append(l, request.ServiceSpec{Name: s.Name, Pool: s.Pool, Weight: s.Weight})
		for _, j := range s.Jobs {
			if j.Replicas > 0 {
				l = append(l, request.ServiceSpec{
					Name: request.UnitOf(s, j), Pool: s.Pool, Weight: s.Weight,
					Placed: true, Targets: p[fleet.JobName(s.Name, j.Name)],
				})
			}
		}
	}
	return l
}

func targetsOf(v *fleet.Snapshot, members []string, self string) []request.TargetSpec {
	l := make([]request.TargetSpec, 0, len(v.Usable))
	for _, h := range v.List.Hosts {
		if _, ok := v.Usable[h.Name]; !ok {
			continue
		}
		n := request.ShareOf(h.Name, min(h.Slots, h.Connections), members, self)
		l = append(l, request.TargetSpec{Name: h.Name, Pool: v.Record.Hosts[h.Name].Pool, Slots: n})
	}
	return l
}

// learnConfig fetches a newer configuration from a peer.
func (d *Daemon) learnConfig(ctx context.Context, m peers.Member) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	c, err := d.dialer.Conn(m.Peer)
	if err != nil {
		return
	}
	if err := d.follower.Learn(ctx, config.NewPeerSource(c)); err != nil {
		d.log.Warnf("configuration not learned from %s: %v", m.Name, err)
	}
}

// run serves until the context ends, and then stops without cutting off a
// request in flight.
func (d *Daemon) run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.joinServers(work); err != nil {
		return err
	}
	l, err := d.listen(work)
	if err != nil {
		return err
	}
	g := peers.NewServer(d.settings.PeerToken)
	d.offer(g)
	callers := &http.Server{Handler: d.server, ReadHeaderTimeout: 10 * time.Second}
	operators := &http.Server{Handler: d.admin, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 3)
	go func() { failed <- callers.Serve(l.callers) }()
	go func() { failed <- operators.Serve(l.admin) }()
	go func() { failed <- g.Serve(l.peers) }()
	d.work(work)
	d.log.Infof("%s serves callers on %s", d.settings.Name, d.checked.callers)
	select {
	case err := <-failed:
		return merry.Prepend(err, "daemon: listener")
	case <-ctx.Done():
	}
	return d.stop(callers, operators, g)
}

// joinServers makes the callers' and the operators' interface.
func (d *Daemon) joinServers(ctx context.Context) error {
	m, err := request.NewMetrics(d.deps.Meter)
	if err != nil {
		return err
	}
	f := request.NewForwarder(idleConns)
	d.claimer = request.NewClaimer(ctx, d.deps, d.settings.Name, d.store, d.members, d.dialer)
	d.server = request.NewServer(d.deps, request.Parts{
		Config:     d.follower.Current,
		Dispatcher: d.dispatcher,
		Claims:     d.claimer,
		Runner:     f,
		Hosts:      d.view,
		Spill:      request.NewSpill(d.settings.DataCentre, d.settings.PeerToken, d.members.Live, f),
		Issuer:     request.NewIssuer(d.settings.Name, uint64(d.started.UnixNano())),
		Metrics:    m,
		Pulse:      d.pulse,
		HopToken:   d.settings.PeerToken,
	})
	d.admin = admin.New(d.deps, admin.Parts{
		Name:        d.settings.Name,
		DataCentre:  d.settings.DataCentre,
		Version:     Version,
		Tokens:      d.settings.Tokens,
		Follower:    d.follower,
		Publisher:   config.NewPublisher(d.store),
		View:        d.view,
		Coordinator: d.coord,
		Members:     d.members,
		Ready:       d.ready,
		Dump:        d.dump,
		Metrics:     d.metrics,
	})
	return nil
}

func (d *Daemon) offer(g *grpc.Server) {
	d.members.Register(g)
	d.claimer.Register(g)
	config.NewPeerServer(d.follower).Register(g)
	fleet.NewPeerServer(d.settings.DataCentre, d.view, d.dispatcher).Register(g)
}

type listeners struct {
	callers net.Listener
	admin   net.Listener
	peers   net.Listener
}

func (d *Daemon) listen(ctx context.Context) (listeners, error) {
	var l listeners
	var err error
	var c net.ListenConfig
	if l.callers, err = c.Listen(ctx, "tcp", d.checked.callers.String()); err != nil {
		return l, merry.Prepend(err, "daemon: callers' listener")
	}
	if l.admin, err = c.Listen(ctx, "tcp", d.checked.admin.String()); err != nil {
		return l, merry.Prepend(err, "daemon: operators' listener")
	}
	if l.peers, err = c.Listen(ctx, "tcp", d.checked.peers.String()); err != nil {
		return l, merry.Prepend(err, "daemon: peers' listener")
	}
	return l, nil
}

// work starts what runs besides the listeners.
func (d *Daemon) work(ctx context.Context) {
	go d.pulse.Run(ctx, d.view.Relearn)
	go d.follower.Run(ctx)
	go d.view.Run(ctx)
	go d.members.Run(ctx)
	go d.coord.Run(ctx)
	go d.follow(ctx)
}

// followEvery is how often shares follow the membership, and how often a view
// that is stale is learned from a peer.
const followEvery = 500 * time.Millisecond

// staleView is the age of the host list from which a peer is asked for it.
const staleView = 3 * time.Second

// follow keeps the request path in step with the membership, and learns the
// fleet from a peer while the platform does not tell of it.
func (d *Daemon) follow(ctx context.Context) {
	last := ""
	for ctx.Err() == nil {
		if n := fmt.Sprint(d.members.LiveNames(d.settings.DataCentre)); n != last {
			last = n
			d.refresh()
		}
		d.dispatcher.Pump()
		if d.deps.Now().Sub(d.view.Current().ListedAt) > staleView {
			d.learnFleet(ctx)
		}
		common.Sleep(ctx, followEvery)
	}
}

// learnFleet asks one peer of the same data centre for its view.
func (d *Daemon) learnFleet(ctx context.Context) {
	var l []peers.Member
	for _, m := range d.members.Live() {
		if m.DataCentre == d.settings.DataCentre && m.Name != d.settings.Name {
			l = append(l, m)
		}
	}
	if len(l) == 0 {
		return
	}
	c, err := d.dialer.Conn(l[rand.IntN(len(l))].Peer)
	if err != nil {
		return
	}
	_ = fleet.LearnView(ctx, c, d.view)
}

// ready reports whether the balancer may send requests here.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.follower.Current().Head.Generation > 0
}

// stop takes no more requests once the balancer had time to learn of it, and
// waits for those in flight.
func (d *Daemon) stop(callers, operators *http.Server, g *grpc.Server) error {
	d.log.Infof("stopping")
	d.stopping.Store(true)
	d.server.Stopping()
	within, cancel := context.WithTimeout(context.Background(), d.settings.StopWithin)
	defer cancel()
	common.Sleep(within, d.settings.StopDelay)
	err := callers.Shutdown(within)
	leave, done := context.WithTimeout(context.Background(), 2*time.Second)
	defer done()
	d.members.Leave(leave)
	g.Stop()
	_ = operators.Close()
	d.dialer.Close()
	if errors.Is(err, context.DeadlineExceeded) {
		return merry.Prepend(err, "daemon: requests in flight were cut off")
	}
	d.log.Infof("stopped")
	return err
}
