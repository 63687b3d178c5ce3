package job

import (
	"cmp"
	"time"
)

// Settings of the flow control. An owner calls every worker directly. What it sends beyond
// the capacity of its link or processor queues in sockets, ahead of the renewals of its own
// lease: at 6 Mbit/s renewals timed out within seconds, the owner took itself for
// partitioned and stepped down, and so did each of its successors.
const (
	// lateResponse is the median response time above which too much is in flight. Workers
	// respond within a few milliseconds, or within 80 where the processor quota is enforced
	// per 100 ms period; a renewal has 600 ms on a kept-alive connection.
	lateResponse = 150 * time.Millisecond
	// adjustEvery is the interval at which the rate is adjusted. Unless the limit of starts in
	// flight was reached, a decrease needs at least minResponses responses, as some workers are
	// slow or unreachable.
	adjustEvery  = 150 * time.Millisecond
	minResponses = 5
	// On late responses the rate falls to decreaseFactor of what was sent. Unless the limit
	// of starts in flight was reached, little may have been sent by chance, so the rate then
	// falls to no less than decreaseFloor of what it was. It does not fall again for
	// decreaseCooldown, in which the backlog drains.
	decreaseFactor   = 0.8
	decreaseFloor    = 0.5
	decreaseCooldown = 300 * time.Millisecond
	// The rate is multiplied by fastIncrease when starts were held back and responses came in
	// time, but by slowIncrease if it is above nearCeiling of the ceiling, the rate before the
	// last congestion episode.
	fastIncrease = 1.15
	slowIncrease = 1.02
	nearCeiling  = 0.7
	// congestionEpisode is the time after a decrease in which another one has the same
	// cause and does not lower the ceiling.
	congestionEpisode = time.Second
	// startRateWeight is the weight of one interval in the moving average of starts per
	// second, which covers about two seconds.
	startRateWeight = 0.1
	// initialShare is the share of the link that an owner begins with, which leaves the
	// rest to calls to the store; maxShare is the highest share.
	initialShare = 0.75
	maxShare     = 0.95
	// ratePerCore is the initial rate of an owner with a whole core in bytes per second,
	// which is 6,000 starts. With 0.192 of a core an owner sustains 370 to 540 starts per
	// second.
	ratePerCore = 5e6
	// inFlightFor limits the starts in flight to what the rate allows in this time: they
	// pile up on a full link before the first late response arrives. With a sixth of the
	// workers unreachable, starts that wait for their timeout take up half of the limit.
	inFlightFor = 300 * time.Millisecond
	// minInFlight is the lowest limit of starts in flight.
	minInFlight = 8
	// minStartDelay is the shortest delay before starts that were held back are tried again.
	minStartDelay = 10 * time.Millisecond
	// minRate is the lowest rate in bytes per second: enough to poll a hundred workers.
	minRate = 25e3
	// The budget holds what the rate allows in burstFor. Calls that cannot wait overdraw it
	// by at most what the rate allows in debtFor.
	burstFor = 50 * time.Millisecond
	debtFor  = 200 * time.Millisecond
	// pollShare is the share of the rate that polls may take while the budget is used up.
	// The time between polls of a worker grows for that, up to maxPollGap: a lease of
	// leaseFor has to outlast two polls.
	pollShare  = 0.4
	maxPollGap = 800 * time.Millisecond
	// listShare is the share of the link and of the processor that reading the machine list
	// may take while orders are under way. The time between two reads grows for that, up to
	// maxListGap.
	listShare = 0.05
	// listCPUPerMachine is the processor time that a machine list takes per machine: 1.1 us to
	// decode, as much again for the call, and the comparison with the known state.
	listCPUPerMachine = 5 * time.Microsecond
	maxListGap        = 2 * time.Second
)

// Sizes of calls in bytes, with headers but without values and specifications. Exceptions are
// typicalStartBytes, a start with a usual specification, and machineBytes, a machine in a list.
const (
	startBytes        = 300
	typicalStartBytes = 800
	orderBytes        = 235
	pollBytes         = 230
	firstPollBytes    = 1200
	writeBytes        = 400
	machineBytes      = 150
)

// Link capacities in Mbit/s where the settings give none: the capacity that is assumed as
// the upper limit, and the one that the initial rate is for. The latter allows some two
// hundred starts per second, so that an owner behind a link of 2 Mbit/s does not delay its
// own renewals when it begins.
const (
	DefaultLinkMbps = 1000
	initialLinkMbps = 2
)

// bytesPerMegabit converts Mbit/s to bytes per second.
const bytesPerMegabit = 1e6 / 8

// flowControl limits the rate at which an owner sends to workers, by the capacity of its
// link and by response times. Starts wait until the rate allows them; polls go first.
type flowControl struct {
	// link is the capacity of the link, rate what the owner may send, both in bytes per
	// second.
	link, rate float64
	// cores is the processor capacity of the host in cores, which may be a fraction of one.
	cores float64
	// budget is how many bytes may be sent now. It falls below zero by calls that do not
	// wait for it, such as polls, stops and writes.
	budget tokenBucket
	// inFlight counts the starts without a response.
	inFlight int
	// adjustedAt is when the rate was last adjusted. The following are counted since then:
	// response times, bytes sent, whether starts were held back, and whether that was
	// because too many were in flight.
	adjustedAt               time.Time
	latencies                []time.Duration
	sentBytes                float64
	startsHeld, inFlightFull bool
	// decreasedAt is when the rate last fell, startsHeldAt when starts were last held back,
	// and ceiling the rate before the current congestion episode.
	decreasedAt, startsHeldAt time.Time
	ceiling                   float64
	// sentStarts counts the starts since adjustedAt. startRate is the moving average of
	// starts per second over intervals in which some were held back.
	sentStarts int
	startRate  float64
	// busyWorkers is the number of workers with runs, which are polled without a pause.
	busyWorkers int
	// pollHeld reports whether a poll was held back since it was last reset.
	pollHeld bool
}

// newFlowControl returns the flow control of an owner on a host of the size.
func newFlowControl(s Size, now time.Time) flowControl {
	megabits, initial := s.LinkMbps, s.LinkMbps
	if megabits <= 0 {
		megabits, initial = DefaultLinkMbps, initialLinkMbps
	}
	f := flowControl{cores: cmp.Or(s.Cores, 1), link: megabits * bytesPerMegabit, rate: initialShare * initial * bytesPerMegabit, adjustedAt: now}
	if s.Cores > 0 {
		f.rate = min(f.rate, s.Cores*ratePerCore)
	}
	f.budget = tokenBucket{tokens: f.burst(), filledAt: now}
	return f
}

func (f *flowControl) burst() float64 {
	return f.rate * burstFor.Seconds()
}

// advance refills the budget, and adjusts the rate when that is due. It reports whether the
// rate has fallen.
func (f *flowControl) advance(now time.Time) bool {
	f.budget.refill(now, f.rate, f.burst())
	if now.Sub(f.adjustedAt) < adjustEvery {
		return false
	}
	before := f.rate
	f.adjust(now)
	return f.rate < before
}

// adjust sets the rate by the responses since the last adjustment.
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

func (f *flowControl) decrease(now time.Time, rate float64) {
	if now.Sub(f.decreasedAt) > congestionEpisode {
		f.ceiling = f.rate
	}
	f.rate = max(minRate, rate)
	f.decreasedAt = now
}

// increase returns the factor that the rate grows by, which is smaller near the ceiling.
func (f *flowControl) increase() float64 {
	if f.ceiling > 0 && f.rate > nearCeiling*f.ceiling {
		return slowIncrease
	}
	return fastIncrease
}

// noteStartRate adds a number of starts per second to the moving average.
func (f *flowControl) noteStartRate(n float64) {
	if f.startRate == 0 {
		f.startRate = n
		return
	}
	f.startRate += startRateWeight * (n - f.startRate)
}

// timeToSend returns how long it takes to send this many starts, at startRate or, if none were
// held back yet, at the allowed rate.
func (f *flowControl) timeToSend(starts int) time.Duration {
	n := f.startRate
	if n == 0 {
		n = f.rate / typicalStartBytes
	}
	return time.Duration(float64(starts) / n * float64(time.Second))
}

// noteResponse records the response time of a call that a worker answers without waiting.
// Calls from before the last decrease say nothing about the rate since then.
func (f *flowControl) noteResponse(sentAt, now time.Time) {
	if sentAt.Before(f.decreasedAt) {
		return
	}
	f.latencies = append(f.latencies, now.Sub(sentAt))
}

// spend takes bytes that are sent from the budget.
func (f *flowControl) spend(bytes int) {
	f.budget.tokens = max(f.budget.tokens-float64(bytes), -f.rate*debtFor.Seconds())
	f.sentBytes += float64(bytes)
}

// mayStart reports whether a start may be sent now.
func (f *flowControl) mayStart() bool {
	full := f.inFlight >= max(minInFlight, int(f.rate*inFlightFor.Seconds()/typicalStartBytes))
	if f.budget.tokens > 0 && !full {
		return true
	}
	f.startsHeld = true
	f.inFlightFull = f.inFlightFull || full
	return false
}

// nextStartAt returns when the next start may be sent if no response allows it before.
func (f *flowControl) nextStartAt(now time.Time) time.Time {
	d := time.Duration((1 - f.budget.tokens) / f.rate * float64(time.Second))
	return now.Add(max(d, minStartDelay))
}

// startSent counts a start that was sent, with this many bytes on top of startBytes.
func (f *flowControl) startSent(bytes int) {
	f.spend(startBytes + bytes)
	f.inFlight++
	f.sentStarts++
}

// startAnswered counts the end of a start's call, with a response or without.
func (f *flowControl) startAnswered() {
	f.inFlight--
}

// mayPoll reports whether a worker that was last sent a poll at pollSentAt may be polled now.
// Polls extend leases: while the budget is used up they become less frequent, but do not wait
// for it. First polls wait until less than a burst is overdrawn, so that they go one by one.
func (f *flowControl) mayPoll(contacted bool, pollSentAt, now time.Time) bool {
	may := !now.Before(pollSentAt.Add(f.pollGap()))
	if !contacted {
		may = f.budget.tokens > -f.burst()
	}
	may = may || f.budget.tokens > 0
	f.pollHeld = f.pollHeld || !may
	return may
}

// pollGap returns the shortest time between two polls of a worker while the budget is used up.
func (f *flowControl) pollGap() time.Duration {
	return min(maxPollGap, time.Duration(float64(f.busyWorkers*pollBytes)/(pollShare*f.rate)*float64(time.Second)))
}

// listGap returns the shortest time between two reads of a machine list of this length while
// orders are under way.
func (f *flowControl) listGap(machines int) time.Duration {
	byLink := time.Duration(float64(machines*machineBytes) / (listShare * f.link) * float64(time.Second))
	byCores := time.Duration(float64(machines) / (listShare * f.cores) * float64(listCPUPerMachine))
	return min(maxListGap, max(byLink, byCores))
}
