package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"amberway/internal/standin/fleet"
)

// Kind is a kind of fault or change.
type Kind string

// The kinds of faults and changes.
const (
	Kill             Kind = "kill"      // SIGKILL, restart after Duration
	Stop             Kind = "stop"      // SIGTERM, restart after Duration
	Freeze           Kind = "freeze"    // SIGSTOP for Duration
	Hup              Kind = "hup"       // SIGHUP
	LinkFault        Kind = "link"      // fault on an entry host's links to the platform
	StoreRefusal     Kind = "refuse"    // the store refuses all calls
	StoreAnswerLoss  Kind = "lose"      // the store executes calls but sends no answers
	StoreDelay       Kind = "delay"     // the store is slow
	StoreWatchHang   Kind = "mute"      // the store's watches deliver nothing
	StoreCompaction  Kind = "forget"    // the store compacts its history
	WorkerCrash      Kind = "crash"     // a worker crashes
	WorkerSilence    Kind = "silence"   // a worker stops answering but keeps running its tasks
	Configure        Kind = "configure" // a new configuration
	Wave             Kind = "wave"      // maintenance of half of the machines
	KillAll          Kind = "kill all"  // SIGKILL of all entry hosts at once
	MachineRemoval   Kind = "remove"    // a machine drains for Duration and is removed for good
	RunOrderDelay    Kind = "postpone"  // workers execute orders late
	EntryReplacement Kind = "replace"   // an entry host is removed for good and another one added
	ConnSilence      Kind = "stale"     // open connections lose everything they carry, for good
	BandwidthLimit   Kind = "narrow"    // little bandwidth between an entry host and the platform
	WorkerRestart    Kind = "again"     // a worker crashes and restarts under its id
	Evacuation       Kind = "evacuate"  // a data centre is evacuated for Duration
	NextProcess      Kind = "next"      // another process starts under the name of an entry host
	StoreLateWrites  Kind = "latewrite" // the store executes writes seconds later and does not answer them
	Reroute          Kind = "reroute"   // a configuration that sends each queue to another pool
)

// weights are the relative frequencies of the kinds that drawEvent chooses from.
var weights = []struct {
	Kind
	weight int
}{
	{Kill, 4},
	{Stop, 3},
	{Freeze, 4},
	{Hup, 1},
	{LinkFault, 5},
	{StoreRefusal, 2},
	{StoreAnswerLoss, 2},
	{StoreDelay, 2},
	{StoreWatchHang, 1},
	{StoreCompaction, 1},
	{WorkerCrash, 3},
	{WorkerSilence, 4},
	{Configure, 1},
	{Wave, 1},
	{KillAll, 1},
}

// Event is one fault or change of a run.
type Event struct {
	At time.Duration
	Kind
	// Entry is the entry host that is affected, or the data centre. If Owner is set, it is the
	// present owner instead.
	Entry     int
	Owner     bool
	LinkState LinkState
	Duration  time.Duration
	// Hangs says that connections to a removed host hang instead of being refused.
	Hangs bool
	// Upstream says which connections are silenced: those of all entry hosts if All, and
	// only their answers if OneWay.
	Upstream    Upstream
	All, OneWay bool
	// Mbps is the bandwidth of a limited link.
	Mbps float64
	// Restart says how a worker restarts.
	Restart fleet.Restart
}

// String describes the event on one line.
func (e Event) String() string {
	host := fmt.Sprint("entry-", e.Entry)
	if e.Owner {
		host = "the owner"
	}
	if e.Kind == Evacuation {
		return e.evacuationString()
	}
	if e.Kind == NextProcess {
		return e.nextProcessString(host)
	}
	if e.Kind == WorkerRestart {
		return fmt.Sprintf("%6.2fs %-9s %+v", e.At.Seconds(), e.Kind, e.Restart)
	}
	if e.Kind == ConnSilence {
		return fmt.Sprintf("%6.2fs %-9s %-9s upstream %s, all hosts: %t, one way: %t", e.At.Seconds(), e.Kind, host, e.Upstream, e.All, e.OneWay)
	}
	return fmt.Sprintf("%6.2fs %-9s %-9s link state %d for %s", e.At.Seconds(), e.Kind, host, e.LinkState, e.Duration)
}

// Faults are injected for burstTime, followed by a calm period of calmTime, which is long enough
// to see whether lasting tasks are ready again. Of the events of Plan, only bandwidth limits, worker
// restarts and changes of the configuration go on during calm periods.
const (
	burstTime = 20 * time.Second
	calmTime  = lastingWatchTime
)

// Plan returns the events of the seed until the given time: two a second on average, which
// overlap and form series, with calm periods in between. The same arguments give the same
// events.
func Plan(seed uint64, entries int, until time.Duration) []Event {
	l := independentEvents(seed, entries, until)
	l = slices.DeleteFunc(l, func(e Event) bool { return e.At%(burstTime+calmTime) > burstTime })
	r := rand.New(rand.NewPCG(seed, 1))
	for from := time.Duration(0); from < until; from += burstTime + calmTime {
		to := min(from+burstTime, until)
		l = append(l, machineRemovals(r, from, to)...)
		l = append(l, connSilences(r, entries, from, to)...)
		l = append(l, orphanedRuns(r, entries, from, to)...)
	}
	l = append(l, configurations(r, until)...)
	// These use generators of their own, so that they do not change the other events of a
	// seed.
	l = append(l, bandwidthLimits(rand.New(rand.NewPCG(seed, 2)), entries, until)...)
	l = append(l, workerRestarts(rand.New(rand.NewPCG(seed, 3)), until)...)
	return sortByTime(l)
}

// sortByTime sorts the events by time and keeps the order of those at the same time.
func sortByTime(l []Event) []Event {
	slices.SortStableFunc(l, func(a, b Event) int { return int(a.At - b.At) })
	return l
}

// independentEvents returns events that are drawn independently of each other, 600 ms apart
// on average.
func independentEvents(seed uint64, entries int, until time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, 0))
	var l []Event
	for at := time.Second; at < until; {
		l = append(l, drawEvent(r, at, entries))
		at += time.Duration(r.ExpFloat64() * float64(600*time.Millisecond))
	}
	return l
}

func drawEvent(r *rand.Rand, at time.Duration, entries int) Event {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	e := Event{
		At:        at,
		Entry:     r.IntN(entries),
		Owner:     r.IntN(2) == 0,
		LinkState: Slow + LinkState(r.IntN(int(linkStates-Slow))),
		Duration:  time.Duration(200+r.IntN(5000)) * time.Millisecond,
	}
	n := r.IntN(total)
	for _, w := range weights {
		if n < w.weight {
			e.Kind = w.Kind
			break
		}
		n -= w.weight
	}
	return e
}
