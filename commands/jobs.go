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

// Figures of a daemon that serves jobs.
const (
	// jobsGCPercent trades memory, of which a host has 284 megabytes and the
	// daemon uses some ten, for processor time.
	jobsGCPercent = 400
	// jobsMemoryLimit is the soft limit of the heap, in bytes.
	jobsMemoryLimit = 120 << 20
	// headerTimeout bounds the reading of a request's headers, idleTimeout closes
	// connections that carry nothing: the balancer asks again within seconds.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// logFlushTimeout bounds the wait for a reader of the log's last lines: they tell how a
	// stop went, and without it a process ended before they were written.
	logFlushTimeout = 200 * time.Millisecond
	// settingsPollInterval is how often the settings file is looked at for a change
	// that no signal tells of.
	settingsPollInterval = 2 * time.Second
)

// jobsDaemon is an entry host that serves jobs.
type jobsDaemon struct {
	settings      Settings
	parsed        parsedSettings
	args          []string
	logger        *logrus.Logger
	log           *job.Logger
	node          *job.Node
	platformCalls platform.Calls
	lastModTime   time.Time
}

// runJobs serves jobs until the process is told to stop. It returns the exit
// code.
func runJobs(s Settings, c parsedSettings, args []string, out io.Writer) int {
	debug.SetGCPercent(jobsGCPercent)
	debug.SetMemoryLimit(jobsMemoryLimit)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	done := make(chan struct{})
	d := &jobsDaemon{settings: s, parsed: c, args: args, logger: newLogger(s, c, out)}
	d.log = job.NewLogger(d.logger, time.Now, done)
	defer d.log.Flush(logFlushTimeout)
	defer close(done)
	exposed, meter, err := newMeter()
	if err != nil {
		fmt.Fprintf(out, "amberwayd: %v\n", err)
		return ExitFailed
	}
	deps := common.NewDeps(d.logger, meter)
	d.node, err = job.NewNode(job.Settings{Name: s.Name, DataCentre: s.DataCentre, Peer: c.peers, Size: s.size(), ConfigWithin: s.ConfigWithin, KeysWithin: s.KeysWithin}, job.Clients{
		KV:       platform.NewKV(c.store, &d.platformCalls),
		Workers:  platform.NewWorkers(),
		Machines: platform.NewMachines(c.machines, &d.platformCalls),
		Advice:   platform.NewAdvice(c.advice),
	}, d.log, deps, exposed)
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

// size returns what the host has.
func (s Settings) size() job.Size {
	return job.Size{Cores: s.Cores, LinkMbps: s.LinkMbps, MemoryMB: s.MemoryMB, OrdersPerSecond: s.OrderRate}
}

func (d *jobsDaemon) run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 3)
	callers, err := d.startGracefulServer(work, d.parsed.callers, d.node.Callers(), request.IdleGrace, failed)
	if err != nil {
		return err
	}
	ready, err := startServer(work, d.parsed.ready, http.HandlerFunc(d.serveReady), failed)
	if err != nil {
		return err
	}
	peers, err := d.startGracefulServer(work, d.parsed.peers, d.peers(), 0, failed)
	if err != nil {
		return err
	}
	d.log.Write(job.LogLine{What: "started", Fields: []any{"name", d.settings.Name, "callers", d.parsed.callers.String(), "version", Version}})
	go d.node.Run(work)
	go d.watchSettings(work)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return d.stop(callers, peers, ready)
}

// startGracefulServer serves the handler at the address, beside its caller.
func (d *jobsDaemon) startGracefulServer(ctx context.Context, at netip.AddrPort, h http.Handler, pause time.Duration, failed chan<- error) (gracefulServer, error) {
	s, err := newGracefulServer(ctx, at, h, d.settings.keepAliveTimeout(), pause)
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

// peers serves other entry hosts, metrics and, if the settings ask for them, profiles.
func (d *jobsDaemon) peers() http.Handler {
	if !d.settings.Profile {
		return d.node.Peers()
	}
	m := http.NewServeMux()
	m.HandleFunc("/debug/pprof/", pprof.Index)
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)
	m.Handle("/", d.node.Peers())
	return m
}

// startServer serves the handler at the address, beside the caller.
func startServer(ctx context.Context, at netip.AddrPort, h http.Handler, failed chan<- error) (*http.Server, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", at.String())
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return s, nil
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

// stop hands ownership on, has callers sent elsewhere, and ends once nothing is
// in flight.
func (d *jobsDaemon) stop(callers, peers gracefulServer, ready *http.Server) error {
	d.log.Write(job.LogLine{What: "stopping"})
	d.node.Leave()
	callers.DisableKeepAlives()
	peers.DisableKeepAlives()
	within, cancel := context.WithTimeout(context.Background(), d.settings.StopWithin)
	defer cancel()
	common.Sleep(within, d.settings.StopDelay)
	var g sync.WaitGroup
	// A call of another entry host that is cut off is asked again or settled there.
	g.Go(func() { _ = d.stopServer(within, peers, "peers' listener closed") })
	err := d.stopServer(within, callers, "callers' listener closed")
	g.Wait()
	_ = ready.Close()
	d.log.Write(job.LogLine{What: "stopped"})
	return err
}

// stopServer stops one side and logs what its stop met.
func (d *jobsDaemon) stopServer(ctx context.Context, s gracefulServer, what string) error {
	r, err := s.stop(ctx)
	n := job.LogLine{What: what, Fields: r.LogFields()}
	if err != nil {
		n.Why = err.Error()
	}
	d.log.Write(n)
	return err
}

// watchSettings reads the settings anew after a SIGHUP and when the file has
// changed. Only the log's level can change while the daemon runs.
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
				d.reload("the file has changed")
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
	var faults textWriter
	s, c, _, ok := readSettings(d.args, io.Discard, &faults)
	if !ok {
		d.log.Write(job.LogLine{What: "settings not taken", Why: string(faults)})
		return
	}
	d.logger.SetLevel(c.level)
	d.log.Write(job.LogLine{What: "settings read", Why: why, Fields: []any{"level", s.LogLevel, "restart_needed", d.needsRestart(c)}})
}

// needsRestart reports whether the settings ask for something that only a restart
// brings.
func (d *jobsDaemon) needsRestart(c parsedSettings) bool {
	o := d.parsed
	return c.callers != o.callers || c.peers != o.peers || c.ready != o.ready ||
		c.store != o.store || c.machines != o.machines || c.advice != o.advice
}

// textWriter keeps what is written to it.
type textWriter string

// Write appends to the text.
func (w *textWriter) Write(b []byte) (int, error) {
	*w += textWriter(b)
	return len(b), nil
}
