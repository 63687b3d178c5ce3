package soak

import (
	"math/rand/v2"
	"time"

	"amberway/internal/standin/fleet"
)

// randomDuration returns a random duration in [from, to), which is from plus a number of whole
// milliseconds.
func randomDuration(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(max(1, (to-from).Milliseconds())))*time.Millisecond
}

// machineRemovals returns two series, each the permanent removal of a machine followed by
// kills of the owner: one at any time of the burst, and one at its end, so that a calm period
// follows.
func machineRemovals(r *rand.Rand, from, to time.Duration) []Event {
	at := []time.Duration{randomDuration(r, from+time.Second, to), randomDuration(r, max(from, to-4*time.Second), to)}
	var l []Event
	for _, t := range at {
		e := Event{At: t, Kind: MachineRemoval, Hangs: r.IntN(2) == 0}
		if r.IntN(4) > 0 {
			e.Duration = randomDuration(r, 200*time.Millisecond, 1500*time.Millisecond)
		}
		l = append(l, e)
		t += e.Duration
		for range 1 + r.IntN(2) {
			t += randomDuration(r, 200*time.Millisecond, 3500*time.Millisecond)
			l = append(l, Event{At: t, Kind: Kill, Owner: true, Duration: randomDuration(r, 200*time.Millisecond, 2*time.Second)})
		}
	}
	return l
}

// connSilences returns a series of silenced connections, each time those of one entry host or
// of all.
func connSilences(r *rand.Rand, entries int, from, to time.Duration) []Event {
	var l []Event
	upstreams := []Upstream{upstreamStore, upstreamStore, upstreamMachines, upstreamWorkers}
	for at := randomDuration(r, from+time.Second, to); at < to; at += randomDuration(r, 500*time.Millisecond, 6*time.Second) {
		e := Event{At: at, Kind: ConnSilence, Entry: r.IntN(entries), Owner: r.IntN(2) == 0, All: r.IntN(2) == 0, OneWay: r.IntN(3) == 0}
		e.Upstream = upstreams[r.IntN(len(upstreams))]
		l = append(l, e)
	}
	return l
}

// bandwidthLimits returns limits of 0.25 to 2 Mbit/s, for some seconds or until the end. They
// are low because the soak's deployment has a tenth of the workers of a large one.
func bandwidthLimits(r *rand.Rand, entries int, until time.Duration) []Event {
	var l []Event
	for at := randomDuration(r, time.Second, 10*time.Second); at < until; at += randomDuration(r, 3*time.Second, 15*time.Second) {
		e := Event{At: at, Kind: BandwidthLimit, Entry: r.IntN(entries), Owner: r.IntN(2) == 0, All: r.IntN(4) == 0, Mbps: 0.25 + 1.75*r.Float64()}
		e.Duration = randomDuration(r, time.Second, 8*time.Second)
		if r.IntN(6) == 0 {
			e.Duration = until
		}
		l = append(l, e)
	}
	return l
}

// workerRestarts returns workers that crash and restart under their ids before their records
// expire, some of them several times, with clocks that are off by up to 3 s either way.
func workerRestarts(r *rand.Rand, until time.Duration) []Event {
	var l []Event
	for at := randomDuration(r, time.Second, 4*time.Second); at < until; at += randomDuration(r, 500*time.Millisecond, 5*time.Second) {
		restart := fleet.Restart{Times: 1, Moves: r.IntN(3) == 0, DownFor: randomDuration(r, 0, 400*time.Millisecond), RecordAfter: randomDuration(r, 0, 1500*time.Millisecond)}
		restart.ClockOff = randomDuration(r, 0, 6*time.Second) - 3*time.Second
		if r.IntN(4) == 0 {
			restart.Times = 2 + r.IntN(2)
		}
		l = append(l, Event{At: at, Kind: WorkerRestart, Restart: restart})
	}
	return l
}

// waves returns a wave every two to six seconds.
func waves(r *rand.Rand, until time.Duration) []Event {
	var l []Event
	for at := randomDuration(r, time.Second, 3*time.Second); at < until; at += randomDuration(r, 2*time.Second, 6*time.Second) {
		l = append(l, Event{At: at, Kind: Wave})
	}
	return l
}

// orphanedRuns returns events that leave orphaned runs behind: start and stop orders that are
// executed late, the last of them at the end of the burst, each followed by a kill of the owner
// or the replacement of an entry host, which is often the owner.
func orphanedRuns(r *rand.Rand, entries int, from, to time.Duration) []Event {
	var l []Event
	for at := max(from+time.Second, to-randomDuration(r, time.Second, 3*time.Second)); at > from; at -= randomDuration(r, 3*time.Second, 7*time.Second) {
		e := Event{At: at, Kind: RunOrderDelay, Entry: r.IntN(entries), Duration: randomDuration(r, 1500*time.Millisecond, 4500*time.Millisecond)}
		l = append(l, e)
		loss := Event{At: at + randomDuration(r, 300*time.Millisecond, 2*time.Second), Kind: Kill, Owner: true, Duration: randomDuration(r, 200*time.Millisecond, 2*time.Second)}
		if r.IntN(2) == 0 {
			loss = Event{At: loss.At, Kind: EntryReplacement, Entry: r.IntN(entries), Owner: r.IntN(3) > 0, Hangs: r.IntN(2) == 0}
		}
		l = append(l, loss)
	}
	return l
}

// configurations returns configuration changes, during calm periods as well.
func configurations(r *rand.Rand, until time.Duration) []Event {
	var l []Event
	for at := time.Second; at < until+calmTime; at += randomDuration(r, 300*time.Millisecond, 4*time.Second) {
		l = append(l, Event{At: at, Kind: Configure})
	}
	return l
}

// workerCuts returns a series of workers that are silent for about as long as their lease, one after
// the other.
func workerCuts(r *rand.Rand, until time.Duration) []Event {
	var l []Event
	for at := randomDuration(r, time.Second, 2*time.Second); at < until; {
		e := Event{At: at, Kind: WorkerSilence, Duration: randomDuration(r, 4*time.Second, 6*time.Second)}
		l = append(l, e)
		at += e.Duration + randomDuration(r, 0, 2*time.Second)
	}
	return l
}
