package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// narrowLink simulates a link of limited capacity, on which starts queue.
type narrowLink struct {
	flowControl
	now            time.Time
	bytesPerSecond float64
	queued         float64
	// answers are the starts without a response so far, in the order of their responses.
	answers []inFlightStart
}

// inFlightStart is a start whose response arrives at a time.
type inFlightStart struct {
	sentAt, at time.Time
}

// deliver passes the responses that have arrived to the flow control.
func (l *narrowLink) deliver() {
	for len(l.answers) > 0 && !l.answers[0].at.After(l.now) {
		l.noteResponse(l.answers[0].sentAt, l.now)
		l.startAnswered()
		l.answers = l.answers[1:]
	}
}

// run sends starts of the given size for a time, as the flow control allows. It returns how many
// were sent, and the longest response time after the first second.
func (l *narrowLink) run(size int, d time.Duration) (sent int, longest time.Duration) {
	const step = 5 * time.Millisecond
	startedAt := l.now
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(step) {
		l.queued = max(0, l.queued-l.bytesPerSecond*step.Seconds())
		l.deliver()
		l.advance(l.now)
		for l.mayStart() {
			l.startSent(size - startBytes)
			l.queued += float64(size)
			sent++
			took := 4*time.Millisecond + time.Duration(l.queued/l.bytesPerSecond*float64(time.Second))
			l.answers = append(l.answers, inFlightStart{sentAt: l.now, at: l.now.Add(took)})
			if l.now.Sub(startedAt) > time.Second {
				longest = max(longest, took)
			}
		}
	}
	return sent, longest
}

// TestFlowControlStaysWithinLinkCapacity sends continuously over links of 2 to 100 Mbit/s, with a
// configured capacity that is right, ten times too high, or missing.
func TestFlowControlStaysWithinLinkCapacity(t *testing.T) {
	for _, megabits := range []float64{2, 6, 20, 100} {
		for _, c := range []struct {
			configured, minUse float64
		}{{megabits, 0.7}, {10 * megabits, 0.45}, {0, 0.45}} {
			now := time.Unix(1e9, 0)
			l := narrowLink{flowControl: newFlowControl(Size{LinkMbps: c.configured}, now), now: now, bytesPerSecond: megabits * bytesPerMegabit}
			l.run(800, 5*time.Second)
			sent, longest := l.run(800, 10*time.Second)
			require.Less(t, longest, renewTimeout/2, "%g Mbit/s, configured %g", megabits, c.configured)
			require.Greater(t, float64(sent*800), c.minUse*10*l.bytesPerSecond, "%g Mbit/s, configured %g", megabits, c.configured)
		}
	}
}

// TestFlowControlBeginsWithinProcessorCapacity has a fast link and a fraction of a core, and the
// other way round.
func TestFlowControlBeginsWithinProcessorCapacity(t *testing.T) {
	now := time.Unix(1e9, 0)
	small := newFlowControl(Size{Cores: 0.2, LinkMbps: 200}, now)
	require.InDelta(t, 0.2*ratePerCore, small.rate, 1)
	narrow := newFlowControl(Size{Cores: 0.8, LinkMbps: 2}, now)
	require.InDelta(t, initialShare*2*bytesPerMegabit, narrow.rate, 1)
}

// TestFlowControlRecoversFromMinRate has responses late for a while, as during a burst of other
// calls.
func TestFlowControlRecoversFromMinRate(t *testing.T) {
	now := time.Unix(1e9, 0)
	l := narrowLink{flowControl: newFlowControl(Size{LinkMbps: 4}, now), now: now, bytesPerSecond: 4 * bytesPerMegabit}
	for range 40 {
		l.now = l.now.Add(adjustEvery)
		for range minResponses {
			l.noteResponse(l.now, l.now.Add(time.Second))
		}
		l.advance(l.now)
	}
	require.LessOrEqual(t, l.rate, 2*minRate)
	l.run(800, 5*time.Second)
	require.Greater(t, l.rate, 0.5*l.link)
}

// TestFlowControlIgnoresFewSlowWorkers has one response in six late, as with slow or unreachable
// workers.
func TestFlowControlIgnoresFewSlowWorkers(t *testing.T) {
	now := time.Unix(1e9, 0)
	f := newFlowControl(Size{LinkMbps: 20}, now)
	rate := f.rate
	for i := range 2000 {
		now = now.Add(5 * time.Millisecond)
		f.advance(now)
		f.spend(800)
		took := 5 * time.Millisecond
		if i%6 == 0 {
			took = time.Second
		}
		f.noteResponse(now.Add(-took), now)
	}
	require.GreaterOrEqual(t, f.rate, rate)
}

// TestPollsAreLessFrequentWhenRateIsShort also checks that leases are still extended in time.
func TestPollsAreLessFrequentWhenRateIsShort(t *testing.T) {
	now := time.Unix(1e9, 0)
	f := newFlowControl(Size{LinkMbps: 2}, now)
	f.busyWorkers = 400
	require.True(t, f.mayPoll(true, now, now), "the budget is not used up")
	f.spend(100000)
	require.False(t, f.mayPoll(true, now, now))
	require.False(t, f.mayPoll(false, now, now))
	require.True(t, f.mayPoll(true, now, now.Add(maxPollGap)))
	require.Less(t, maxPollGap+pollWait+pollSlack, leaseFor)
}

// TestOwnerWithoutWorkHoldsNoStarts has polls use up the budget while no task waits. That says
// nothing about how many starts can be sent, and must not count as starts that were held back.
func TestOwnerWithoutWorkHoldsNoStarts(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	for range 20 {
		f.core.flow.spend(1 << 20)
		f.core.reorderAll()
		f.advance(tickEvery)
	}
	require.Zero(t, f.core.flow.startsHeldAt)
	require.Zero(t, f.core.flow.startRate)
}
