package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"amberway/internal/local"
	"amberway/internal/standin/fleet"
)

// entryStopTimeout is how long an entry host may take to stop.
const entryStopTimeout = 8 * time.Second

// inject injects one event and returns when it is over.
func (r *Run) inject(e Event) {
	x := r.entry(e.Entry)
	if o := r.deployment.Owner(); e.Owner && o != nil {
		x = o
	}
	if s := e.scope(x.Name); s != "" {
		defer r.beginFault(s)()
	}
	switch e.Kind {
	case Kill:
		r.restartEntry(x, syscall.SIGKILL, e.Duration)
	case Stop:
		r.restartEntry(x, syscall.SIGTERM, e.Duration)
	case KillAll:
		var wg sync.WaitGroup
		for i := range r.Entries {
			wg.Go(func() { r.restartEntry(r.entry(i), syscall.SIGKILL, e.Duration/4) })
		}
		wg.Wait()
	case Freeze:
		r.freezeEntry(x, e.Duration)
	case Hup:
		r.sendHup(x)
	case LinkFault:
		r.impairLinks(x.Name, e.LinkState, e.Duration)
	case BandwidthLimit:
		r.limitBandwidth(x.Name, e)
	case StoreRefusal:
		r.impairStore(fleet.StoreFault{Refuse: true}, e.Duration)
	case StoreAnswerLoss:
		r.impairStore(fleet.StoreFault{LoseAnswers: true}, e.Duration)
	case StoreLateWrites:
		r.impairStore(fleet.StoreFault{LateWrites: lateWriteDelay}, e.Duration)
	case StoreDelay:
		r.impairStore(fleet.StoreFault{Delay: slowDelay}, e.Duration)
	case StoreWatchHang:
		r.impairStore(fleet.StoreFault{HangWatches: true}, e.Duration)
	case StoreCompaction:
		r.deployment.Fleet.Store.Compact()
	case WorkerCrash:
		r.deployment.Fleet.Crash(e.Duration)
		time.Sleep(e.Duration)
	case WorkerRestart:
		if r.deployment.Fleet.Restart(e.Restart) != "" {
			r.count("started again")
		}
		time.Sleep(time.Duration(e.Restart.Times)*e.Restart.DownFor + e.Restart.RecordAfter)
	case WorkerSilence:
		r.deployment.Fleet.Silence(e.Duration)
		time.Sleep(e.Duration)
	case Configure:
		r.configure()
	case Reroute:
		r.reroute()
	case Wave:
		r.requestWave()
	case Evacuation:
		r.evacuate(e)
	case ConnSilence:
		r.silenceConns(x.Name, e)
	case RunOrderDelay:
		r.delayRunOrders(e)
	case EntryReplacement:
		r.replaceEntry(x, e.Hangs)
	case NextProcess:
		r.startNextProcess(x, e)
	case MachineRemoval:
		r.removeMachine(fleet.Removal{Drain: e.Duration, Hangs: e.Hangs})
	}
}

// scope returns the scope of the event's fault, or "" if the event is an ordinary change that
// must have no effect on the guarantees. Silenced connections count as a fault of the entry
// host, like a reset of its links.
func (e Event) scope(entry string) string {
	switch e.Kind {
	case Configure, Reroute, Wave, Hup, Evacuation:
		return ""
	case KillAll:
		return scopeAll
	case StoreRefusal, StoreAnswerLoss, StoreLateWrites, StoreDelay, StoreWatchHang:
		return scopeStore
	case StoreCompaction:
		return scopeHistory
	case WorkerCrash, WorkerSilence, RunOrderDelay, WorkerRestart:
		return scopeWorkers
	case MachineRemoval:
		return scopeRemoval
	case ConnSilence, BandwidthLimit:
		if e.All {
			return scopeAll
		}
	default:
	}
	return entry
}

// silenceConns silences the open connections of one entry host or of all.
func (r *Run) silenceConns(entry string, e Event) {
	if e.Upstream == upstreamWorkers {
		r.deployment.Fleet.SilenceConnections(e.OneWay)
		return
	}
	for _, l := range r.linksOf(entry, e.All) {
		l[e.Upstream].Silence(e.OneWay)
	}
}

// delayRunOrders has workers execute run orders late: most of them within the lease that the
// order names, some after it.
func (r *Run) delayRunOrders(e Event) {
	d := rand.New(rand.NewPCG(r.Seed, uint64(e.At)))
	r.deployment.Fleet.DelayRunOrders(e.Entry, e.Duration, func() time.Duration {
		r.mu.Lock()
		defer r.mu.Unlock()
		return randomDuration(d, 2*time.Second, time.Duration(4+8*d.IntN(2))*time.Second)
	})
	time.Sleep(e.Duration)
}

// replaceEntry removes an entry host for good and starts another one in its place. One that
// hangs keeps its connections open, like a machine without power.
func (r *Run) replaceEntry(x *local.JobsEntry, hangs bool) {
	if !r.reserve(x.Name) {
		return
	}
	r.newIncarnation(x.Name)
	y, err := r.deployment.Replace(x, hangs)
	r.recordError(err)
	if err != nil {
		return
	}
	r.count("replaced")
	r.beginFault(y.Name)()
}

// machineReplacementDelay is the time between the removal of a machine and the addition of its
// replacement.
const machineReplacementDelay = 2 * time.Second

// removeMachine removes the machine with the most lasting tasks for good and replaces it after
// machineReplacementDelay.
func (r *Run) removeMachine(how fleet.Removal) {
	id, pool := r.deployment.Fleet.MostLasting()
	if r.deployment.Fleet.Remove(id, how) != nil {
		return
	}
	r.count("removed")
	time.AfterFunc(machineReplacementDelay, func() { r.recordError(r.deployment.AddMachine(pool)) })
}

// restartEntry ends an entry host by the signal and starts it again. It does nothing if the
// process is reserved for another fault.
func (r *Run) restartEntry(x *local.JobsEntry, s syscall.Signal, after time.Duration) {
	if !r.reserve(x.Name) {
		return
	}
	defer r.release(x.Name)
	r.newIncarnation(x.Name)
	defer r.newIncarnation(x.Name)
	if s == syscall.SIGTERM {
		r.stopEntry(x)
	}
	x.Kill()
	time.Sleep(after)
	r.recordError(r.deployment.Launch(x))
}

// sendHup has an entry host reload its settings.
func (r *Run) sendHup(x *local.JobsEntry) {
	if r.reserve(x.Name) {
		_ = x.Signal(syscall.SIGHUP)
		r.release(x.Name)
	}
}

func (r *Run) freezeEntry(x *local.JobsEntry, d time.Duration) {
	if !r.reserve(x.Name) {
		return
	}
	defer r.release(x.Name)
	_ = x.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	r.noteThaw()
	_ = x.Signal(syscall.SIGCONT)
}

// impairLinks puts the links of an entry host into a state for a time.
func (r *Run) impairLinks(name string, s LinkState, d time.Duration) {
	set := func(s LinkState) {
		for _, l := range r.linksOf(name, false) {
			for _, k := range l {
				k.SetState(s)
			}
		}
	}
	set(s)
	time.Sleep(d)
	set(Healthy)
}

// limitBandwidth limits the bandwidth of one entry host or of all for a time. The links of an
// entry host share one limit, as its connections share its network link.
func (r *Run) limitBandwidth(name string, e Event) {
	bytes := e.Mbps * 1e6 / 8
	for _, l := range r.linksOf(name, e.All) {
		shared := rate.NewLimiter(rate.Limit(bytes), 32<<10)
		for _, k := range l {
			k.SetLimiter(shared)
		}
	}
	time.Sleep(min(e.Duration, time.Until(r.settledAt)-settleTime))
	for _, l := range r.linksOf(name, e.All) {
		for _, k := range l {
			k.SetLimiter(nil)
		}
	}
}

// impairStore sets a fault of the store for a time.
func (r *Run) impairStore(f fleet.StoreFault, d time.Duration) {
	r.deployment.Fleet.Store.SetFault(f)
	time.Sleep(d)
	r.deployment.Fleet.Store.SetFault(fleet.StoreFault{})
}

// waveMaxDown is how many machines of a wave may be down at once.
const waveMaxDown = 2

// requestWave requests a maintenance wave over half of the machines.
func (r *Run) requestWave() {
	r.mu.Lock()
	r.waveCount++
	n := r.waveCount
	r.mu.Unlock()
	l := r.deployment.Fleet.Names("")
	l = l[:len(l)/2]
	if r.SpreadTasks {
		l = r.deployment.Fleet.Names(spreadPool)
	}
	r.recordError(r.deployment.Fleet.RequestWave(n, l, 20*time.Second, waveMaxDown))
}
