package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"amberway/common"
	"amberway/job"
	"amberway/platform"
	"amberway/request"
)

// Limits and intervals of a daemon that serves jobs.
const (
	// jobsGCPercent saves CPU time at the cost of memory, of which a host has 284 megabytes
	// while the daemon uses some ten.
	jobsGCPercent = 400
	// logFlushTimeout bounds the wait at exit for the last log lines to be written. They
	// show how the stop went, and without the wait the process could exit first.
	logFlushTimeout = 200 * time.Millisecond
	// settingsPollInterval is how often the settings file is checked for a change
	// without a signal.
	settingsPollInterval = 2 * time.Second
)

// jobsDaemon is an entry host that serves jobs.
type jobsDaemon struct {
	settings      Settings
	parsed        parsedSettings
	args          []string
	logger        *logrus.Logger
	log           *job.Logger
	deps          common.Deps
	node          *job.Node
	platformCalls platform.Calls
	lastModTime   time.Time
}

// runJobs serves jobs until the process gets a signal to stop, and returns the exit code.
func runJobs(s Settings, c parsedSettings, args []string, out io.Writer) int {
	debug.SetGCPercent(jobsGCPercent)
	s.limitMemory()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	done := make(chan struct{})
	d := &jobsDaemon{settings: s, parsed: c, args: args, logger: newLogger(s, c, out)}
	d.log = job.NewLogger(d.logger, time.Now, done)
	defer d.log.Flush(logFlushTimeout)
	defer close(done)
	metricsHandler, meter, err := newMeter()
	if err != nil {
		fmt.Fprintf(out, "amberwayd: %v\n", err)
		return ExitFailed
	}
	d.deps = common.NewDeps(d.logger, meter)
	d.node, err = job.NewNode(job.Settings{Name: s.Name, DataCentre: s.DataCentre, Peer: c.peers, Size: s.size(), ConfigWithin: s.ConfigWithin, KeysWithin: s.KeysWithin, EvacuationWithin: s.EvacuationWithin}, job.Clients{
		KV:       platform.NewKV(c.store, &d.platformCalls),
		Workers:  platform.NewWorkers(),
		Machines: platform.NewMachines(c.machines, &d.platformCalls),
		Advice:   platform.NewAdvice(c.advice),
	}, d.log, d.deps, metricsHandler)
	if err != nil {
		fmt.Fprintf(out, "amberwayd: %v\n", err)
		return ExitFailed
	}
	if err := d.run(ctx); err != nil {
		d.logger.WithField("why", err.Error()).Error("ended")
		return ExitFailed
	}
	return ExitOK
}

// size returns the host's resources as given in the settings.
func (s Settings) size() job.Size {
	return job.Size{Cores: s.Cores, LinkMbps: s.LinkMbps, MemoryMB: s.MemoryMB, OrdersPerSecond: s.OrderRate}
}

func (d *jobsDaemon) run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 3)
	callers, err := d.startGracefulServer(background, d.parsed.callers, d.node.Callers(), request.IdleGrace, d.settings.callerLimits(0), failed)
	if err != nil {
		return err
	}
	ready, err := d.startGracefulServer(background, d.parsed.ready, http.HandlerFunc(d.serveReady), 0, d.settings.readyLimits(), failed)
	if err != nil {
		return err
	}
	peers, err := d.startGracefulServer(background, d.parsed.peers, d.peersHandler(), 0, d.settings.peerLimits(), failed)
	if err != nil {
		return err
	}
	servers := map[string]gracefulServer{"callers": callers, "peers": peers, "ready": ready}
	if err := observeLimits(d.deps.Meter, servers); err != nil {
		return err
	}
	d.log.Write(job.LogLine{What: "started", Fields: []any{"name", d.settings.Name, "callers", d.parsed.callers.String(), "version", Version}})
	go d.node.Run(background)
	go d.watchSettings(background)
	go d.reportLimits(background, servers)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return d.stop(callers, peers, ready)
}

// startGracefulServer listens at the address and serves the handler in a goroutine, which
// sends an error to failed.
func (d *jobsDaemon) startGracefulServer(ctx context.Context, at netip.AddrPort, h http.Handler, grace time.Duration, l request.Limits, failed chan<- error) (gracefulServer, error) {
	s, err := newGracefulServer(ctx, at, h, d.settings.keepAliveTimeout(), grace, l)
	if err != nil {
		return s, err
	}
	go func() {
		if err := s.serve(); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}()
	return s, nil
}

// peersHandler returns the handler for other entry hosts, metrics and, if the settings enable
// them, profiles.
func (d *jobsDaemon) peersHandler() http.Handler {
	if !d.settings.Profile {
		return d.node.Peers()
	}
	m := http.NewServeMux()
	m.HandleFunc("/debug/pprof/", pprof.Index)
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)
	m.Handle("/", d.node.Peers())
	return m
}

func (d *jobsDaemon) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/ready" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !d.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop gives up ownership, lets the load balancer send callers to other entry hosts, and
// returns once nothing is in flight.
func (d *jobsDaemon) stop(callers, peers, ready gracefulServer) error {
	d.log.Write(job.LogLine{What: "stopping"})
	d.node.Leave()
	callers.DisableKeepAlives()
	peers.DisableKeepAlives()
	stopCtx, cancel := context.WithTimeout(context.Background(), d.settings.StopWithin)
	defer cancel()
	common.Sleep(stopCtx, d.settings.StopDelay)
	var g sync.WaitGroup
	// The error is ignored: another entry host whose call is cut off repeats it, or finds
	// out whether it was carried out.
	g.Go(func() { _ = d.stopServer(stopCtx, peers, "peers' listener closed") })
	err := d.stopServer(stopCtx, callers, "callers' listener closed")
	g.Wait()
	_ = ready.Close()
	d.log.Write(job.LogLine{What: "stopped"})
	return err
}

// stopServer stops the server and logs the report of its stop.
func (d *jobsDaemon) stopServer(ctx context.Context, s gracefulServer, what string) error {
	r, err := s.stop(ctx)
	line := job.LogLine{What: what, Fields: r.LogFields()}
	if err != nil {
		line.Why = err.Error()
	}
	d.log.Write(line)
	return err
}

// watchSettings reloads the settings on SIGHUP and when the file has changed. Only the log
// level can change while the daemon runs.
func (d *jobsDaemon) watchSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	d.lastModTime = d.settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			d.reload("signal")
		case <-t.C:
			if at := d.settingsModTime(); !at.Equal(d.lastModTime) {
				d.lastModTime = at
				d.reload("settings file changed")
			}
		}
	}
}

func (d *jobsDaemon) settingsModTime() time.Time {
	if d.settings.File == "" {
		return time.Time{}
	}
	i, err := os.Stat(d.settings.File)
	if err != nil {
		return d.lastModTime
	}
	return i.ModTime()
}

func (d *jobsDaemon) reload(why string) {
	var errs textWriter
	s, c, _, ok := readSettings(d.args, io.Discard, &errs)
	if !ok {
		d.log.Write(job.LogLine{What: "settings rejected", Why: string(errs)})
		return
	}
	d.logger.SetLevel(c.level)
	d.log.Write(job.LogLine{What: "settings reloaded", Why: why, Fields: []any{"level", s.LogLevel, "restart_needed", d.needsRestart(c)}})
}

// needsRestart reports whether an address differs from the one in use, which takes a
// restart to apply.
func (d *jobsDaemon) needsRestart(c parsedSettings) bool {
	o := d.parsed
	return c.callers != o.callers || c.peers != o.peers || c.ready != o.ready ||
		c.store != o.store || c.machines != o.machines || c.advice != o.advice
}

// textWriter is an io.Writer that collects what is written.
type textWriter string

// Write implements io.Writer.
func (w *textWriter) Write(b []byte) (int, error) {
	*w += textWriter(b)
	return len(b), nil
}
