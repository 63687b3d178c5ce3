package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"amberway/admin"
	"amberway/common"
	"amberway/config"
	"amberway/fleet"
	"amberway/peers"
	"amberway/platform"
	"amberway/request"
)

// requestsDaemon is an entry host that serves requests; see jobsDaemon for jobs.
type requestsDaemon struct {
	settings      Settings
	parsed        parsedSettings
	deps          common.Deps
	log           common.Log
	platformCalls platform.Calls
	store         platform.Store
	hosts         platform.Hosts
	dialer        *peers.Dialer
	members       *peers.Service
	follower      *config.Follower
	view          *fleet.View
	coordinator   *fleet.Coordinator
	dispatcher    *request.Dispatcher
	claimer       *request.Claimer
	server        *request.Server
	admin         *admin.Server
	metrics       http.Handler
	stopping      atomic.Bool
	startedAt     time.Time
	pauseDetector *common.PauseDetector
	sharesMu      sync.Mutex
	shares        *request.SlotShares
}

// gcPercent makes the garbage collector run earlier than with its default of 100, because
// an entry host has little memory.
const gcPercent = 50

// operatorStopTimeout bounds the wait for operators' calls after the other servers have
// stopped.
const operatorStopTimeout = 10 * time.Second

// RunDaemon runs amberwayd and returns its exit code.
func RunDaemon(args []string, out, errs io.Writer) int {
	debug.SetGCPercent(gcPercent)
	s, c, code, ok := readSettings(args, out, errs)
	if !ok {
		return code
	}
	if s.Store != "" {
		return runJobs(s, c, args, out)
	}
	s.limitMemory()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := newRequestsDaemon(s, c, newLogger(s, c, errs))
	if err != nil {
		fmt.Fprintf(errs, "amberwayd: %v\n", err)
		return ExitFailed
	}
	if err := d.run(ctx); err != nil {
		d.log.Errorf("failed: %v", err)
		return ExitFailed
	}
	return ExitOK
}

func newLogger(s Settings, c parsedSettings, w io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(c.level)
	if s.LogFormat == "json" {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTimeFormat})
		return l
	}
	l.SetFormatter(&logrus.TextFormatter{TimestampFormat: logTimeFormat})
	return l
}

// logTimeFormat is the format of times in the log. It has milliseconds because an owner's
// decisions can be that close together.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// run serves until the context ends or a server fails. At the end of the context, it stops
// the servers and waits for the requests in flight.
func (d *requestsDaemon) run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.initServers(background); err != nil {
		return err
	}
	l, err := d.listen(background)
	if err != nil {
		return err
	}
	servers := map[string]gracefulServer{"callers": l.callers, "operators": l.operators}
	if err := observeLimits(d.deps.Meter, servers); err != nil {
		return err
	}
	g := peers.NewServer(d.settings.PeerToken)
	d.registerPeerServices(g)
	failed := make(chan error, 3)
	go func() { failed <- l.callers.serve() }()
	go func() { failed <- l.operators.serve() }()
	go func() { failed <- g.Serve(l.peers) }()
	d.startBackground(background)
	go d.reportLimits(background, servers)
	d.log.Infof("%s serves callers on %s", d.settings.Name, d.parsed.callers)
	select {
	case err := <-failed:
		return merry.Prepend(err, "daemon: listener")
	case <-ctx.Done():
	}
	return d.stop(l, g)
}

type listeners struct {
	callers   gracefulServer
	operators gracefulServer
	peers     net.Listener
}

func (d *requestsDaemon) listen(ctx context.Context) (listeners, error) {
	var l listeners
	var err error
	var c net.ListenConfig
	if l.callers, err = newGracefulServer(ctx, d.parsed.callers, d.server, d.settings.keepAliveTimeout(), request.IdleGrace, d.settings.callerLimits(request.MaxBody)); err != nil {
		return l, merry.Prepend(err, "daemon: callers' listener")
	}
	if l.operators, err = newGracefulServer(ctx, d.parsed.admin, d.admin, d.settings.keepAliveTimeout(), 0, d.settings.operatorLimits()); err != nil {
		return l, merry.Prepend(err, "daemon: operators' listener")
	}
	if l.peers, err = c.Listen(ctx, "tcp", d.parsed.peers.String()); err != nil {
		return l, merry.Prepend(err, "daemon: peers' listener")
	}
	l.peers = peers.BoundConnections(l.peers, d.settings.peerLimits().Conns)
	return l, nil
}

// startBackground starts the goroutines that run beside the servers.
func (d *requestsDaemon) startBackground(ctx context.Context) {
	go d.pauseDetector.Run(ctx, d.reload)
	go d.follower.Run(ctx)
	go d.view.Run(ctx)
	go d.members.Run(ctx)
	go d.coordinator.Run(ctx)
	go d.syncLoop(ctx)
}

// ready reports whether the load balancer may send requests to this entry host.
func (d *requestsDaemon) ready() bool {
	d.sharesMu.Lock()
	defer d.sharesMu.Unlock()
	return !d.stopping.Load() && d.shares.Usable() && d.follower.Current().Head.Generation > 0
}

// stop stops the servers, after StopDelay so that the load balancer can react first, and
// waits for the requests in flight.
func (d *requestsDaemon) stop(l listeners, g *grpc.Server) error {
	d.log.Infof("stopping")
	d.stopping.Store(true)
	l.callers.DisableKeepAlives()
	l.operators.DisableKeepAlives()
	stopCtx, cancel := context.WithTimeout(context.Background(), d.settings.StopWithin)
	defer cancel()
	common.Sleep(stopCtx, d.settings.StopDelay)
	err := d.stopServer(stopCtx, l.callers, "callers'")
	d.server.Drain(stopCtx)
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancelLeave()
	d.members.Leave(leaveCtx)
	g.Stop()
	// A stop that cuts off an operator's call does not count as failed.
	operatorsCtx, cancelOperators := context.WithTimeout(context.Background(), operatorStopTimeout)
	defer cancelOperators()
	_ = d.stopServer(operatorsCtx, l.operators, "operators'")
	d.dialer.Close()
	if errors.Is(err, context.DeadlineExceeded) {
		return merry.Prepend(err, "daemon: requests in flight were cut off")
	}
	d.log.Infof("stopped")
	return err
}

// stopServer stops the server and logs the report of its stop.
func (d *requestsDaemon) stopServer(ctx context.Context, s gracefulServer, whose string) error {
	r, err := s.stop(ctx)
	d.log.Infof("%s listener closed: %v %v", whose, r.LogFields(), err)
	return err
}
