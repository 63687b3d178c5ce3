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
	Kill      Kind = "kill"      // SIGKILL, and a start after For
	Stop      Kind = "stop"      // SIGTERM, and a start after For
	Freeze    Kind = "freeze"    // SIGSTOP for For
	Hup       Kind = "hup"       // SIGHUP
	LinkFault Kind = "link"      // trouble on an entry host's way to the platform
	Refuse    Kind = "refuse"    // the store refuses all calls
	Lose      Kind = "lose"      // the store does and answers nothing
	Delay     Kind = "delay"     // the store is slow
	Mute      Kind = "mute"      // the store's watches hear nothing
	Forget    Kind = "forget"    // the store forgets its history
	Crash     Kind = "crash"     // a worker ends
	Silence   Kind = "silence"   // a worker answers nothing and runs on
	Configure Kind = "configure" // a new configuration
	Wave      Kind = "wave"      // upkeep of half of the machines
	KillAll   Kind = "kill all"  // SIGKILL of all entry hosts at once
	Remove    Kind = "remove"    // a machine drains for For and is taken away for good
	Postpone  Kind = "postpone"  // workers carry orders out late
	Replace   Kind = "replace"   // an entry host is removed for good, another comes in its place
	Stale     Kind = "stale"     // open connections fall silent for good
	Narrow    Kind = "narrow"    // an entry host's way to the platform carries little
	Again     Kind = "again"     // a worker crashes and starts again under its id
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
	{Refuse, 2},
	{Lose, 2},
	{Delay, 2},
	{Mute, 1},
	{Forget, 1},
	{Crash, 3},
	{Silence, 4},
	{Configure, 1},
	{Wave, 1},
	{KillAll, 1},
}

// Event is one fault or change of a run.
type Event struct {
	At time.Duration
	Kind
	// Entry is the entry host that is hit, or the owner if Owner.
	Entry   int
	Owner   bool
	Trouble Trouble
	For     time.Duration
	// Hangs says that connections to a removed machine hang.
	Hangs bool
	// Way is which connections fall silent, of all entry hosts if All, and for
	// answers only if OneWay.
	Way         Way
	All, OneWay bool
	// Megabits is what a narrow way carries in a second.
	Megabits float64
	// Start says how a worker starts again.
	Start fleet.Again
}

// String tells of the event on one line.
func (e Event) String() string {
	who := fmt.Sprint("entry-", e.Entry)
	if e.Owner {
		who = "the owner"
	}
	if e.Kind == Again {
		return fmt.Sprintf("%6.2fs %-9s %+v", e.At.Seconds(), e.Kind, e.Start)
	}
	if e.Kind == Stale {
		return fmt.Sprintf("%6.2fs %-9s %-9s way %s, of all: %t, one way: %t", e.At.Seconds(), e.Kind, who, e.Way, e.All, e.OneWay)
	}
	return fmt.Sprintf("%6.2fs %-9s %-9s trouble %d for %s", e.At.Seconds(), e.Kind, who, e.Trouble, e.For)
}

// Faults come for burst, and then pause for as long as lasting tasks need to show
// that they are at work again.
const (
	burst = 20 * time.Second
	pause = watchFor
)

// Plan returns the events that follow from the seed: two a second on average, in
// series and overlapping, until the given time, with pauses.
func Plan(seed uint64, entries int, until time.Duration) []Event {
	l := single(seed, entries, until)
	l = slices.DeleteFunc(l, func(e Event) bool { return e.At%(burst+pause) > burst })
	r := rand.New(rand.NewPCG(seed, 1))
	for from := time.Duration(0); from < until; from += burst + pause {
		to := min(from+burst, until)
		l = append(l, removals(r, from, to)...)
		l = append(l, stales(r, entries, from, to)...)
		l = append(l, strays(r, entries, from, to)...)
	}
	l = append(l, configurations(r, until)...)
	// Drawn apart, so that what follows from the seeds of before stays as it was.
	l = append(l, narrows(rand.New(rand.NewPCG(seed, 2)), entries, until)...)
	l = append(l, startsAgain(rand.New(rand.NewPCG(seed, 3)), until)...)
	return inOrder(l)
}

// inOrder sorts the events by their times; those of one time stay as they are.
func inOrder(l []Event) []Event {
	slices.SortStableFunc(l, func(a, b Event) int { return int(a.At - b.At) })
	return l
}

// single returns events that are drawn one by one.
func single(seed uint64, entries int, until time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, 0))
	var l []Event
	for at := time.Second; at < until; {
		l = append(l, draw(r, at, entries))
		at += time.Duration(r.ExpFloat64() * float64(600*time.Millisecond))
	}
	return l
}

func draw(r *rand.Rand, at time.Duration, entries int) Event {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	e := Event{
		At:      at,
		Entry:   r.IntN(entries),
		Owner:   r.IntN(2) == 0,
		Trouble: Slow + Trouble(r.IntN(int(troubles-Slow))),
		For:     time.Duration(200+r.IntN(5000)) * time.Millisecond,
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
