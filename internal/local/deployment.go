// Package local runs a whole deployment as processes on this machine, for
// tests, demos and measurements. The daemon itself starts no processes.
package local

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"amberway/admin"
	"amberway/internal/standin"
	"amberway/platform"
)

// The tokens of every local deployment.
const (
	AdminToken = "local-admin"
	peerToken  = "local-peer"
)

// Options configure a deployment.
type Options struct {
	DataCentres []string
	// Entries is the number of entry hosts in each data centre.
	Entries int
	// Targets is the number of targets in each data centre, by pool label.
	Targets map[string]int
	// Slots is the number of slots of each target, 8 by default.
	Slots int
	// RackSize is the number of targets of a pool in each rack, 4 by default.
	RackSize int
	// MemoryMB, if not zero, is what each entry host may take of its machine's memory, in megabytes.
	MemoryMB int
	// MaxDescriptors, if not zero, is the most descriptors that each entry host may have open.
	MaxDescriptors int
	// RebootTime is how long a reboot takes, one second by default.
	RebootTime time.Duration
}

// Entry is an entry host.
type Entry struct {
	*Process
	DataCentre string
	Callers    netip.AddrPort
	Admin      netip.AddrPort
	Peers      netip.AddrPort
	args       []string
}

// URL returns the base URL of the callers' listener.
func (e *Entry) URL() string {
	return "http://" + e.Callers.String()
}

// Client returns a client of the operators' listener.
func (e *Entry) Client() *admin.Client {
	return admin.NewClient(&url.URL{Scheme: "http", Host: e.Admin.String()}, AdminToken)
}

// Target is a target.
type Target struct {
	*Process
	Host platform.Host
}

// Deployment is a running deployment: a platform, entry hosts and targets.
type Deployment struct {
	Options
	dir       string
	bin       string
	platforms map[string]netip.AddrPort
	Platform  *Process
	Entries   []*Entry
	Targets   []*Target
}

// Run builds the programs, starts a deployment, calls f with it and stops it, all in a
// temporary directory. So that no process is left behind, a signal cancels the context of f,
// and a write to a closed pipe is an error instead of a SIGPIPE.
func Run(ctx context.Context, o Options, f func(ctx context.Context, d *Deployment) error) error {
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "amberway")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin, err := Build(ctx, dir)
	if err != nil {
		return err
	}
	d, err := Start(ctx, bin, dir, o)
	defer d.Stop()
	if err != nil {
		return err
	}
	return f(ctx, d)
}

// Start starts a deployment and waits until its entry hosts answer. The caller
// has to call Stop, also after an error.
func Start(ctx context.Context, bin, dir string, o Options) (*Deployment, error) {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.RackSize == 0 {
		o.RackSize = defaultRackSize
	}
	if o.RebootTime == 0 {
		o.RebootTime = time.Second
	}
	d := &Deployment{Options: o, dir: dir, bin: bin, platforms: map[string]netip.AddrPort{}}
	if err := d.startPlatform(); err != nil {
		return d, err
	}
	if err := d.startTargets(ctx); err != nil {
		return d, err
	}
	for _, dc := range o.DataCentres {
		for n := range o.Entries {
			if err := d.addEntry(fmt.Sprintf("entry-%s-%d", dc, n), dc); err != nil {
				return d, err
			}
		}
	}
	for _, e := range d.Entries {
		if err := d.Launch(e); err != nil {
			return d, err
		}
	}
	return d, d.waitEntries(ctx)
}

func (d *Deployment) startPlatform() error {
	args := []string{"platform", "--reboot", d.RebootTime.String()}
	for _, dc := range append([]string{"control"}, d.DataCentres...) {
		a, err := freePort()
		if err != nil {
			return err
		}
		d.platforms[dc] = a
		args = append(args, "--listen", dc+"="+a.String())
	}
	p, err := d.spawn("platform", "standin", args)
	d.Platform = p
	if err != nil {
		return err
	}
	return waitFor(5*time.Second, func() error { return d.callControl(http.MethodGet, "/standin/stats", nil, nil) })
}

func (d *Deployment) startTargets(ctx context.Context) error {
	var l []platform.Host
	for _, dc := range d.DataCentres {
		for pool, n := range d.Options.Targets {
			for i := range n {
				t, err := d.startTarget(fmt.Sprintf("%s-%s-%d", pool, dc, i), dc, pool, i)
				if err != nil {
					return err
				}
				l = append(l, t.Host)
			}
		}
	}
	return d.SetHosts(ctx, l)
}

// defaultRackSize is the default number of targets in a rack.
const defaultRackSize = 4

func (d *Deployment) startTarget(name, dc, pool string, i int) (*Target, error) {
	a, err := freePort()
	if err != nil {
		return nil, err
	}
	t := &Target{Host: platform.Host{
		Name: name, Address: a, DataCentre: dc, Rack: fmt.Sprintf("%s-rack-%d", dc, i/d.RackSize),
		Labels: map[string]string{"pool": pool}, Live: true, Boot: 1, Slots: d.Slots, Connections: 64,
		Processors: 16, MemoryBytes: 32 << 30,
	}}
	t.Process, err = d.spawn(name, "standin", []string{"target", "--name", name, "--listen", a.String(), "--slots", fmt.Sprint(d.Slots)})
	d.Targets = append(d.Targets, t)
	return t, err
}

func (d *Deployment) addEntry(name, dc string) error {
	e := &Entry{DataCentre: dc, Process: &Process{Name: name}}
	for _, a := range []*netip.AddrPort{&e.Callers, &e.Admin, &e.Peers} {
		p, err := freePort()
		if err != nil {
			return err
		}
		*a = p
	}
	e.args = []string{
		"--name", name, "--data-centre", dc, "--callers", e.Callers.String(), "--admin", e.Admin.String(),
		"--peers", e.Peers.String(), "--platform", "http://" + d.platforms[dc].String(),
		"--peer-token", peerToken, "--admin-token", AdminToken, "--stop-delay", "300ms",
	}
	if d.MemoryMB > 0 {
		e.args = append(e.args, "--memory-mb", fmt.Sprint(d.MemoryMB))
	}
	d.Entries = append(d.Entries, e)
	return nil
}

// Launch starts an entry host that is not running, with all others as its seeds.
func (d *Deployment) Launch(e *Entry) error {
	args := e.args
	for _, o := range d.Entries {
		if o != e {
			args = append(args, "--seed", o.Peers.String())
		}
	}
	p, err := spawn(d.dir, filepath.Join(d.bin, "amberwayd"), e.Name, args, d.MaxDescriptors)
	e.Process = p
	return err
}

// waitEntries waits until each entry host answers and knows all others.
func (d *Deployment) waitEntries(ctx context.Context) error {
	return waitFor(20*time.Second, func() error {
		for _, e := range d.Entries {
			s, err := e.Client().Status(ctx)
			if err != nil {
				return err
			}
			if len(s.Members) < len(d.Entries) {
				return fmt.Errorf("%s knows %d of %d entry hosts", e.Name, len(s.Members), len(d.Entries))
			}
		}
		return nil
	})
}

func (d *Deployment) spawn(name, program string, args []string) (*Process, error) {
	return spawn(d.dir, filepath.Join(d.bin, program), name, args, 0)
}

// Stop kills all processes.
func (d *Deployment) Stop() {
	for _, e := range d.Entries {
		e.Kill()
	}
	for _, t := range d.Targets {
		t.Kill()
	}
	d.Platform.Kill()
}

// SetPlatformFault sets or clears a fault of the platform's listener for one data centre, or
// of all its listeners.
func (d *Deployment) SetPlatformFault(listener string, f standin.Fault) error {
	return d.callControl(http.MethodPost, "/standin/faults?listener="+listener, f, nil)
}

// SetHosts adds or replaces hosts in the platform's list.
func (d *Deployment) SetHosts(_ context.Context, l []platform.Host) error {
	return d.callControl(http.MethodPost, "/standin/hosts", l, nil)
}

// Stats returns how many calls the platform has served.
func (d *Deployment) Stats() (standin.Stats, error) {
	var s standin.Stats
	return s, d.callControl(http.MethodGet, "/standin/stats", nil, &s)
}

// callControl calls the control listener of the platform.
func (d *Deployment) callControl(method, path string, body, v any) error {
	return callJSON(method, "http://"+d.platforms["control"].String()+path, body, v)
}

// Runs returns statistics of the target's runs.
func (t *Target) Runs() (standin.RunStats, error) {
	var r standin.RunStats
	err := callJSON(http.MethodGet, "http://"+t.Host.Address.String()+"/standin/runs", nil, &r)
	return r, err
}

// SetFault sets or clears the target's fault.
func (t *Target) SetFault(f standin.Fault) error {
	return callJSON(http.MethodPost, "http://"+t.Host.Address.String()+"/standin/faults", f, nil)
}
