package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"amberway/internal/loopback"
	"amberway/internal/standin/fleet"
)

// Figures of the deployment, which are those of the platform's small deployments.
const (
	hostCores   = 0.4
	hostLink    = 1000
	hostMemory  = 284
	dutyRate    = 64
	configMs    = 2000
	restartWait = 500 * time.Millisecond
)

// host is an entry host: one process of the daemon, which the platform starts again when it ends.
type host struct {
	name                  string
	callers, ready, peers netip.AddrPort
	settingsFile, logFile string
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	// stopped says that the process is not to be started again.
	stopped bool
	// ends tells how its processes ended.
	ends []string
	// killReason is why the platform has killed the present process.
	killReason string
}

// deployment is a running deployment.
type deployment struct {
	record *record
	fleet  *fleet.Fleet
	hosts  []*host
	dir    string
}

var (
	runningMu sync.Mutex
	running   []*deployment
)

// stopAll ends all processes that were started.
func stopAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, d := range running {
		d.stop()
	}
	running = nil
}

// options configure a deployment.
type options struct {
	hosts   int
	workers map[string]int
	spare   int
	size    fleet.Capacity
	config  any
	// storeAddressOf returns the address at which the hosts reach the store. The default is its own.
	storeAddressOf func(*fleet.Fleet) string
}

// startDeployment starts the platform's stand-ins and the hosts, and waits until all are ready.
func startDeployment(r *record, o options) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, fleet: fleet.New("spare", 1500*time.Millisecond), dir: dir}
	runningMu.Lock()
	running = append(running, d)
	runningMu.Unlock()
	for pool, n := range o.workers {
		if err := d.fleet.Add(pool, n, o.size); err != nil {
			return nil, err
		}
	}
	if err := d.fleet.Add("spare", o.spare, o.size); err != nil {
		return nil, err
	}
	if err := d.fleet.Store.Put("op/config", o.config); err != nil {
		return nil, err
	}
	for i := range o.hosts {
		h, err := d.newHost(fmt.Sprintf("front-%d", i+1), o)
		if err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
		if err := h.launch(); err != nil {
			return nil, err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; {
		n := 0
		for _, h := range d.hosts {
			if h.isReady() {
				n++
			}
		}
		if n == len(d.hosts) {
			break
		}
		if time.Now().After(end) {
			return nil, errors.New("not all hosts are ready")
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	r.write("%d hosts are ready, owner %s", len(d.hosts), d.ownerName())
	return d, nil
}

func (d *deployment) newHost(name string, o options) (*host, error) {
	ip := loopback.RandomAddr()
	h := &host{name: name, settingsFile: filepath.Join(d.dir, name+".yaml"), logFile: filepath.Join(d.dir, name+".log")}
	for _, a := range []*netip.AddrPort{&h.callers, &h.ready, &h.peers} {
		l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return nil, err
		}
		// They stay open until all are chosen, so that no port is chosen twice.
		defer l.Close()
		*a = netip.MustParseAddrPort(l.Addr().String())
	}
	store := d.fleet.StoreAddress()
	if o.storeAddressOf != nil {
		store = o.storeAddressOf(d.fleet)
	}
	// The lines of deploy/settings.yaml.
	s := fmt.Sprintf("name: %s\ndata-centre: dc-0\ncallers: %s\nready: %s\npeers: %s\nstore: %s\nmachines: %s\n", name, h.callers, h.ready, h.peers, store, d.fleet.MachinesAddress())
	s += fmt.Sprintf("cores: %v\nlink-mbps: %d\nmemory-mb: %d\norders-per-second: %d\nconfig-within: %dms\n", hostCores, hostLink, hostMemory, dutyRate, configMs)
	s += "orders: call\nlog-format: json\nlog-level: info\nstop-delay: 2500ms\nstop-within: 4500ms\n"
	return h, os.WriteFile(h.settingsFile, []byte(s), 0o600)
}

// launch starts the process with the command of the deploy file.
func (h *host) launch() error {
	f, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/amberwayd")
	c.Env = append(os.Environ(), "AMBERWAY_SETTINGS="+h.settingsFile)
	c.Stdout, c.Stderr = f, f
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return f.Close()
	}
	if err := c.Start(); err != nil {
		return err
	}
	h.cmd, h.killReason = c, ""
	go func() {
		err := c.Wait()
		_ = f.Close()
		h.noteEnd(c, err)
	}()
	return nil
}

// noteEnd notes the end of a process, and starts the next one after a short delay.
func (h *host) noteEnd(c *exec.Cmd, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || h.cmd != c {
		return
	}
	how := fmt.Sprint(err)
	if h.killReason != "" {
		how = h.killReason
	}
	h.ends = append(h.ends, how)
	time.AfterFunc(restartWait, func() { _ = h.launch() })
}

func (h *host) endCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ends)
}

// endReasons tells how its processes ended.
func (h *host) endReasons() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.ends...)
}

// kill kills the present process, as the platform does for the reason.
func (h *host) kill(reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.killReason == "" {
		h.killReason = reason
		_ = h.cmd.Process.Kill()
	}
}

// memoryMB returns what the process has in memory.
func (h *host) memoryMB() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
	var size, resident int
	if err != nil {
		return 0
	}
	if _, err := fmt.Sscan(string(b), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + h.ready.String() + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.mu.Lock()
		h.stopped = true
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
		}
		h.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

// ownerName returns the name of the host that the owner's key names.
func (d *deployment) ownerName() string {
	b, ok := d.fleet.Store.Value("jobs/owner")
	var o struct {
		Name string `json:"name"`
	}
	if !ok || json.Unmarshal(b, &o) != nil {
		return ""
	}
	return o.Name
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

// call makes one call of a caller, with a deadline.
func (h *host) call(method, queue, id string, body any, deadline time.Duration) answer {
	b := []byte{}
	if body != nil {
		b, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+h.callers.String()+fleet.QueuePrefix+queue+"/"+id, bytes.NewReader(b))
	if err != nil {
		return answer{err: err}
	}
	req.Host = fleet.JobsHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Amberway-Deadline", fmt.Sprint(deadline.Milliseconds()))
	c := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, body: strings.TrimSpace(string(out)), err: err}
}

// state asks all hosts in turn for a job's state until one answers.
func (d *deployment) state(queue, id string) answer {
	var a answer
	for _, h := range d.hosts {
		if a = h.call(http.MethodGet, queue, id, nil, 3*time.Second); a.err == nil && (a.status == http.StatusOK || a.status == http.StatusGone) {
			return a
		}
	}
	return a
}

// config returns a configuration with a queue for each pool.
func config(version int64, pools ...string) any {
	c := fleet.Config{Version: version, Pools: pools}
	for _, p := range pools {
		c.Queues = append(c.Queues, fleet.Queue{Name: p, Pool: p})
	}
	return c.Document("spare")
}
