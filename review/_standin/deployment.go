package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"amberway/internal/loopback"
	"amberway/internal/standin/fleet"
)

// host and prefix of the only queue, which sends its jobs to service.
const (
	routeHost   = "jobs.example"
	routePrefix = "/queue/"
	service     = "pool-a"
)

// workerSize is the capacity of each worker, as on the sheet of melitzana-prod.
var workerSize = capacity{CPU: 64000, MemMB: 262144}

// Sizes of the entry hosts, as on the sheet of melitzana-prod.
const (
	entryHosts  = 4
	entryCores  = 0.4
	entryMemory = 284
	linkMbps    = 1000
)

// Ports of an entry host, which has a loopback address of its own. They lie below the range from which the kernel
// takes the ports of outgoing connections.
const (
	callersPort = 18624
	readyPort   = 18622
	peersPort   = 17060
)

// deployment is a small deployment: the platform and the workers as stand-ins, entry hosts as processes.
type deployment struct {
	dir     string
	rec     *recorder
	runs    *runLog
	store   *fleet.Store
	gate    *gate
	workers []*worker
	entries []*entry
	servers []*http.Server
	storeAt netip.AddrPort
	cloudAt netip.AddrPort
}

// entry is an entry host, which runs the program that the deploy file names.
type entry struct {
	name, zone            string
	callers, ready, peers netip.AddrPort
	settings, logFile     string
	cmd                   *exec.Cmd
	done                  chan struct{}
}

func serve(h http.Handler) (*http.Server, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return s, netip.MustParseAddrPort(l.Addr().String()), nil
}

// newDeployment starts the platform and the workers, and then the entry hosts, and waits until those are ready.
func newDeployment(rec *recorder, workers int, size capacity, demand func(task, spec string) (capacity, time.Duration)) (*deployment, error) {
	dir, err := os.MkdirTemp("", "amberway-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, rec: rec, runs: newRunLog(rec), store: fleet.NewStore()}
	d.gate = newGate(d.store.Handler())
	s, at, err := serve(d.gate)
	if err != nil {
		return d, err
	}
	d.servers, d.storeAt = append(d.servers, s), at
	cloud := http.NewServeMux()
	cloud.HandleFunc("GET /machines", d.serveMachines)
	cloud.HandleFunc("POST /machine-move", d.serveBusy)
	cloud.HandleFunc("POST /machine-upkeep", d.serveBusy)
	if s, at, err = serve(cloud); err != nil {
		return d, err
	}
	d.servers, d.cloudAt = append(d.servers, s), at
	for i := range workers {
		w, err := startWorker(fmt.Sprintf("i-%06d", i+1), "127.0.0.1:0", service, zoneOf(i), fmt.Sprintf("m-%03d", i), fmt.Sprintf("r1-%d", i/4), size, rec, d.runs, demand)
		if err != nil {
			return d, err
		}
		d.workers = append(d.workers, w)
		if err := d.store.Put("servers/"+w.id, w.record(1)); err != nil {
			return d, err
		}
	}
	if err := d.store.Put("op/config", config()); err != nil {
		return d, err
	}
	for i := range entryHosts {
		e, err := d.newEntry(fmt.Sprintf("front-%d", i), zoneOf(i))
		if err != nil {
			return d, err
		}
		d.entries = append(d.entries, e)
		if err := d.launch(e); err != nil {
			return d, err
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.allReady() && d.owner() != nil {
			return d, nil
		}
	}
	return d, errors.New("the entry hosts are not ready after 15 s")
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%4) }

func config() any {
	type object = map[string]any
	return object{
		"version":  7,
		"routes":   []object{{"name": "r-a", "host": routeHost, "prefix": routePrefix, "kind": "mutating", "timeout_ms": 3000, "goal_ms": 600, "priority": 0, "service": service, "retries": 3, "stretch": 1.6}},
		"services": []object{{"name": service, "rejects_overload": true}},
		"limits":   object{"max_header_bytes": 16384, "max_body_bytes": 262144},
	}
}

// settings is deploy/settings.yaml, filled as for a machine of a small site.
const settings = `name: %q
data-centre: %q
callers: %q
ready: %q
peers: %q
store: %q
machines: %q
advice: ""
cores: %v
link-mbps: %v
memory-mb: %v
orders-per-second: 64
config-within: 2000ms
orders: "call"
log-format: json
log-level: info
stop-delay: 2500ms
stop-within: 4500ms
`

func (d *deployment) newEntry(name, zone string) (*entry, error) {
	e := &entry{name: name, zone: zone, settings: filepath.Join(d.dir, name+".yaml"), logFile: filepath.Join(d.dir, name+".log")}
	ip := loopback.RandomAddr()
	for _, a := range []struct {
		at   *netip.AddrPort
		port uint16
	}{{&e.callers, callersPort}, {&e.ready, readyPort}, {&e.peers, peersPort}} {
		l, err := net.Listen("tcp", netip.AddrPortFrom(ip, a.port).String())
		if err != nil {
			return nil, err
		}
		*a.at = netip.MustParseAddrPort(l.Addr().String())
		_ = l.Close()
	}
	text := fmt.Sprintf(settings, e.name, e.zone, e.callers, e.ready, e.peers, d.storeAt, d.cloudAt, entryCores, linkMbps, entryMemory)
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

// launch starts an entry host with the command of the deploy file.
func (d *deployment) launch(e *entry) error {
	f, err := os.OpenFile(e.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/amberwayd")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AMBERWAY_SETTINGS=" + e.settings}
	c.Stdout, c.Stderr = f, f
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	e.cmd, e.done = c, make(chan struct{})
	done := e.done
	go func() {
		_ = c.Wait()
		_ = f.Close()
		close(done)
	}()
	return nil
}

// kill ends an entry host's process.
func (e *entry) kill() {
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.done
	e.cmd = nil
}

func (d *deployment) allReady() bool {
	for _, e := range d.entries {
		c := http.Client{Timeout: time.Second}
		r, err := c.Get("http://" + e.ready.String() + "/ready")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		if r.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// owner returns the entry host that holds the owner's key, or nil. Only the disruption and the record use it.
func (d *deployment) owner() *entry {
	b, ok := d.store.Value("jobs/owner")
	var o struct {
		Name string `json:"name"`
	}
	if !ok || json.Unmarshal(b, &o) != nil {
		return nil
	}
	for _, e := range d.entries {
		if e.name == o.Name {
			return e
		}
	}
	return nil
}

func (d *deployment) serveMachines(rw http.ResponseWriter, _ *http.Request) {
	l := []map[string]any{}
	for _, w := range d.workers {
		l = append(l, map[string]any{"machine": w.machine, "pool": w.service, "state": "up", "zone": w.zone, "labels": []string{"a", w.rack}, "capacity": w.capacity, "id": w.id})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": l, "next_token": nil})
}

func (d *deployment) serveBusy(rw http.ResponseWriter, r *http.Request) {
	d.rec.printf("order to a machine: %s", r.URL.Path)
	writeJSON(rw, http.StatusConflict, map[string]any{"reason": "busy"})
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	for _, e := range d.entries {
		e.kill()
	}
	for _, w := range d.workers {
		w.mu.Lock()
		w.closed = true
		w.mu.Unlock()
		_ = w.listener.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs are kept in", d.dir)
	}
}

// step and jobBody are a job as clients hand it in.
type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"mem_mb"`
	EstimateMs int   `json:"estimate_ms"`
	After      []int `json:"after,omitempty"`
}

type jobBody struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// requestDeadline is how long clients wait for an answer.
const requestDeadline = 3 * time.Second

// call sends one request of a client to an entry host. The status is 0 if there was no answer.
func (d *deployment) call(e *entry, method, id string, body any) (int, string) {
	var b io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		b = bytes.NewReader(text)
		d.rec.printf("%s %s at %s, %d bytes: %.200s", method, id, e.name, len(text), text)
	}
	q, err := http.NewRequest(method, "http://"+e.callers.String()+routePrefix+id, b)
	if err != nil {
		return 0, err.Error()
	}
	q.Host = routeHost
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Amberway-Deadline", fmt.Sprint(requestDeadline.Milliseconds()))
	c := http.Client{Timeout: requestDeadline}
	r, err := c.Do(q)
	if err != nil {
		d.rec.printf("%s %s at %s: no answer: %v", method, id, e.name, err)
		return 0, err.Error()
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	d.rec.printf("%s %s at %s: %d %.200s", method, id, e.name, r.StatusCode, text)
	return r.StatusCode, string(text)
}

// submit hands a job in, at up to four entry hosts, and reports whether it was accepted.
func (d *deployment) submit(first int, id string, j jobBody) bool {
	for i := range 4 {
		status, _ := d.call(d.entries[(first+i)%len(d.entries)], http.MethodPost, id, j)
		if status/100 == 2 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// parallel calls f n times at once and waits.
func parallel(n int, f func(i int)) {
	var g sync.WaitGroup
	for i := range n {
		g.Go(func() { f(i) })
	}
	g.Wait()
}

// restartAfter is how long the platform takes to start a process again that was killed.
const restartAfter = time.Second

// killOwner kills the process that owns the jobs, and starts it again as the platform does.
func killOwner(d *deployment, w *watcher) {
	e := d.owner()
	if e == nil {
		d.rec.printf("no owner to kill")
		return
	}
	e.kill()
	d.rec.printf("%s is killed", e.name)
	time.Sleep(restartAfter)
	err := d.launch(e)
	d.rec.printf("%s is started again: %v", e.name, err)
	w.disturbedAt(time.Now())
}
