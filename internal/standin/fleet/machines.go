package fleet

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Capacity is an amount of resources, such as those of a machine.
type Capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// Machine is one machine.
type Machine struct {
	Name         string   `json:"machine"`
	Pool         string   `json:"pool"`
	State        string   `json:"state"`
	Zone         string   `json:"zone"`
	Labels       []string `json:"labels"`
	Capacity     Capacity `json:"capacity"`
	WorkerID     string   `json:"id"`
	worker       *worker
	maintainedBy int64
	// leaving says that it is being removed for good.
	leaving bool
	// fence is the highest fence of its orders, lastOrder the number of the newest one that
	// was executed.
	fence       int64
	newestOrder int
}

// Fleet is the store, the machines with their workers, and the machines' API.
type Fleet struct {
	Store   *Store
	Checker *Checker
	// Spare is the pool of the machines that are switched off.
	Spare string
	// Downtime is how long a move or maintenance takes.
	Downtime time.Duration
	mu       sync.Mutex
	machines []*Machine
	// removed are the workers of machines that were removed for good.
	removed []*worker
	// nextMachine numbers the next machine, lastWorkerID the last incarnation of a worker.
	nextMachine  int
	lastWorkerID int
	kv, api      *httptest.Server
	downByWave   map[int64]int
	// maxDownByWave is the most machines of each wave that were down at once.
	maxDownByWave map[int64]int
	moves         int
	machineOrders
}

// New returns a running fleet without machines.
func New(spare string, downtime time.Duration) *Fleet {
	f := &Fleet{Store: NewStore(), Checker: NewChecker(), Spare: spare, Downtime: downtime, downByWave: map[int64]int{}, maxDownByWave: map[int64]int{}}
	f.kv = httptest.NewServer(f.Store.Handler())
	m := http.NewServeMux()
	m.HandleFunc("GET /machines", f.serveList)
	m.HandleFunc("POST /machine-move", f.serveMove)
	m.HandleFunc("POST /machine-upkeep", f.serveMaintenance)
	f.api = httptest.NewServer(m)
	return f
}

// Close ends the workers, the store and the machines' API.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.worker != nil {
			m.worker.end()
		}
	}
	for _, w := range f.removed {
		w.end()
	}
	f.Store.Close()
	f.kv.CloseClientConnections()
	f.kv.Close()
	f.api.CloseClientConnections()
	f.api.Close()
}

// StoreAddress returns where the store listens.
func (f *Fleet) StoreAddress() string { return strings.TrimPrefix(f.kv.URL, "http://") }

// MachinesAddress returns where the machines' API listens.
func (f *Fleet) MachinesAddress() string { return strings.TrimPrefix(f.api.URL, "http://") }

// Add adds machines to a pool.
func (f *Fleet) Add(pool string, n int, c Capacity) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range n {
		i := f.nextMachine
		f.nextMachine++
		m := &Machine{
			Name: fmt.Sprintf("m-%03d", i), Pool: pool, State: "up", Zone: DataCentre(i),
			Labels: []string{"a", fmt.Sprintf("r1-%d", i/4)}, Capacity: c,
		}
		f.machines = append(f.machines, m)
		if err := f.boot(m); err != nil {
			return err
		}
	}
	return nil
}

// boot starts the machine's worker, unless the machine is switched off or being removed.
func (f *Fleet) boot(m *Machine) error {
	m.State, m.WorkerID, m.worker = "up", "", nil
	if m.Pool == f.Spare || m.leaving {
		return nil
	}
	f.lastWorkerID++
	m.WorkerID = fmt.Sprintf("i-%06d", f.lastWorkerID)
	if err := f.startWorker(m, anyAddress, 0); err != nil {
		return err
	}
	return f.Store.Put("servers/"+m.WorkerID, m.worker.record(false))
}

// startWorker starts a worker under the machine's id, without writing a record.
func (f *Fleet) startWorker(m *Machine, address string, clockOff time.Duration) error {
	w, err := newWorker(m.WorkerID, address, clockOff, m, f.Checker)
	if err != nil {
		return err
	}
	w.crash = func() { f.crashWorker(m, w) }
	m.worker = w
	return nil
}

// stopWorker ends the machine's worker, and removes its record.
func (f *Fleet) stopWorker(m *Machine) {
	if m.worker != nil {
		m.worker.end()
		f.Store.Remove("servers/" + m.WorkerID)
	}
	m.worker, m.WorkerID = nil, ""
}

func (w *worker) busy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs) > 0
}

// Silence makes a worker that runs a task answer nothing for a time while it runs on.
// It returns the worker's id, or "" if no worker runs a task.
func (f *Fleet) Silence(d time.Duration) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if w := m.worker; w != nil && !m.leaving && w.busy() {
			w.setSilent(true)
			time.AfterFunc(d, func() { w.setSilent(false) })
			return w.id
		}
	}
	return ""
}

func (w *worker) setSilent(s bool) {
	w.mu.Lock()
	w.silent = s
	w.mu.Unlock()
}

func (f *Fleet) reboot(m *Machine, oldID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Store.Remove("servers/" + oldID)
	_ = f.boot(m)
}

// Names returns the names of the machines of a pool, or of all pools if pool is empty.
func (f *Fleet) Names(pool string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []string
	for _, m := range f.machines {
		if pool == "" || m.Pool == pool {
			l = append(l, m.Name)
		}
	}
	return l
}

// Moves returns how many orders to move a machine were executed.
func (f *Fleet) Moves() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.moves
}

// MaxDown returns the most machines of a wave that were down at once.
func (f *Fleet) MaxDown(wave int64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxDownByWave[wave]
}

func (f *Fleet) serveList(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"machines": f.machines, "next_token": nil})
}

func (f *Fleet) find(name string) *Machine {
	for _, m := range f.machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func (f *Fleet) endDowntime(m *Machine, wave int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.downByWave[wave]--
	_ = f.boot(m)
}
