package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// machine is one machine of the fleet.
type machine struct {
	Name     string   `json:"machine"`
	Pool     string   `json:"pool"`
	State    string   `json:"state"`
	Zone     string   `json:"zone"`
	Labels   []string `json:"labels"`
	Capacity capacity `json:"capacity"`
	Worker   string   `json:"id"`
	worker   *worker
	upkeeps  map[int64]bool
}

// platform is the store, the machines and the workers.
type platform struct {
	store      *store
	storeAddr  string
	cloudAddr  string
	adviser    *adviser
	adviceAddr string
	jobs       *jobs
	gangs      *gangs
	checks     *checks
	record     *os.File
	startedAt  time.Time
	holdMax    time.Duration
	stopTime   time.Duration
	saveEvery  time.Duration
	contact    time.Duration
	moveTime   time.Duration
	mu         sync.Mutex
	machines   []*machine
	lastWorker int
	logMu      sync.Mutex
}

// Bounds of the small deployment at the site that the claims name.
const (
	holdMax   = 10 * time.Second
	stopTime  = 150 * time.Millisecond
	saveEvery = 500 * time.Millisecond
	gangWait  = 3 * time.Second
	contact   = 3 * time.Second
	moveTime  = 1500 * time.Millisecond
)

func newPlatform(record *os.File) (*platform, error) {
	p := &platform{
		store: newStore(), jobs: &jobs{byID: map[string]*jobSpec{}}, gangs: newGangs(gangWait), record: record, startedAt: time.Now(),
		holdMax: holdMax, stopTime: stopTime, saveEvery: saveEvery, contact: contact, moveTime: moveTime,
	}
	p.checks = &checks{p: p, active: map[string]map[int64]string{}, done: map[string]time.Time{}, ends: map[string][]doneEnd{}, rejects: map[string]int{}}
	var err error
	if p.storeAddr, err = serve(p.store.Handler()); err != nil {
		return nil, err
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /machines", p.serveList)
	m.HandleFunc("POST /machine-move", p.serveMove)
	m.HandleFunc("POST /machine-upkeep", p.serveUpkeep)
	if p.cloudAddr, err = serve(m); err != nil {
		return nil, err
	}
	p.adviser = newAdviser(adviceTimes{DecideMs: 20, EachMs: 2, ValidMs: 20000})
	p.adviceAddr, err = serve(p.adviser)
	return p, err
}

// serve serves the handler on a free port of the loopback address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// logf writes a line to the record.
func (p *platform) logf(format string, a ...any) {
	p.logMu.Lock()
	defer p.logMu.Unlock()
	fmt.Fprintf(p.record, "%8.3f  %s\n", time.Since(p.startedAt).Seconds(), fmt.Sprintf(format, a...))
}

func (p *platform) nextWorker() int {
	p.lastWorker++
	return p.lastWorker
}

// zones are those of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// addMachines adds machines, whose workers start at once unless the pool is the spare one.
func (p *platform) addMachines(pool string, n int, c capacity, labels ...string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range n {
		i := len(p.machines)
		m := &machine{
			Name: fmt.Sprintf("m-%03d", i), Pool: pool, State: "up", Zone: zones[i%len(zones)],
			Labels: append([]string{"a", fmt.Sprintf("r1-%d", i/4)}, labels...), Capacity: c, upkeeps: map[int64]bool{},
		}
		p.machines = append(p.machines, m)
		if err := p.boot(m); err != nil {
			return err
		}
	}
	return nil
}

// boot starts the machine's worker. The caller holds p.mu.
func (p *platform) boot(m *machine) error {
	m.State, m.Worker, m.worker = "up", "", nil
	if m.Pool == sparePool {
		return nil
	}
	w, err := p.startWorker(m)
	if err != nil {
		return err
	}
	m.worker, m.Worker = w, w.id
	return p.store.Put("servers/"+w.id, w.record())
}

// crash crashes the worker of a machine. It comes back as another one after the downtime, and the
// record of the one that has crashed lapses after three heartbeats.
func (p *platform) crash(m *machine, downtime, heartbeats time.Duration) {
	p.mu.Lock()
	w := m.worker
	m.State, m.worker, m.Worker = "down", nil, ""
	p.mu.Unlock()
	p.logf("TROUBLE the worker %s on %s crashes", w.id, m.Name)
	p.checks.disturbed(time.Now().Add(max(downtime, heartbeats)))
	w.kill()
	time.AfterFunc(heartbeats, func() { p.store.Remove("servers/" + w.id) })
	time.AfterFunc(downtime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if m.State == "down" {
			_ = p.boot(m)
		}
	})
}

func (p *platform) serveList(rw http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"machines": p.machines})
}

func (p *platform) serveMove(rw http.ResponseWriter, r *http.Request) {
	var q struct{ Machine, Pool string }
	if !decode(rw, r, &q) {
		return
	}
	p.order(rw, q.Machine, "moving", func(m *machine) bool { return m.Pool == q.Pool }, func(m *machine) { m.Pool = q.Pool })
}

func (p *platform) serveUpkeep(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Machine string
		Wave    int64
	}
	if !decode(rw, r, &q) {
		return
	}
	p.order(rw, q.Machine, "upkeep", func(m *machine) bool { return m.upkeeps[q.Wave] }, func(m *machine) { m.upkeeps[q.Wave] = true })
}

// order carries out a move or an upkeep.
func (p *platform) order(rw http.ResponseWriter, name, state string, isDone func(*machine) bool, apply func(*machine)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var m *machine
	for _, v := range p.machines {
		if v.Name == name {
			m = v
		}
	}
	switch {
	case m == nil:
		rw.WriteHeader(http.StatusBadRequest)
		return
	case isDone(m):
		writeJSON(rw, http.StatusOK, map[string]any{})
		return
	case m.State != "up":
		writeJSON(rw, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	p.logf("order %s: %s", name, state)
	if w := m.worker; w != nil {
		go w.kill()
		p.store.Remove("servers/" + w.id)
	}
	m.State, m.Worker, m.worker = state, "", nil
	apply(m)
	time.AfterFunc(p.moveTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		_ = p.boot(m)
	})
	writeJSON(rw, http.StatusOK, map[string]any{})
}

// busy returns the machines whose workers run a task of the job.
func (p *platform) busy(job string) []*machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var l []*machine
	for _, m := range p.machines {
		if m.worker == nil {
			continue
		}
		m.worker.mu.Lock()
		for _, o := range m.worker.runs {
			if o.task.job == job {
				l = append(l, m)
				break
			}
		}
		m.worker.mu.Unlock()
	}
	return l
}
