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

// worldLinks is what holds messages up: owners that are slow, and owners' links.
type worldLinks struct {
	// slowBy is how many times longer messages and writes take than they do at best.
	slowBy int
	// linkRate is what each owner's link carries, in bytes a second either way; zero is
	// no bound. free is when what an owner has on its way is through.
	linkRate float64
	// spec is what each job's tasks are told, which each start carries.
	spec       string
	linkFreeAt map[*worldOwner]time.Time
	lapsed     int
	renewals   renewals
}

// renewals are those of the newest owner's lease.
type renewals struct {
	nextAt time.Time
	// renewedAt is when the last was sent that was answered; longest is the longest that
	// one took.
	renewedAt time.Time
	longest   time.Duration
	expires   int
}

func newWorldLinks() worldLinks {
	return worldLinks{slowBy: 1, spec: "s", linkFreeAt: map[*worldOwner]time.Time{}}
}

// linkDelay returns how much longer a message of a size takes on the owner's link.
func (w *world) linkDelay(o *worldOwner, bytes int) time.Duration {
	if w.linkRate == 0 {
		return 0
	}
	w.linkFreeAt[o] = latest(w.linkFreeAt[o], w.now).Add(time.Duration(float64(bytes) / w.linkRate * float64(time.Second)))
	return w.linkFreeAt[o].Sub(w.now)
}

// bytesOf returns what an order and its answer take on the owner's link. An answer
// brings a row for each run and each end.
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
			w.renewals.expires++
		}
		return
	}
	w.after(took, func() {
		w.renewals.renewedAt = sent
		w.tell(o, LeaseRenewed{SentAt: sent})
	})
}

// TestOwnerBehindANarrowLinkKeepsItsLeases has an owner get more work at once than its
// link of 2 to 10 Mbit/s carries in half a minute. Its own lease has to be renewed all
// the while, no lasting task's lease may lapse, and nothing else of the model's promises
// may break. An owner that sends what it places holds renewals up for seconds.
func TestOwnerBehindANarrowLinkKeepsItsLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		megabits := rapid.Float64Range(2, 10).Draw(t, "megabits")
		w.linkRate = megabits * bytesPerMegabit
		w.spec = strings.Repeat("s", 1000)
		w.renewals.renewedAt = w.now
		told := rapid.SampledFrom([]float64{0, megabits, 2 * megabits}).Draw(t, "told")
		w.owners[0].core.flow = newFlowControl(Size{LinkMbps: told}, w.now)
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
		if told > 0 {
			require.Less(t, w.renewals.longest, renewTimeout)
		}
		require.Zero(t, w.renewals.expires)
		require.Zero(t, w.lapsed, "leases that lapsed")
	})
}
