package soak

import (
	"math/rand/v2"
	"time"

	"amberway/internal/standin/fleet"
)

// between draws a time, in whole milliseconds.
func between(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(max(1, (to-from).Milliseconds())))*time.Millisecond
}

// removals returns series of machines removed for good and kills of the owner: one
// at any time of the burst, and one at its end, so that calm follows.
func removals(r *rand.Rand, from, to time.Duration) []Event {
	at := []time.Duration{between(r, from+time.Second, to), between(r, max(from, to-4*time.Second), to)}
	var l []Event
	for _, t := range at {
		e := Event{At: t, Kind: Remove, Hangs: r.IntN(2) == 0}
		if r.IntN(4) > 0 {
			e.For = between(r, 200*time.Millisecond, 1500*time.Millisecond)
		}
		l = append(l, e)
		t += e.For
		for range 1 + r.IntN(2) {
			t += between(r, 200*time.Millisecond, 3500*time.Millisecond)
			l = append(l, Event{At: t, Kind: Kill, Owner: true, For: between(r, 200*time.Millisecond, 2*time.Second)})
		}
	}
	return l
}

// stales returns a series of connections that fall silent: of some entry hosts,
// then of all.
func stales(r *rand.Rand, entries int, from, to time.Duration) []Event {
	var l []Event
	ways := []Way{wayStore, wayStore, wayMachines, wayWorkers}
	for at := between(r, from+time.Second, to); at < to; at += between(r, 500*time.Millisecond, 6*time.Second) {
		e := Event{At: at, Kind: Stale, Entry: r.IntN(entries), Owner: r.IntN(2) == 0, All: r.IntN(2) == 0, OneWay: r.IntN(3) == 0}
		e.Way = ways[r.IntN(len(ways))]
		l = append(l, e)
	}
	return l
}

// narrows returns links that carry 0.25 to 2 megabits a second for a while, or for good:
// the soak's deployment has a tenth of the workers of a large one.
func narrows(r *rand.Rand, entries int, until time.Duration) []Event {
	var l []Event
	for at := between(r, time.Second, 10*time.Second); at < until; at += between(r, 3*time.Second, 15*time.Second) {
		e := Event{At: at, Kind: Narrow, Entry: r.IntN(entries), Owner: r.IntN(2) == 0, All: r.IntN(4) == 0, Megabits: 0.25 + 1.75*r.Float64()}
		e.For = between(r, time.Second, 8*time.Second)
		if r.IntN(6) == 0 {
			e.For = until
		}
		l = append(l, e)
	}
	return l
}

// startsAgain returns workers that crash and start again under their ids, some of them several
// times, sooner than their records lapse, and by clocks that jump.
func startsAgain(r *rand.Rand, until time.Duration) []Event {
	var l []Event
	for at := between(r, time.Second, 4*time.Second); at < until; at += between(r, 500*time.Millisecond, 5*time.Second) {
		a := fleet.Again{Times: 1, Moves: r.IntN(3) == 0, DownFor: between(r, 0, 400*time.Millisecond), RecordAfter: between(r, 0, 1500*time.Millisecond)}
		a.ClockOff = between(r, 0, 6*time.Second) - 3*time.Second
		if r.IntN(4) == 0 {
			a.Times = 2 + r.IntN(2)
		}
		l = append(l, Event{At: at, Kind: Again, Start: a})
	}
	return l
}

// waves returns a wave each two to six seconds.
func waves(r *rand.Rand, until time.Duration) []Event {
	var l []Event
	for at := between(r, time.Second, 3*time.Second); at < until; at += between(r, 2*time.Second, 6*time.Second) {
		l = append(l, Event{At: at, Kind: Wave})
	}
	return l
}

// strays returns what leaves runs behind that nobody expects: orders to stop and to
// start that are carried out late, the last of them at the end of the burst, and the
// loss of the owner that gave them, for good or not.
func strays(r *rand.Rand, entries int, from, to time.Duration) []Event {
	var l []Event
	for at := max(from+time.Second, to-between(r, time.Second, 3*time.Second)); at > from; at -= between(r, 3*time.Second, 7*time.Second) {
		e := Event{At: at, Kind: Postpone, Entry: r.IntN(entries), For: between(r, 1500*time.Millisecond, 4500*time.Millisecond)}
		l = append(l, e)
		gone := Event{At: at + between(r, 300*time.Millisecond, 2*time.Second), Kind: Kill, Owner: true, For: between(r, 200*time.Millisecond, 2*time.Second)}
		if r.IntN(2) == 0 {
			gone = Event{At: gone.At, Kind: Replace, Entry: r.IntN(entries), Owner: r.IntN(3) > 0, Hangs: r.IntN(2) == 0}
		}
		l = append(l, gone)
	}
	return l
}

// configurations returns changes of the configuration, in calm as well.
func configurations(r *rand.Rand, until time.Duration) []Event {
	var l []Event
	for at := time.Second; at < until+pause; at += between(r, 300*time.Millisecond, 4*time.Second) {
		l = append(l, Event{At: at, Kind: Configure})
	}
	return l
}
