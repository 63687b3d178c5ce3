package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"amberway/internal/local"
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	Entries  int
	// Workers is the number of machines in each of the two pools.
	Workers int
	// CrashingJobs adds jobs whose task crashes each worker that starts it.
	CrashingJobs bool
	// DisruptionBudgets adds lasting jobs of which only some tasks may be unavailable, a
	// series of waves, and a load that alternates between the queues.
	DisruptionBudgets bool
	// DelayMachineOrders has some machine orders executed late, after newer ones.
	DelayMachineOrders bool
	// Evacuations has data centres evacuated.
	Evacuations bool
	// NextProcesses starts processes under the names of entry hosts whose earlier process is alive.
	NextProcesses bool
	// NoSparePool leaves the spare pool out, and has workers cut off one after the other.
	NoSparePool bool
	// SpreadTasks adds a lasting task on each machine of a pool, at most one on each, of which one
	// may be unavailable, and waves over all machines of that pool. There is no spare pool.
	SpreadTasks bool
	// Reroutes has the queues sent to other pools.
	Reroutes bool
	// RecurringJobs adds recurring jobs of which all times are due.
	RecurringJobs bool
	// ForeignRecords puts records of workers that do not exist beside those of the workers.
	ForeignRecords bool
	// LateWrites has the store execute writes late, while callers cancel jobs that were not answered.
	LateWrites bool
	// BinDir holds the programs, LogDir takes the logs.
	BinDir, LogDir string
	// Out gets a line for each event.
	Out io.Writer
}

// Run is one run of the soak.
type Run struct {
	Options
	deployment *local.JobsDeployment
	links      map[string]links
	// settledAt is settleTime after the injection of faults ends: all jobs have to be done by
	// then. Lasting tasks, cancelled jobs, configurations and keys are checked until
	// watchUntil.
	settledAt, watchUntil time.Time
	mu                    sync.Mutex
	// faults has the faults by scope, incarnations the number of process incarnations by
	// entry host.
	faults       map[string]*faultState
	incarnations map[string]int
	// configMu is held while a configuration is written.
	configMu      sync.Mutex
	configs       []configuration
	cancellations []*cancellation
	// busy has the entry hosts whose processes are reserved for a fault.
	busy map[string]bool
	// thaws are the times at which frozen processes went on.
	thaws     []time.Time
	waveCount int64
	// refusedJobs are ids of jobs that every answer refused.
	refusedJobs []string
	counts      map[string]int
	violations  []string
}

// Report is the result of a run.
type Report struct {
	Counts map[string]int
	Starts int
	// Violations are the guarantees that did not hold.
	Violations []string
}

// Do runs a deployment under the faults of the seed.
func Do(o Options) (Report, error) {
	r := &Run{Options: o, links: map[string]links{}, busy: map[string]bool{}, counts: map[string]int{}, faults: map[string]*faultState{}, incarnations: map[string]int{}}
	defer r.close()
	workers := map[string]int{"blue": o.Workers, "green": o.Workers}
	if o.Reroutes {
		workers[reroutedPool] = o.Workers
	}
	var err error
	r.deployment, err = local.StartJobsDeployment(o.BinDir, o.LogDir, local.JobsOptions{
		Entries: o.Entries, Workers: workers, SpareMachines: 2, NoSparePool: o.NoSparePool || o.SpreadTasks, ProxyAddress: r.proxyAddress, KeysWithin: keysWithin, EvacuationWithin: evacuationWithin,
	})
	if err != nil {
		return Report{}, err
	}
	r.deployment.Fleet.Checker.CheckStepOrder(firstStepTasks)
	if o.ForeignRecords {
		r.putForeignRecords()
	}
	l := r.submitLastingJobs()
	if r.DisruptionBudgets {
		l = append(l, r.submitBudgetedJobs()...)
	}
	if r.SpreadTasks {
		r.submitSpreadJob()
	}
	r.settledAt = time.Now().Add(o.Duration + settleTime)
	r.watchUntil = time.Now().Add(o.Duration + lastingWatchTime)
	if r.DelayMachineOrders {
		r.delayMachineOrders()
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.watchLasting(l) })
	wg.Go(r.watchCancelled)
	wg.Go(r.watchOwner)
	if o.CrashingJobs {
		wg.Go(r.runCrashingJobs)
	}
	if o.RecurringJobs {
		wg.Go(r.runRecurringJobs)
	}
	for i := range o.Entries {
		c := &configChecker{run: r, index: i, reported: -1}
		wg.Go(c.watch)
		wg.Go(func() { r.checkInvalidKeys(i) })
	}
	wg.Go(func() { r.injectFaults(&wg) })
	for n := 0; time.Until(r.settledAt) > settleTime; n++ {
		wg.Go(func() { r.runJob(n) })
		if n%cancelledJobEvery == 0 {
			wg.Go(func() { r.runCancelledJob(n) })
		}
		if o.LateWrites {
			wg.Go(func() { r.runEarlyCancelledJob(n) })
		}
		time.Sleep(callInterval)
	}
	wg.Wait()
	return r.report(), nil
}

// proxyAddress creates a link from an entry host to a service of the platform and returns the
// link's address. The first call for an entry host is for the store, the second for the
// machines.
func (r *Run) proxyAddress(entry, address string) (string, error) {
	k, err := NewLink(address)
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.links[entry]; l[upstreamMachines] != nil {
		// Those are the links of an earlier process of the name.
		r.links[fmt.Sprint(entry, " before ", len(r.links))] = l
		r.links[entry] = nil
	}
	if r.links[entry] == nil {
		r.links[entry] = links{}
	}
	upstream := upstreamStore
	if r.links[entry][upstreamStore] != nil {
		upstream = upstreamMachines
	}
	r.links[entry][upstream] = k
	return k.Address(), nil
}

// linksOf returns the links of one entry host or of all.
func (r *Run) linksOf(entry string, all bool) []links {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []links
	for name, k := range r.links {
		if all || name == entry {
			l = append(l, k)
		}
	}
	return l
}

// entry returns entry host n, modulo their number.
func (r *Run) entry(n int) *local.JobsEntry {
	return r.deployment.Entry(n % r.Entries)
}

// injectFaults injects the events of the plan, each at its time.
func (r *Run) injectFaults(wg *sync.WaitGroup) {
	start := time.Now()
	for _, e := range r.plan() {
		time.Sleep(e.At - time.Since(start))
		fmt.Fprintln(r.Out, e)
		wg.Go(func() { r.inject(e) })
	}
}

// budgetedEventStride is the number of planned events of which one is kept in a run with a
// series of waves: with denser faults, no owner lasts long enough to drain hosts.
const budgetedEventStride = 5

// plan returns the events of the run.
func (r *Run) plan() []Event {
	l := Plan(r.Seed, r.Entries, r.Duration)
	if r.Evacuations {
		l = sortByTime(append(l, evacuations(rand.New(rand.NewPCG(r.Seed, 6)), r.Duration)...))
	}
	if r.NextProcesses {
		l = sortByTime(append(l, nextProcesses(rand.New(rand.NewPCG(r.Seed, 7)), r.Entries, r.Duration)...))
	}
	if r.LateWrites {
		l = sortByTime(append(l, lateWrites(rand.New(rand.NewPCG(r.Seed, 10)), r.Duration)...))
	}
	if r.Reroutes {
		l = sortByTime(append(l, reroutes(rand.New(rand.NewPCG(r.Seed, 9)), r.Duration)...))
	}
	if r.NoSparePool {
		l = sortByTime(append(l, workerCuts(rand.New(rand.NewPCG(r.Seed, 8)), r.Duration)...))
	}
	if r.SpreadTasks {
		l = sortByTime(append(l, spreadWaves(rand.New(rand.NewPCG(r.Seed, 11)), r.Duration)...))
	}
	if !r.DisruptionBudgets {
		return l
	}
	n := 0
	l = slices.DeleteFunc(l, func(Event) bool { n++; return n%budgetedEventStride != 0 })
	if r.SpreadTasks {
		return l
	}
	return sortByTime(append(l, waves(rand.New(rand.NewPCG(r.Seed, 4)), r.Duration)...))
}

func (r *Run) report() Report {
	c := r.deployment.Fleet.Checker
	r.countLateStarts()
	r.checkEvacuated()
	for _, id := range r.refusedJobs {
		if c.Started(id) {
			r.violationf("%s was refused by every answer, but has run", id)
		}
	}
	for n := range r.waveCount {
		if m := r.deployment.Fleet.MaxDown(n + 1); m > waveMaxDown {
			r.violationf("wave %d had %d machines down at once, more than its limit of %d", n+1, m, waveMaxDown)
		}
	}
	if r.SpreadTasks {
		r.checkWavesDone()
	}
	r.counts["ended at work"] = c.Disruptions()
	r.counts["late host orders"] = r.deployment.Fleet.DelayedMachineOrders()
	return Report{Counts: r.counts, Starts: c.StartCount(), Violations: append(r.violations, c.Violations()...)}
}

func (r *Run) close() {
	if r.deployment != nil {
		r.deployment.Stop()
	}
	for _, l := range r.links {
		for _, k := range l {
			k.Close()
		}
	}
}

// watchIsOver reports whether the time for checks that go on after the faults is over.
func (r *Run) watchIsOver() bool {
	return time.Now().After(r.watchUntil)
}

// settled reports whether all jobs have to be done by now.
func (r *Run) settled() bool {
	return time.Now().After(r.settledAt)
}

// reserve reserves an entry host's process for one fault and reports whether it was free.
func (r *Run) reserve(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[name] {
		return false
	}
	r.busy[name] = true
	return true
}

func (r *Run) release(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, name)
}

func (r *Run) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

func (r *Run) violationf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, a...))
}

// recordError reports an error of the run itself as a violation, so that the run does not
// count as a success.
func (r *Run) recordError(err error) {
	if err != nil {
		r.violationf("the run failed: %v", err)
	}
}
