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
	Kill             Kind = "kill"      // SIGKILL, and a start after For
	Stop             Kind = "stop"      // SIGTERM, and a start after For
	Freeze           Kind = "freeze"    // SIGSTOP for For
	Hup              Kind = "hup"       // SIGHUP
	LinkFault        Kind = "link"      // trouble on an entry host's way to the platform
	StoreRefusal     Kind = "refuse"    // the store refuses all calls
	StoreAnswerLoss  Kind = "lose"      // the store does and answers nothing
	StoreDelay       Kind = "delay"     // the store is slow
	StoreWatchHang   Kind = "mute"      // the store's watches hear nothing
	StoreCompaction  Kind = "forget"    // the store forgets its history
	WorkerCrash      Kind = "crash"     // a worker ends
	WorkerSilence    Kind = "silence"   // a worker answers nothing and runs on
	Configure        Kind = "configure" // a new configuration
	Wave             Kind = "wave"      // upkeep of half of the machines
	KillAll          Kind = "kill all"  // SIGKILL of all entry hosts at once
	MachineRemoval   Kind = "remove"    // a machine drains for For and is taken away for good
	RunOrderDelay    Kind = "postpone"  // workers carry orders out late
	EntryReplacement Kind = "replace"   // an entry host is removed for good, another comes in its place
	ConnSilence      Kind = "stale"     // open connections fall silent for good
	BandwidthLimit   Kind = "narrow"    // an entry host's way to the platform carries little
	WorkerRestart    Kind = "again"     // a worker crashes and starts again under its id
)

// weights says how often each kind is drawn.
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
	// Entry is the entry host that is hit, or the owner if Owner.
	Entry     int
	Owner     bool
	LinkState LinkState
	Duration  time.Duration
	// Hangs says that connections to a removed machine hang.
	Hangs bool
	// Upstream is which connections fall silent, of all entry hosts if All, and for
	// answers only if OneWay.
	Upstream    Upstream
	All, OneWay bool
	// Mbps is what a narrow way carries in a second.
	Mbps float64
	// Restart says how a worker starts again.
	Restart fleet.Restart
}

// String tells of the event on one line.
func (e Event) String() string {
	who := fmt.Sprint("entry-", e.Entry)
	if e.Owner {
		who = "the owner"
	}
	if e.Kind == WorkerRestart {
		return fmt.Sprintf("%6.2fs %-9s %+v", e.At.Seconds(), e.Kind, e.Restart)
	}
	if e.Kind == ConnSilence {
		return fmt.Sprintf("%6.2fs %-9s %-9s way %s, of all: %t, one way: %t", e.At.Seconds(), e.Kind, who, e.Upstream, e.All, e.OneWay)
	}
	return fmt.Sprintf("%6.2fs %-9s %-9s trouble %d for %s", e.At.Seconds(), e.Kind, who, e.LinkState, e.Duration)
}

// Faults come for burst, and then pause for as long as lasting tasks need to show
// that they are at work again.
const (
	burstTime = 20 * time.Second
	calmTime  = watchTime
)

// Plan returns the events that follow from the seed: two a second on average, in
// series and overlapping, until the given time, with pauses.
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
	// Drawn apart, so that what follows from the seeds of before stays as it was.
	l = append(l, bandwidthLimits(rand.New(rand.NewPCG(seed, 2)), entries, until)...)
	l = append(l, workerRestarts(rand.New(rand.NewPCG(seed, 3)), until)...)
	return sortByTime(l)
}

// sortByTime sorts the events by their times; those of one time stay as they are.
func sortByTime(l []Event) []Event {
	slices.SortStableFunc(l, func(a, b Event) int { return int(a.At - b.At) })
	return l
}

// independentEvents returns events that are drawn one by one.
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
