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

// restartWithin is how long a stopped entry host may take to end.
const restartWithin = 8 * time.Second

// hit carries out one event, and returns when it is over.
func (r *Run) hit(e Event) {
	x := r.entry(e.Entry)
	if o := r.jobs.Owner(); e.Owner && o != nil {
		x = o
	}
	if s := e.scope(x.Name); s != "" {
		defer r.begin(s)()
	}
	switch e.Kind {
	case Kill:
		r.restart(x, syscall.SIGKILL, e.For)
	case Stop:
		r.restart(x, syscall.SIGTERM, e.For)
	case KillAll:
		var wg sync.WaitGroup
		for i := range r.Entries {
			wg.Go(func() { r.restart(r.entry(i), syscall.SIGKILL, e.For/4) })
		}
		wg.Wait()
	case Freeze:
		r.freeze(x, e.For)
	case Hup:
		r.hangUp(x)
	case LinkFault:
		r.troubleLinks(x.Name, e.Trouble, e.For)
	case Narrow:
		r.narrowLinks(x.Name, e)
	case Refuse:
		r.troubleStore(fleet.Fault{Refuse: true}, e.For)
	case Lose:
		r.troubleStore(fleet.Fault{Lose: true}, e.For)
	case Delay:
		r.troubleStore(fleet.Fault{Delay: slowBy}, e.For)
	case Mute:
		r.troubleStore(fleet.Fault{Mute: true}, e.For)
	case Forget:
		r.jobs.Fleet.Store.Forget()
	case Crash:
		r.jobs.Fleet.Crash(e.For)
		time.Sleep(e.For)
	case Again:
		if r.jobs.Fleet.StartAgain(e.Start) != "" {
			r.count("started again")
		}
		time.Sleep(time.Duration(e.Start.Times)*e.Start.DownFor + e.Start.RecordAfter)
	case Silence:
		r.jobs.Fleet.Silence(e.For)
		time.Sleep(e.For)
	case Configure:
		r.configure()
	case Wave:
		r.wave()
	case Stale:
		r.silence(x.Name, e)
	case Postpone:
		r.postpone(e)
	case Replace:
		r.replace(x, e.Hangs)
	case Remove:
		r.remove(fleet.Removal{Drain: e.For, Hangs: e.Hangs})
	}
}

// scope returns what the event disturbs; nothing if it is no fault, but a change
// that the system is to bear without notice. Connections that fall silent count
// as a reset of those of the entry hosts.
func (e Event) scope(entry string) string {
	switch e.Kind {
	case Configure, Wave, Hup:
		return ""
	case KillAll:
		return scopeAll
	case Refuse, Lose, Delay, Mute:
		return scopeStore
	case Forget:
		return scopeHistory
	case Crash, Silence, Postpone, Again:
		return scopeWorkers
	case Remove:
		return scopeRemoval
	case Stale, Narrow:
		if e.All {
			return scopeAll
		}
	default:
	}
	return entry
}

// silence has open connections fall silent, of one entry host or of all.
func (r *Run) silence(entry string, e Event) {
	if e.Way == wayWorkers {
		r.jobs.Fleet.SilenceConnections(e.OneWay)
		return
	}
	for _, l := range r.linksOf(entry, e.All) {
		l[e.Way].Silence(e.OneWay)
	}
}

// postpone has workers carry orders out late: most within the lease that they
// name, some after it.
func (r *Run) postpone(e Event) {
	d := rand.New(rand.NewPCG(r.Seed, uint64(e.At)))
	r.jobs.Fleet.Postpone(e.Entry, e.For, func() time.Duration {
		r.mu.Lock()
		defer r.mu.Unlock()
		return between(d, 2*time.Second, time.Duration(4+8*d.IntN(2))*time.Second)
	})
	time.Sleep(e.For)
}

// replace takes an entry host away for good and starts another in its place. One
// that hangs keeps its connections open, as a machine without power does.
func (r *Run) replace(x *local.JobsEntry, hangs bool) {
	if !r.take(x.Name) {
		return
	}
	r.newLife(x.Name)
	y, err := r.jobs.Replace(x, hangs)
	r.fail(err)
	if err != nil {
		return
	}
	r.count("replaced")
	r.begin(y.Name)()
}

// addAfter is how long after a machine was removed another comes in its place.
const addAfter = 2 * time.Second

// remove takes the machine with the most lasting tasks away for good.
func (r *Run) remove(how fleet.Removal) {
	id, pool := r.jobs.Fleet.MostLasting()
	if r.jobs.Fleet.Remove(id, how) != nil {
		return
	}
	r.count("removed")
	time.AfterFunc(addAfter, func() { r.fail(r.jobs.AddMachine(pool)) })
}

// restart ends an entry host by the signal and starts it again. One that is being
// restarted is left alone.
func (r *Run) restart(x *local.JobsEntry, s syscall.Signal, after time.Duration) {
	if !r.take(x.Name) {
		return
	}
	defer r.release(x.Name)
	r.newLife(x.Name)
	defer r.newLife(x.Name)
	if s == syscall.SIGTERM {
		r.stop(x)
	}
	x.Kill()
	time.Sleep(after)
	r.fail(r.jobs.Launch(x))
}

// hangUp tells an entry host that its settings have changed.
func (r *Run) hangUp(x *local.JobsEntry) {
	if r.take(x.Name) {
		_ = x.Signal(syscall.SIGHUP)
		r.release(x.Name)
	}
}

func (r *Run) freeze(x *local.JobsEntry, d time.Duration) {
	if !r.take(x.Name) {
		return
	}
	defer r.release(x.Name)
	_ = x.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = x.Signal(syscall.SIGCONT)
}

func (r *Run) troubleLinks(name string, t Trouble, d time.Duration) {
	set := func(t Trouble) {
		for _, l := range r.linksOf(name, false) {
			for _, k := range l {
				k.Set(t)
			}
		}
	}
	set(t)
	time.Sleep(d)
	set(Sound)
}

// narrowLinks has an entry host's links, or those of all, carry little: together what one
// link of a host does.
func (r *Run) narrowLinks(name string, e Event) {
	bytes := e.Megabits * 1e6 / 8
	for _, l := range r.linksOf(name, e.All) {
		shared := rate.NewLimiter(rate.Limit(bytes), 32<<10)
		for _, k := range l {
			k.Narrow(shared)
		}
	}
	time.Sleep(min(e.For, time.Until(r.endsAt)-settle))
	for _, l := range r.linksOf(name, e.All) {
		for _, k := range l {
			k.Narrow(nil)
		}
	}
}

func (r *Run) troubleStore(f fleet.Fault, d time.Duration) {
	r.jobs.Fleet.Store.SetFault(f)
	time.Sleep(d)
	r.jobs.Fleet.Store.SetFault(fleet.Fault{})
}

// waveCap is how many machines of a wave may be down at once.
const waveCap = 2

func (r *Run) wave() {
	r.mu.Lock()
	r.waves++
	n := r.waves
	r.mu.Unlock()
	l := r.jobs.Fleet.Names("")
	r.fail(r.jobs.Fleet.AskWave(n, l[:len(l)/2], 20*time.Second, waveCap))
}
