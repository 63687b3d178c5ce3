package job

import (
	"cmp"
	"time"
)

// Figures of pacing. An owner speaks to every worker itself, and what it puts on its way
// beyond what its link or its processor carries waits in sockets, before the renewals of
// its own lease: at 6 Mbit/s these came too late within seconds, the owner took itself
// for cut off, and so did each owner after it.
const (
	// lateResponse is the middle answer time of a moment that says that too much is on
	// its way. Workers answer in some milliseconds, in up to 80 where a processor's
	// share is a quota of each tenth of a second; a renewal has 600 ms on a kept
	// connection.
	lateResponse = 150 * time.Millisecond
	// adjustEvery is the time between two looks at the answers, fewestAnswers the
	// fewest that say anything: some workers are slow, or behind a cut.
	adjustEvery  = 150 * time.Millisecond
	minResponses = 5
	// decreaseFactor is what remains of the rate that was sent when answers came late,
	// slowMost of the rate that was allowed, where little may have been sent by chance.
	// It does not fall again for settleFor, in which what waits gets through.
	decreaseFactor   = 0.8
	decreaseFloor    = 0.5
	decreaseCooldown = 300 * time.Millisecond
	// fastIncrease is what the rate grows by when starts were held back and answers came
	// in time, speedUpNear once it is near what it last fell from.
	fastIncrease = 1.15
	slowIncrease = 1.02
	nearCeiling  = 0.7
	// congestionEpisode is how soon after a fall the next is of the same cause.
	congestionEpisode = time.Second
	// startRateWeight is how much one judgement counts in the mean of starts a second:
	// some two seconds make it up.
	startRateWeight = 0.1
	// initialShare is the share of the link that an owner begins with, the rest being for
	// the store, and mostShare the most of it.
	initialShare = 0.75
	maxShare     = 0.95
	// ratePerCore is what an owner with a whole core begins with, in bytes a second: 6,000
	// starts. One with 0.192 of a core sent 370 to 540 a second over some seconds.
	ratePerCore = 5e6
	// inFlightFor is how long the rate may be ahead of the answers to starts: what has not
	// been answered tells of a full link before the first late answer does. A sixth of
	// the workers behind a cut holds half of that for as long as an order takes.
	inFlightFor = 300 * time.Millisecond
	// minInFlight is the fewest starts that may be on their way.
	minInFlight = 8
	// minStartDelay is the least time until starts that were held back are tried again.
	minStartDelay = 10 * time.Millisecond
	// minRate is the least that an owner sends, in bytes a second: the looks at a
	// hundred workers.
	minRate = 25e3
	// burstFor is how long what is not sent is saved up, and debtFor how much of what
	// could not wait is made up for.
	burstFor = 50 * time.Millisecond
	debtFor  = 200 * time.Millisecond
	// pollShare is the share of the rate that looks may take where it is short, and
	// longestGap the longest pause that they make for it: a lease of leaseFor has to
	// outlast two looks.
	pollShare  = 0.4
	maxPollGap = 800 * time.Millisecond
	// listShare is the share of the link and of the processor that lists of machines may
	// take while orders are under way, and longestList the longest time between two of
	// them for that.
	listShare = 0.05
	// listCPUPerMachine is the processor time that a list takes for each machine: 1.1 us to read it
	// and as much again for the call, and what comparing it with what is known takes.
	listCPUPerMachine = 5 * time.Microsecond
	maxListGap        = 2 * time.Second
)

// Bytes of calls with their headers, as counted on a quiet day of 372 workers; values
// and specifications come on top.
const (
	startBytes     = 300
	fullStartBytes = 800
	orderBytes     = 235
	pollBytes      = 230
	firstPollBytes = 1200
	writeBytes     = 400
	machineBytes   = 150
)

// Links that the settings say nothing of, in megabits a second: what they are taken to
// carry at most, and what an owner begins with, some two hundred starts a second: the
// first moments on a link of 2 Mbit/s must not hold renewals up.
const (
	DefaultLinkMbps = 1000
	initialLinkMbps = 2
)

// bytesPerMegabit turns megabits a second into bytes a second.
const bytesPerMegabit = 1e6 / 8

// flowControl paces what an owner sends to workers, by what its link carries and by how long
// answers take. Starts wait for their turn here; looks go ahead of them.
type flowControl struct {
	// link is what the link carries, and rate what the owner may send, in bytes a
	// second.
	link, rate float64
	// cores is how much of a core the host has.
	cores float64
	// budget is how many bytes may be sent now. What is sent all the same, as looks, stops
	// and writes are, takes it below zero.
	budget tokenBucket
	// inFlight counts the starts that have not been answered.
	inFlight int
	// adjustedAt is when the rate was last judged, took the answer times and sent the bytes
	// since. held says that starts were held back since, full that this was as many of
	// them were on their way as may be.
	adjustedAt               time.Time
	latencies                []time.Duration
	sentBytes                float64
	startsHeld, inFlightFull bool
	// decreasedAt is when the rate last fell, ceiling what it fell from, heldAt when starts
	// were last held back.
	decreasedAt, startsHeldAt time.Time
	ceiling                   float64
	// sentStarts are the starts since the last judgement, starts how many are sent in a
	// second where all that may are.
	sentStarts int
	startRate  float64
	// busyWorkers is how many workers are looked at all the time.
	busyWorkers int
}

// newFlowControl returns the pace of an owner on a host of the size.
func newFlowControl(s Size, now time.Time) flowControl {
	megabits, first := s.LinkMbps, s.LinkMbps
	if megabits <= 0 {
		megabits, first = DefaultLinkMbps, initialLinkMbps
	}
	f := flowControl{cores: cmp.Or(s.Cores, 1), link: megabits * bytesPerMegabit, rate: initialShare * first * bytesPerMegabit, adjustedAt: now}
	if s.Cores > 0 {
		f.rate = min(f.rate, s.Cores*ratePerCore)
	}
	f.budget = tokenBucket{tokens: f.burst(), filledAt: now}
	return f
}

func (f *flowControl) burst() float64 {
	return f.rate * burstFor.Seconds()
}

// advance lets time pass. It reports whether the rate has fallen.
func (f *flowControl) advance(now time.Time) bool {
	f.budget.refill(now, f.rate, f.burst())
	if now.Sub(f.adjustedAt) < adjustEvery {
		return false
	}
	before := f.rate
	f.adjust(now)
	return f.rate < before
}

// adjust sets the rate by what the answers since the last time say.
func (f *flowControl) adjust(now time.Time) {
	d := now.Sub(f.adjustedAt).Seconds()
	sent := f.sentBytes / d
	if f.startsHeld {
		f.startsHeldAt = now
		f.noteStartRate(float64(f.sentStarts) / d)
	}
	late := len(f.latencies) > 0 && median(f.latencies) > lateResponse
	switch {
	case late && now.Sub(f.decreasedAt) < decreaseCooldown:
	case late && f.inFlightFull:
		f.decrease(now, decreaseFactor*min(f.rate, sent))
	case late && len(f.latencies) >= minResponses:
		f.decrease(now, max(decreaseFloor*f.rate, decreaseFactor*min(f.rate, sent)))
	case f.startsHeld && !late && (len(f.latencies) > 0 || f.inFlight == 0):
		f.rate = min(maxShare*f.link, f.increase()*f.rate)
	}
	f.latencies = f.latencies[:0]
	f.sentBytes, f.sentStarts = 0, 0
	f.startsHeld, f.inFlightFull = false, false
	f.adjustedAt = now
}

// decrease lowers the rate.
func (f *flowControl) decrease(now time.Time, rate float64) {
	if now.Sub(f.decreasedAt) > congestionEpisode {
		f.ceiling = f.rate
	}
	f.rate = max(minRate, rate)
	f.decreasedAt = now
}

// increase returns what the rate grows by: little near where it last had to fall.
func (f *flowControl) increase() float64 {
	if f.ceiling > 0 && f.rate > nearCeiling*f.ceiling {
		return slowIncrease
	}
	return fastIncrease
}

// noteStartRate takes in how many starts were sent in a second.
func (f *flowControl) noteStartRate(n float64) {
	if f.startRate == 0 {
		f.startRate = n
		return
	}
	f.startRate += startRateWeight * (n - f.startRate)
}

// timeToSend returns how long so many starts take to be sent, by what was sent of late or, where
// none were held back yet, by what may be sent.
func (f *flowControl) timeToSend(starts int) time.Duration {
	n := f.startRate
	if n == 0 {
		n = f.rate / fullStartBytes
	}
	return time.Duration(float64(starts) / n * float64(time.Second))
}

// noteResponse takes in that a worker has answered at once what was sent at a time. What
// was on its way when the rate last fell says nothing of the rate since.
func (f *flowControl) noteResponse(sentAt, now time.Time) {
	if sentAt.Before(f.decreasedAt) {
		return
	}
	f.latencies = append(f.latencies, now.Sub(sentAt))
}

// spend counts what is sent.
func (f *flowControl) spend(bytes int) {
	f.budget.tokens = max(f.budget.tokens-float64(bytes), -f.rate*debtFor.Seconds())
	f.sentBytes += float64(bytes)
}

// mayStart reports whether a start may be sent now.
func (f *flowControl) mayStart() bool {
	full := f.inFlight >= max(minInFlight, int(f.rate*inFlightFor.Seconds()/fullStartBytes))
	if f.budget.tokens > 0 && !full {
		return true
	}
	f.startsHeld = true
	f.inFlightFull = f.inFlightFull || full
	return false
}

// nextStartAt returns when the next start may be sent, if not by an answer.
func (f *flowControl) nextStartAt(now time.Time) time.Time {
	d := time.Duration((1 - f.budget.tokens) / f.rate * float64(time.Second))
	return now.Add(max(d, minStartDelay))
}

// startSent counts a start that is sent, and started that it was answered, or never will be.
func (f *flowControl) startSent(bytes int) {
	f.spend(startBytes + bytes)
	f.inFlight++
	f.sentStarts++
}

func (f *flowControl) startAnswered() {
	f.inFlight--
}

// mayPoll reports whether a worker may be looked at that was last asked at a time.
// Looks keep leases alive: where the rate is short they come less often, and the first
// ones one after the other.
func (f *flowControl) mayPoll(met bool, askedAt, now time.Time) bool {
	switch {
	case f.budget.tokens > 0:
		return true
	case !met:
		return f.budget.tokens > -f.burst()
	}
	return !now.Before(askedAt.Add(f.pollGap()))
}

// pollGap is the least time between two looks at a worker where the rate is short.
func (f *flowControl) pollGap() time.Duration {
	return min(maxPollGap, time.Duration(float64(f.busyWorkers*pollBytes)/(pollShare*f.rate)*float64(time.Second)))
}

// listGap is the least time between two lists of so many machines, while orders are under
// way.
func (f *flowControl) listGap(machines int) time.Duration {
	byLink := time.Duration(float64(machines*machineBytes) / (listShare * f.link) * float64(time.Second))
	byCores := time.Duration(float64(machines) / (listShare * f.cores) * float64(listCPUPerMachine))
	return min(maxListGap, max(byLink, byCores))
}
