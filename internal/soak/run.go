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

// Options say what a run is to be like.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Entries  int
	// Workers are the machines of each of two pools.
	Workers int
	// CrashingJobs has jobs handed in whose task crashes each worker that starts it.
	CrashingJobs bool
	// DisruptionBudgets has lasting jobs handed in of which only some tasks may be away, beside waves
	// in series and a load by turns.
	DisruptionBudgets bool
	// DelayMachineOrders has some orders to machines carried out late, after newer ones.
	DelayMachineOrders bool
	// BinDir is the folder with the programs, Dir the one for logs.
	BinDir, LogDir string
	// Out takes a line for each event.
	Out io.Writer
}

// Run is one run.
type Run struct {
	Options
	deployment *local.JobsDeployment
	links      map[string]links
	// settledAt is when all faults are over and settle has passed, watchedTo when
	// what lasts was watched for long enough.
	settledAt, watchUntil time.Time
	mu                    sync.Mutex
	// faults are those of each scope, lives counts processes of entry hosts.
	faults       map[string]*faultState
	incarnations map[string]int
	// configMu is held while a configuration is written.
	configMu      sync.Mutex
	configs       []configuration
	cancellations []*cancellation
	busy          map[string]bool
	waveCount     int64
	refusedJobs   []string
	counts        map[string]int
	violations    []string
}

// Report is what came of a run.
type Report struct {
	Counts map[string]int
	Starts int
	// Violations are the promises that broke.
	Violations []string
}

// Do runs a deployment under the faults that follow from the seed.
func Do(o Options) (Report, error) {
	r := &Run{Options: o, links: map[string]links{}, busy: map[string]bool{}, counts: map[string]int{}, faults: map[string]*faultState{}, incarnations: map[string]int{}}
	defer r.close()
	var err error
	r.deployment, err = local.StartJobsDeployment(o.BinDir, o.LogDir, local.JobsOptions{
		Entries: o.Entries, Workers: map[string]int{"blue": o.Workers, "green": o.Workers}, SpareMachines: 2, ProxyAddress: r.proxyAddress, KeysWithin: keysWithin,
	})
	if err != nil {
		return Report{}, err
	}
	r.deployment.Fleet.Checker.CheckStepOrder(firstStepTasks)
	l := r.submitLastingJobs()
	if r.DisruptionBudgets {
		l = append(l, r.submitBudgetedJobs()...)
	}
	r.settledAt = time.Now().Add(o.Duration + settleTime)
	r.watchUntil = time.Now().Add(o.Duration + watchTime)
	if r.DelayMachineOrders {
		r.delayMachineOrders()
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.watchLasting(l) })
	wg.Go(r.watchCancelled)
	if o.CrashingJobs {
		wg.Go(r.runCrashingJobs)
	}
	for i := range o.Entries {
		f := &configChecker{run: r, index: i, reported: -1}
		wg.Go(f.watch)
		wg.Go(func() { r.checkInvalidKeys(i) })
	}
	wg.Go(func() { r.injectFaults(&wg) })
	for n := 0; time.Until(r.settledAt) > settleTime; n++ {
		wg.Go(func() { r.runJob(n) })
		if n%cancelEvery == 0 {
			wg.Go(func() { r.runCancelledJob(n) })
		}
		time.Sleep(callInterval)
	}
	wg.Wait()
	return r.report(), nil
}

// proxyAddress has an entry host reach a service of the platform by a link of its own: the
// store first, then the machines.
func (r *Run) proxyAddress(entry, address string) (string, error) {
	k, err := NewLink(address)
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[entry] == nil {
		r.links[entry] = links{}
	}
	way := upstreamStore
	if r.links[entry][upstreamStore] != nil {
		way = upstreamMachines
	}
	r.links[entry][way] = k
	return k.Address(), nil
}

// linksOf returns the links of an entry host, or of all.
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

// entry returns an entry host; numbers beyond the last go round.
func (r *Run) entry(n int) *local.JobsEntry {
	return r.deployment.Entry(n % r.Entries)
}

func (r *Run) injectFaults(wg *sync.WaitGroup) {
	begun := time.Now()
	for _, e := range r.plan() {
		time.Sleep(e.At - time.Since(begun))
		fmt.Fprintln(r.Out, e)
		wg.Go(func() { r.inject(e) })
	}
}

// budgetedEventStride is how many events of a plan come to one that stays beside waves in series:
// where faults follow one another at once, owners do not last long enough to empty hosts.
const budgetedEventStride = 5

// plan returns the events of the run.
func (r *Run) plan() []Event {
	l := Plan(r.Seed, r.Entries, r.Duration)
	if !r.DisruptionBudgets {
		return l
	}
	n := 0
	l = slices.DeleteFunc(l, func(Event) bool { n++; return n%budgetedEventStride != 0 })
	return sortByTime(append(l, waves(rand.New(rand.NewPCG(r.Seed, 4)), r.Duration)...))
}

func (r *Run) report() Report {
	b := r.deployment.Fleet.Checker
	r.countLateStarts()
	for _, id := range r.refusedJobs {
		if b.Started(id) {
			r.violationf("%s was refused each time and has run", id)
		}
	}
	for n := range r.waveCount {
		if m := r.deployment.Fleet.MaxDown(n + 1); m > waveMaxDown {
			r.violationf("wave %d had %d machines down, and %d may be", n+1, m, waveMaxDown)
		}
	}
	r.counts["ended at work"] = b.Disruptions()
	r.counts["late host orders"] = r.deployment.Fleet.DelayedMachineOrders()
	return Report{Counts: r.counts, Starts: b.StartCount(), Violations: append(r.violations, b.Violations()...)}
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

// watchIsOver reports whether what lasts was watched for long enough.
func (r *Run) watchIsOver() bool {
	return time.Now().After(r.watchUntil)
}

func (r *Run) settled() bool {
	return time.Now().After(r.settledAt)
}

// reserve reserves an entry host for one fault of its process.
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

// recordError notes an error of the run itself, so that it does not pass for a success.
func (r *Run) recordError(err error) {
	if err != nil {
		r.violationf("the run failed: %v", err)
	}
}
