package job

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/platform"
)

// worldLinks is what delays messages: slow owners, and the capacity of owners' links.
type worldLinks struct {
	// slowBy is the factor by which messages and writes take longer than at best.
	slowBy int
	// linkRate is the capacity of each owner's link in bytes per second, for both directions
	// together; zero is unlimited. linkFreeAt is when all that an owner has in flight is through.
	linkRate float64
	// spec is the specification of each job's tasks, which is sent with each start.
	spec       string
	linkFreeAt map[*worldOwner]time.Time
	// expiredRuns counts the runs that ended as their worker's lease expired.
	expiredRuns int
	renewals    renewals
}

// renewals are the renewals of the newest owner's lease.
type renewals struct {
	nextAt time.Time
	// renewedAt is when the last successful one was sent, longest how long the slowest took.
	renewedAt time.Time
	longest   time.Duration
	// expirations counts the renewals that failed after the lease had expired.
	expirations int
}

func newWorldLinks() worldLinks {
	return worldLinks{slowBy: 1, spec: "s", linkFreeAt: map[*worldOwner]time.Time{}}
}

// linkDelay returns the delay of a message of the given size on the owner's link.
func (w *world) linkDelay(o *worldOwner, bytes int) time.Duration {
	if w.linkRate == 0 {
		return 0
	}
	w.linkFreeAt[o] = latest(w.linkFreeAt[o], w.now).Add(time.Duration(float64(bytes) / w.linkRate * float64(time.Second)))
	return w.linkFreeAt[o].Sub(w.now)
}

// bytesOf returns the sizes of an order and of its response. The response to a poll has a row for
// each run and each end.
func (w *world) bytesOf(id platform.WorkerID, a Action) (there, back int) {
	switch a := a.(type) {
	case StartRun:
		return startBytes + len(a.Order.Spec), 90
	case PollWorker:
		v := w.workers[id]
		return pollBytes, 120 + 75*(len(v.runs)+len(v.ended))
	}
	return orderBytes, 90
}

// renew sends the renewals of the newest owner's lease over its link.
func (w *world) renew() {
	o := w.owners[len(w.owners)-1]
	if w.linkRate == 0 || w.now.Before(w.renewals.nextAt) {
		return
	}
	w.renewals.nextAt = w.now.Add(renewEvery)
	sent := w.now
	took := w.linkDelay(o, 120) + w.linkDelay(o, 90)
	w.renewals.longest = max(w.renewals.longest, took)
	if took > renewTimeout {
		if sent.Sub(w.renewals.renewedAt) > ownerTTL {
			w.renewals.expirations++
		}
		return
	}
	w.after(took, func() {
		w.renewals.renewedAt = sent
		w.tell(o, LeaseRenewed{SentAt: sent})
	})
}

// TestOwnerBehindANarrowLinkKeepsItsLeases gives an owner more work at once than its link of 2
// to 10 Mbit/s can carry in half a minute. Its own lease has to be renewed meanwhile, no worker's
// lease may expire, and all other promises must hold. An owner that sends every start at once
// delays its renewals by seconds.
func TestOwnerBehindANarrowLinkKeepsItsLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newWorld(t).playNarrowLink() })
}

func (w *world) playNarrowLink() {
	t := w.t
	megabits := rapid.Float64Range(2, 10).Draw(t, "megabits")
	w.linkRate = megabits * bytesPerMegabit
	w.spec = strings.Repeat("s", 1000)
	w.renewals.renewedAt = w.now
	configured := rapid.SampledFrom([]float64{0, megabits, 2 * megabits}).Draw(t, "told")
	w.owners[0].core.flow = newFlowControl(Size{LinkMbps: configured}, w.now)
	workers := rapid.IntRange(20, 40).Draw(t, "workers")
	for i := range workers {
		w.hosts++
		w.addWorker(fmt.Sprint("narrow-host-", i))
	}
	w.advance(2 * time.Second)
	lasting := platform.Step{Count: workers / 2, Lasting: true, MaxUnavailable: 2, MaxPerWorker: 1, Resources: platform.Resources{MilliCores: 500}}
	w.submitSteps(lasting)
	w.advance(3 * time.Second)
	for range rapid.IntRange(50, 150).Draw(t, "jobs") {
		w.submitSteps(platform.Step{Count: 20, Estimate: 300 * time.Millisecond, Resources: platform.Resources{MilliCores: 250}})
	}
	w.advance(10 * time.Second)
	if configured > 0 {
		require.Less(t, w.renewals.longest, renewTimeout)
	}
	require.Zero(t, w.renewals.expirations)
	require.Zero(t, w.expiredRuns, "runs whose lease expired")
}
