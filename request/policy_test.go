package request

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"amberway/common"
)

// arrival is one request of a simulated load.
type arrival struct {
	at    time.Time
	class common.Class
	run   time.Duration
}

// policyTargets is the number of targets, with 8 slots each.
const policyTargets = 8

// arrivals returns ten seconds of a load, given as a fraction of what the targets can
// run: four quick requests of about 50 ms to each patient one of about 300 ms.
func arrivals(share float64, r *rand.Rand) []arrival {
	const meanRun = 0.8*0.05 + 0.2*0.3
	perSecond := share * policyTargets * 8 / meanRun
	var l []arrival
	at := time.Unix(1e9, 0)
	end := at.Add(10 * time.Second)
	for at.Before(end) {
		at = at.Add(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		a := arrival{at: at, run: time.Duration(r.ExpFloat64() * 50 * float64(time.Millisecond))}
		if r.IntN(5) == 0 {
			a.class = common.Patient
			a.run = time.Duration(r.ExpFloat64() * 300 * float64(time.Millisecond))
		}
		l = append(l, a)
	}
	return l
}

func within(c common.Class) time.Duration {
	if c == common.Patient {
		return 5 * time.Second
	}
	return 500 * time.Millisecond
}

// ending is the end of a run, ordered by time.
type ending struct {
	at  time.Time
	end func(now time.Time)
}

// endings implements heap.Interface.
type endings []ending

// Len implements heap.Interface.
func (e endings) Len() int { return len(e) }

// Less implements heap.Interface.
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }

// Swap implements heap.Interface.
func (e endings) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *endings) Push(x any) {
	v, ok := x.(ending)
	if ok {
		*e = append(*e, v)
	}
}

// Pop implements heap.Interface.
func (e *endings) Pop() any {
	n := len(*e) - 1
	v := (*e)[n]
	*e = (*e)[:n]
	return v
}

// play simulates a load to its end. offer passes an arrival to the policy, which adds
// endings.
func play(l []arrival, e *endings, offer func(a arrival)) {
	for _, a := range l {
		for e.Len() > 0 && !(*e)[0].at.After(a.at) {
			popEnding(e)
		}
		offer(a)
	}
	for e.Len() > 0 {
		popEnding(e)
	}
}

func popEnding(e *endings) {
	v, _ := heap.Pop(e).(ending)
	v.end(v.at)
}

// tallies count, by class, all requests and those answered in time.
type tallies struct {
	all    [common.NumClasses]int
	inTime [common.NumClasses]int
}

func (t *tallies) report(b *testing.B) {
	for c := range common.NumClasses {
		b.ReportMetric(100*float64(t.inTime[c])/float64(t.all[c]), fmt.Sprintf("%s-in-time-%%", common.Class(c)))
	}
}

// failsAt reports whether the target is the one that fails every request.
func failsAt(broken bool, target string) bool {
	return broken && target == "t3"
}

// failRun is the time that a failing target takes.
const failRun = time.Millisecond

// playScheduler simulates a load on the Scheduler. Failures are not retried, so that only
// the choice of targets is compared.
func playScheduler(l []arrival, broken bool) tallies {
	var t tallies
	s := NewScheduler(DefaultPolicy(), rand.New(rand.NewPCG(1, 2)))
	s.SetServices([]ServiceSpec{{Name: "s", Pool: "p", Weight: 1}})
	var specs []TargetSpec
	for n := range policyTargets {
		specs = append(specs, TargetSpec{Name: fmt.Sprint("t", n), Pool: "p", Slots: 8})
	}
	s.SetTargets(specs)
	s.DeclareRunTime("s", "quick", 50*time.Millisecond)
	s.DeclareRunTime("s", "patient", 300*time.Millisecond)
	runs := map[*Item]time.Duration{}
	e := &endings{}
	var startReady func(now time.Time)
	startReady = func(now time.Time) {
		for {
			v, ok := s.Next(now, "p")
			if !ok {
				return
			}
			run := runs[v.Item]
			bad := failsAt(broken, v.Item.Target)
			if bad {
				run = failRun
			}
			heap.Push(e, ending{at: now.Add(run), end: func(at time.Time) {
				if !bad && !at.After(v.Item.Deadline) {
					t.inTime[v.Item.Class]++
				}
				s.Done(at, v.Item, Outcome{OK: !bad})
				startReady(at)
			}})
		}
	}
	play(l, e, func(a arrival) {
		t.all[a.class]++
		i := &Item{Service: "s", Job: a.class.String(), Class: a.class, Deadline: a.at.Add(within(a.class))}
		runs[i] = a.run
		if s.Offer(a.at, i) != nil {
			return
		}
		startReady(a.at)
		// The dispatcher cancels a request that cannot be answered in time any more.
		heap.Push(e, ending{at: s.LatestStart(i), end: func(time.Time) { s.Cancel(i) }})
	})
	return t
}

// playRoundRobin simulates a load on targets chosen in turn, each with an unbounded
// queue: the baseline.
func playRoundRobin(l []arrival, broken bool) tallies {
	type job struct {
		arrival
		deadline time.Time
	}
	var t tallies
	busy := make([]int, policyTargets)
	queues := make([][]job, policyTargets)
	e := &endings{}
	var begin func(now time.Time, n int, j job)
	begin = func(now time.Time, n int, j job) {
		busy[n]++
		bad := failsAt(broken, fmt.Sprint("t", n))
		run := j.run
		if bad {
			run = failRun
		}
		heap.Push(e, ending{at: now.Add(run), end: func(at time.Time) {
			if !bad && !at.After(j.deadline) {
				t.inTime[j.class]++
			}
			busy[n]--
			if len(queues[n]) > 0 {
				next := queues[n][0]
				queues[n] = queues[n][1:]
				begin(at, n, next)
			}
		}})
	}
	turn := 0
	play(l, e, func(a arrival) {
		t.all[a.class]++
		n := turn % policyTargets
		turn++
		j := job{a, a.at.Add(within(a.class))}
		if busy[n] < 8 {
			begin(a.at, n, j)
			return
		}
		queues[n] = append(queues[n], j)
	})
	return t
}

// BenchmarkPolicy reports the share of requests in time at half, full and double load,
// with all targets working and with one of eight that fails every request, for the
// scheduler and for the baseline.
func BenchmarkPolicy(b *testing.B) {
	for _, broken := range []bool{false, true} {
		for _, share := range []float64{0.5, 1, 2} {
			l := arrivals(share, rand.New(rand.NewPCG(3, 4)))
			name := fmt.Sprintf("load=%.1f/broken=%t", share, broken)
			b.Run(name+"/amberway", func(b *testing.B) {
				var t tallies
				for b.Loop() {
					t = playScheduler(l, broken)
				}
				t.report(b)
			})
			b.Run(name+"/round-robin", func(b *testing.B) {
				var t tallies
				for b.Loop() {
					t = playRoundRobin(l, broken)
				}
				t.report(b)
			})
		}
	}
}
