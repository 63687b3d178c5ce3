package job

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// turns is a load that goes round among services, in the order that it is given.
type turns struct {
	// order names the service of each turn, period is the time from one to the next.
	order  []int
	period time.Duration
	// peak and rest are cores; work is of one job, in core-milliseconds.
	peak, rest, work float64
}

// rate returns the cores that come in for a service: turns rise and fall like a
// half wave, and last a quarter longer than their period.
func (l turns) rate(service int, at time.Duration) float64 {
	cores := l.rest
	for k, s := range l.order {
		x := (at - time.Duration(k)*l.period).Seconds() / (1.25 * l.period.Seconds())
		if s == service && x > 0 && x < 1 {
			cores += l.peak * math.Pow(math.Sin(math.Pi*x), 2)
		}
	}
	return cores
}

// begins returns when the k-th turn brings a tenth of its peak.
func (l turns) begins(k int) time.Duration {
	return time.Duration(k)*l.period + time.Duration(0.125*float64(l.period))
}

// watch plays the load from the beginning, and calls see each tenth of a second
// with what the rotation expects. Jobs come at random.
func (l turns) watch(services int, r *rand.Rand, see func(time.Duration, []load, map[string]float64)) *rotation {
	from := time.Unix(1e9, 0)
	all := make([]*arrivals, services)
	for i := range all {
		all[i] = newArrivals()
	}
	var o rotation
	for at := time.Duration(0); at < time.Duration(len(l.order))*l.period; at += planEvery {
		now := from.Add(at)
		loads := make([]load, services)
		for i, a := range all {
			for n := l.rate(i, at) * float64(planEvery.Milliseconds()) / l.work; n > 0; n-- {
				if r.Float64() < n {
					a.add(l.work, now, now)
				}
			}
			loads[i] = load{service: name(i), cores: a.long.value(now), jobs: a.jobs(now), past: &a.past}
		}
		o.observe(now, loads)
		see(at, loads, o.expect(now, loads))
	}
	return &o
}

func name(service int) string {
	return "service-" + strconv.Itoa(service)
}

// round returns an order of turns in which the services come one after the other.
func round(services, turns int) []int {
	l := make([]int, turns)
	for i := range l {
		l[i] = i % services
	}
	return l
}

// A load that goes round is known after two turns, whatever its period: the next
// service is to have hosts for a good part of its peak when it begins to rise, by
// an order given one move earlier, and the others for nothing.
func TestRotationHasHostsReadyAsATurnBegins(t *testing.T) {
	for _, v := range []struct {
		services int
		period   time.Duration
		peak     float64
	}{{4, 10 * time.Second, 400}, {3, 7 * time.Second, 900}, {6, 23 * time.Second, 150}, {2, 40 * time.Second, 3000}} {
		ready, turnsSeen := 0, 0
		for seed := range uint64(10) {
			l := turns{order: round(v.services, 3*v.services), period: v.period, peak: v.peak, rest: v.peak / 80, work: v.peak * 25}
			most := map[int]float64{}
			l.watch(v.services, rand.New(rand.NewPCG(seed, 1)), func(at time.Duration, _ []load, cores map[string]float64) {
				for k := v.services; k < len(l.order); k++ {
					if ahead := l.begins(k) - at; ahead > 0 && ahead < moveTakes+time.Second {
						most[k] = max(most[k], cores[name(l.order[k])])
						other := name((l.order[k] + 1) % v.services)
						if v.services > 2 {
							require.Zero(t, cores[other], "turn %d of %s", k, v.period)
						}
					}
				}
			})
			for k := v.services; k < len(l.order); k++ {
				turnsSeen++
				if most[k] > v.peak/10 {
					ready++
				}
			}
		}
		require.Greater(t, ready, turnsSeen*2/3, "of %d turns, each %s", turnsSeen, v.period)
	}
}

// A load that does not go round has nothing prepared for long: steady load never,
// turns in a changing order and at changing times seldom.
func TestRotationExpectsLittleWhereThereIsNone(t *testing.T) {
	steady := turns{order: make([]int, 12), period: 10 * time.Second, peak: 0, rest: 100, work: 8000}
	steady.watch(4, rand.New(rand.NewPCG(1, 2)), func(at time.Duration, _ []load, cores map[string]float64) {
		require.Empty(t, cores, "after %s", at)
	})
	wrong, came := 0.0, 0.0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 3))
		l := turns{order: round(4, 16), period: 10 * time.Second, peak: 400, rest: 5, work: 8000}
		r.Shuffle(len(l.order), func(i, j int) { l.order[i], l.order[j] = l.order[j], l.order[i] })
		l.watch(4, r, func(at time.Duration, all []load, cores map[string]float64) {
			for _, v := range all {
				came += v.cores
				wrong += max(0, cores[v.service]-v.cores-l.rate(serviceOf(v.service), at+aheadOf))
			}
		})
	}
	require.Less(t, wrong, came/10, "core-seconds prepared in vain, against those that came")
}

func serviceOf(name string) int {
	n, _ := strconv.Atoi(name[len("service-"):])
	return n
}

// An owner that takes over knows what came before it, also of jobs that are final,
// and expects the same as one that has seen it all.
func TestNextOwnerKnowsTheRotation(t *testing.T) {
	l := turns{order: round(2, 5), period: 10 * time.Second, peak: 300, rest: 4, work: 4000}
	r := rand.New(rand.NewPCG(7, 4))
	f := newFixture(t)
	from := f.now
	kept := map[ID]Progress{}
	services := []string{"blue", "green"}
	for at := time.Duration(0); at < 45*time.Second; at += planEvery {
		f.now = from.Add(at)
		for i, s := range services {
			if r.Float64() < l.rate(i, at)*float64(planEvery.Milliseconds())/l.work {
				id := ID("000000000000" + strconv.Itoa(1000+len(kept)))
				a := &Arrival{Service: s, CameAt: f.now, Work: l.work}
				kept[id] = Progress{State: platform.StateSucceeded, FinalAt: f.now, Arrival: a}
				f.core.arrivalsOf(s).add(a.Work, f.now, f.now)
			}
		}
		f.core.now = f.now
		f.core.learnRotation()
	}
	n := New(101, "entry-2", f.now)
	n.Step(f.now, Inherited{Config: testConfig(), Progress: kept})
	require.Equal(t, f.core.balance.rotation.peak, n.balance.rotation.peak)
	require.True(t, n.balance.rotation.regular)
	require.InDelta(t, 10, n.balance.rotation.gap.Seconds(), 1)
	require.WithinDuration(t, f.core.balance.rotation.centre, n.balance.rotation.centre, time.Second)
}

// What a final job has brought is kept in the store with its state.
func TestArrivalOfAFinalJobIsKept(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", oneTask())
	f.step(CancelAsked{ID: idA})
	f.pass(200 * time.Millisecond)
	b, err := encodeProgress(f.core.jobs[idA].progress())
	require.NoError(t, err)
	_, p, err := decodeProgress(platform.Entry{Key: progressKey(idA), Value: b})
	require.NoError(t, err)
	require.NotNil(t, p.Arrival)
	require.Equal(t, "blue", p.Arrival.Service)
	require.Positive(t, p.Arrival.Work)
}
