package local

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"amberway/internal/standin/fleet"
)

// JobsDeployment is a running deployment that serves jobs: the platform and the workers as
// stand-ins in this process, and entry hosts as processes of their own.
type JobsDeployment struct {
	JobsOptions
	Fleet   *fleet.Fleet
	Entries []*JobsEntry
	dir     string
	bin     string
	version int64
	// rotation is how many pools further each queue is sent than to its own.
	rotation int
	// mu guards the elements of Entries, which Replace changes, and removed, which has the
	// entry hosts that were replaced.
	mu      sync.Mutex
	removed []*JobsEntry
}

// SparePool is the pool of machines that are switched off.
const SparePool = "spare"

// machineSize is the capacity of each machine.
var machineSize = fleet.Capacity{CPU: 8000, MemMB: 16000}

// AddMachine adds a machine to a pool.
func (j *JobsDeployment) AddMachine(pool string) error {
	return j.Fleet.Add(pool, 1, machineSize)
}

// StartJobsDeployment starts a deployment and waits until each entry host is ready. The
// caller has to call Stop, also after an error.
func StartJobsDeployment(bin, dir string, o JobsOptions) (*JobsDeployment, error) {
	if o.Downtime == 0 {
		o.Downtime = 300 * time.Millisecond
	}
	if o.ProxyAddress == nil {
		o.ProxyAddress = func(_, address string) (string, error) { return address, nil }
	}
	spare := SparePool
	if o.NoSparePool {
		spare = ""
	}
	j := &JobsDeployment{JobsOptions: o, Fleet: fleet.New(spare, o.Downtime), dir: dir, bin: bin}
	for pool, n := range o.Workers {
		if err := j.Fleet.Add(pool, n, machineSize); err != nil {
			return j, err
		}
	}
	if !o.NoSparePool {
		if err := j.Fleet.Add(SparePool, o.SpareMachines, machineSize); err != nil {
			return j, err
		}
	}
	if err := j.Configure(); err != nil {
		return j, err
	}
	for i := range o.Entries {
		e, err := j.newEntry(fmt.Sprintf("entry-%d", i))
		if err != nil {
			return j, err
		}
		j.Entries = append(j.Entries, e)
		if err := j.Launch(e); err != nil {
			return j, err
		}
	}
	return j, waitFor(20*time.Second, j.allReady)
}

// Configure writes the next configuration. It has a queue for each pool, and extra queues that
// run on the first pool.
func (j *JobsDeployment) Configure(extra ...string) error {
	j.version += 3
	pools := slices.Sorted(maps.Keys(j.Workers))
	var queues []fleet.Queue
	for i, p := range pools {
		queues = append(queues, fleet.Queue{Name: p, Pool: pools[(i+j.rotation)%len(pools)]})
	}
	for _, q := range extra {
		queues = append(queues, fleet.Queue{Name: q, Pool: pools[0]})
	}
	c := fleet.Config{Version: j.version, Pools: pools, Queues: queues, MaxBodyBytes: j.MaxBodyBytes}
	if j.KeysWithin > 0 {
		c.Teams = []fleet.Team{{Name: "team", Keys: []string{permanentKey, KeyForQueues(extra...)}, Weight: 100, Cap: fleet.Capacity{CPU: j.teamCap()}}}
	}
	return j.Fleet.Configure(c)
}

// RotateQueues has the next configuration send each queue to the next pool.
func (j *JobsDeployment) RotateQueues() {
	j.rotation++
}

// teamCap is the team's cap on running tasks, in millicores: six tenths of all workers.
func (j *JobsDeployment) teamCap() int64 {
	n := 0
	for _, w := range j.Workers {
		n += w
	}
	return machineSize.CPU * int64(n) * 6 / 10
}

// permanentKey is the key that callers use. It is in every configuration.
const permanentKey = "key-that-stays"

// KeyForQueues returns the key that only the configuration with these extra queues has.
func KeyForQueues(queues ...string) string {
	return "key-" + strings.Join(queues, "-")
}

func (j *JobsDeployment) newEntry(name string) (*JobsEntry, error) {
	e := &JobsEntry{Name: name, Process: &Process{Name: name}, settingsFile: filepath.Join(j.dir, name+".yaml")}
	for _, a := range []*netip.AddrPort{&e.Callers, &e.Readiness, &e.Peers} {
		p, err := freePort()
		if err != nil {
			return nil, err
		}
		*a = p
	}
	store, err := j.ProxyAddress(name, j.Fleet.StoreAddress())
	if err != nil {
		return nil, err
	}
	machines, err := j.ProxyAddress(name, j.Fleet.MachinesAddress())
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("name: %s\ndata-centre: dc-0\ncallers: %s\nready: %s\npeers: %s\nstore: %s\nmachines: %s\nlog-format: json\nstop-delay: 300ms\nstop-within: 4s\n",
		name, e.Callers, e.Readiness, e.Peers, store, machines)
	if j.KeysWithin > 0 {
		text += fmt.Sprintf("keys-within: %s\n", j.KeysWithin)
	}
	if j.EvacuationWithin > 0 {
		text += fmt.Sprintf("evacuation-within: %s\n", j.EvacuationWithin)
	}
	if j.MemoryMB > 0 {
		text += fmt.Sprintf("memory-mb: %d\n", j.MemoryMB)
	}
	if j.Profile {
		text += "profile: true\n"
	}
	if err := os.WriteFile(e.settingsFile, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return e, nil
}

// Entry returns entry host i. Unlike Entries, it may be used while hosts are replaced.
func (j *JobsDeployment) Entry(i int) *JobsEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.Entries[i]
}

// Replace removes an entry host for good and starts another one, with another name and other
// addresses, in its place. If it hangs, its process is frozen with its connections open, like
// those of a machine without power; otherwise it is killed.
func (j *JobsDeployment) Replace(e *JobsEntry, hangs bool) (*JobsEntry, error) {
	if hangs {
		_ = e.Signal(syscall.SIGSTOP)
	} else {
		e.Kill()
	}
	j.mu.Lock()
	j.removed = append(j.removed, e)
	name := fmt.Sprintf("entry-%d", len(j.Entries)+len(j.removed)-1)
	j.mu.Unlock()
	return j.launchInPlaceOf(e, name)
}

// StartNext starts another process under the name of an entry host, at other addresses, in its place.
// The earlier one is left as it is.
func (j *JobsDeployment) StartNext(e *JobsEntry) (*JobsEntry, error) {
	return j.launchInPlaceOf(e, e.Name)
}

// launchInPlaceOf starts an entry host under the name in place of another one, which counts as
// removed.
func (j *JobsDeployment) launchInPlaceOf(e *JobsEntry, name string) (*JobsEntry, error) {
	n, err := j.newEntry(name)
	if err != nil {
		return nil, err
	}
	if err := j.Launch(n); err != nil {
		return nil, err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if i := slices.Index(j.Entries, e); i >= 0 {
		j.Entries[i] = n
	}
	if !slices.Contains(j.removed, e) {
		j.removed = append(j.removed, e)
	}
	return n, nil
}

// Launch starts an entry host that is not running.
func (j *JobsDeployment) Launch(e *JobsEntry) error {
	p, err := spawn(j.dir, filepath.Join(j.bin, "amberwayd"), e.Name, []string{"--settings", e.settingsFile}, j.MaxDescriptors)
	e.Process = p
	return err
}

func (j *JobsDeployment) allReady() error {
	for _, e := range j.Entries {
		if !e.Ready() {
			return fmt.Errorf("%s is not ready", e.Name)
		}
	}
	return nil
}

// Stop kills all entry hosts and closes the stand-ins.
func (j *JobsDeployment) Stop() {
	for _, e := range append(j.removed, j.Entries...) {
		e.Kill()
	}
	j.Fleet.Close()
}

// Owner returns the entry host that owns the jobs, or nil.
func (j *JobsDeployment) Owner() *JobsEntry {
	b, ok := j.Fleet.Store.Value("jobs/owner")
	var o struct {
		Name string `json:"name"`
	}
	if !ok || json.Unmarshal(b, &o) != nil {
		return nil
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range j.Entries {
		if e.Name == o.Name {
			return e
		}
	}
	return nil
}

// LogLines returns the lines that contain the text, from the logs of the entry hosts in Entries.
// Those that were replaced are left out.
func (j *JobsDeployment) LogLines(text string) []string {
	var l []string
	for _, e := range j.Entries {
		b, err := os.ReadFile(filepath.Join(j.dir, e.Name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, text) {
				l = append(l, line)
			}
		}
	}
	return l
}
