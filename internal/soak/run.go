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
	Seed    uint64
	For     time.Duration
	Entries int
	// Workers are the machines of each of two pools.
	Workers int
	// Crashing has jobs handed in whose task crashes each worker that starts it.
	Crashing bool
	// Lasting has lasting jobs handed in of which only some tasks may be away, beside waves
	// in series and a load by turns.
	Lasting bool
	// LateHosts has some orders to machines carried out late, after newer ones.
	LateHosts bool
	// Bin is the folder with the programs, Dir the one for logs.
	Bin, Dir string
	// Out takes a line for each event.
	Out io.Writer
}

// Run is one run.
type Run struct {
	Options
	jobs  *local.Jobs
	links map[string]links
	// endsAt is when all faults are over and settle has passed, watchedTo when
	// what lasts was watched for long enough.
	endsAt, watchedTo time.Time
	mu                sync.Mutex
	// faults are those of each scope, lives counts processes of entry hosts.
	faults map[string]*faults
	lives  map[string]int
	// configuring is held while a configuration is written.
	configuring sync.Mutex
	versions    []version
	cancels     []*cancelling
	busy        map[string]bool
	waves       int64
	refused     []string
	counts      map[string]int
	broken      []string
}

// Report is what came of a run.
type Report struct {
	Counts map[string]int
	Starts int
	// Broken are the promises that broke.
	Broken []string
}

// Do runs a deployment under the faults that follow from the seed.
func Do(o Options) (Report, error) {
	r := &Run{Options: o, links: map[string]links{}, busy: map[string]bool{}, counts: map[string]int{}, faults: map[string]*faults{}, lives: map[string]int{}}
	defer r.close()
	var err error
	r.jobs, err = local.StartJobs(o.Bin, o.Dir, local.JobsOptions{
		Entries: o.Entries, Workers: map[string]int{"blue": o.Workers, "green": o.Workers}, Spare: 2, Via: r.via, KeysWithin: keysWithin,
	})
	if err != nil {
		return Report{}, err
	}
	r.jobs.Fleet.Books.CheckOrder(firstStep)
	l := r.beginLasting()
	if r.Lasting {
		l = append(l, r.beginGuarded()...)
	}
	r.endsAt = time.Now().Add(o.For + settle)
	r.watchedTo = time.Now().Add(o.For + watchFor)
	if r.LateHosts {
		r.postponeHostOrders()
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.watchLasting(l) })
	wg.Go(r.watchCancelled)
	if o.Crashing {
		wg.Go(r.crashWorkers)
	}
	for i := range o.Entries {
		f := &follower{run: r, index: i, told: -1}
		wg.Go(f.watch)
		wg.Go(func() { r.callWithoutKeys(i) })
	}
	wg.Go(func() { r.disturb(&wg) })
	for n := 0; time.Until(r.endsAt) > settle; n++ {
		wg.Go(func() { r.call(n) })
		if n%cancelEvery == 0 {
			wg.Go(func() { r.callAndCancel(n) })
		}
		time.Sleep(callEvery)
	}
	wg.Wait()
	return r.report(), nil
}

// via has an entry host reach a service of the platform by a link of its own: the
// store first, then the machines.
func (r *Run) via(entry, address string) (string, error) {
	k, err := NewLink(address)
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[entry] == nil {
		r.links[entry] = links{}
	}
	way := wayStore
	if r.links[entry][wayStore] != nil {
		way = wayMachines
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
	return r.jobs.Entry(n % r.Entries)
}

func (r *Run) disturb(wg *sync.WaitGroup) {
	begun := time.Now()
	for _, e := range r.plan() {
		time.Sleep(e.At - time.Since(begun))
		fmt.Fprintln(r.Out, e)
		wg.Go(func() { r.hit(e) })
	}
}

// waveFaults is how many events of a plan come to one that stays beside waves in series:
// where faults follow one another at once, owners do not last long enough to empty hosts.
const waveFaults = 5

// plan returns the events of the run.
func (r *Run) plan() []Event {
	l := Plan(r.Seed, r.Entries, r.For)
	if !r.Lasting {
		return l
	}
	n := 0
	l = slices.DeleteFunc(l, func(Event) bool { n++; return n%waveFaults != 0 })
	return inOrder(append(l, waves(rand.New(rand.NewPCG(r.Seed, 4)), r.For)...))
}

func (r *Run) report() Report {
	b := r.jobs.Fleet.Books
	r.countLate()
	for _, id := range r.refused {
		if b.Started(id) {
			r.brokef("%s was refused each time and has run", id)
		}
	}
	for n := range r.waves {
		if m := r.jobs.Fleet.MostDown(n + 1); m > waveCap {
			r.brokef("wave %d had %d machines down, and %d may be", n+1, m, waveCap)
		}
	}
	r.counts["ended at work"] = b.Endings()
	r.counts["late host orders"] = r.jobs.Fleet.PostponedOrders()
	return Report{Counts: r.counts, Starts: b.Starts(), Broken: append(r.broken, b.Broken()...)}
}

func (r *Run) close() {
	if r.jobs != nil {
		r.jobs.Stop()
	}
	for _, l := range r.links {
		for _, k := range l {
			k.Close()
		}
	}
}

// watched reports whether what lasts was watched for long enough.
func (r *Run) watched() bool {
	return time.Now().After(r.watchedTo)
}

func (r *Run) settled() bool {
	return time.Now().After(r.endsAt)
}

// take reserves an entry host for one fault of its process.
func (r *Run) take(name string) bool {
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

func (r *Run) brokef(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, a...))
}

// fail notes an error of the run itself, so that it does not pass for a success.
func (r *Run) fail(err error) {
	if err != nil {
		r.brokef("the run failed: %v", err)
	}
}
