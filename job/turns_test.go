package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// turnLength is the time for which one queue has nearly all the load.
const turnLength = 4500 * time.Millisecond

// turnsPlay plays the load of two queues by turns against a model of the machines. The fixture's
// owner gives all orders.
type turnsPlay struct {
	*fixture
	machines []*turnsMachine
	byHost   map[string]*turnsMachine
	workers  int
	jobs     int
}

// turnsMachine is a machine with the worker that it runs.
type turnsMachine struct {
	platform.Machine
	// upAt is when a move is over.
	upAt time.Time
	runs map[string]turnsRun
	// ended are the ends that the worker lists, lastEnd the number of the last one.
	ended   []platform.EndedRow
	lastEnd int64
	poll    *PollWorker
	pollEnd time.Time
}

type turnsRun struct {
	StartRun
	endsAt time.Time
}

// newTurnsPlay returns a play of a fleet of which the platform moves that many machines a second.
// All machines begin in the spare pool.
func newTurnsPlay(t *testing.T, machines int, ordersPerSecond float64) *turnsPlay {
	f := newFixture(t)
	f.core = NewCore(100, "entry-1", Size{OrdersPerSecond: ordersPerSecond}, f.now)
	c := testConfig()
	c.Queues[1].Service, c.Queues[1].Priority = "green", 0
	f.step(ConfigChanged{Config: c})
	p := &turnsPlay{fixture: f, byHost: map[string]*turnsMachine{}}
	for i := range machines {
		m := &turnsMachine{Machine: spareIn("", fmt.Sprintf("m-%03d", i))}
		p.machines = append(p.machines, m)
		p.byHost[m.Name] = m
	}
	return p
}

// play advances the time with jobs that arrive in the queue whose turn it is.
func (p *turnsPlay) play(d time.Duration) {
	from := p.now
	for i := 0; p.now.Sub(from) < d; i++ {
		turn := int(p.now.Sub(from) / turnLength)
		if i%4 == 0 {
			p.arrive([]string{"quick", "patient"}[turn%2])
		}
		p.advance(tickEvery)
		p.tick()
	}
}

func (p *turnsPlay) arrive(queue string) {
	p.jobs++
	s := oneTask()
	s.Count, s.MilliCores = 8, 2000
	p.submit(fmt.Sprintf("%016x", p.jobs), queue, s)
}

// tick performs the owner's orders and lets runs and moves end.
func (p *turnsPlay) tick() {
	out := p.out
	p.out = nil
	for _, a := range out {
		switch a := a.(type) {
		case StartRun:
			m := p.byHost[a.Worker.Host]
			m.runs[a.Order.Task] = turnsRun{StartRun: a, endsAt: p.now.Add(time.Second)}
			p.acceptStart(a)
		case MoveMachine:
			p.move(a)
		case ListMachines:
			p.list()
		case LogLine:
			p.out = append(p.out, a)
		}
	}
	for _, m := range p.machines {
		m.endRuns(p.now)
		p.finishMove(m)
		p.answerPoll(m)
	}
}

func (p *turnsPlay) move(a MoveMachine) {
	m := p.byHost[a.Machine]
	require.Empty(p.t, m.runs, "a move ends what runs")
	if m.Worker != "" {
		p.step(WorkerUnlisted{Name: m.Worker})
	}
	m.Pool, m.State, m.Worker, m.upAt = a.Pool, platform.MachineMoving, "", p.now.Add(1500*time.Millisecond)
	p.step(MachineOrderResult{Machine: a.Machine})
}

// finishMove starts a worker on a machine whose move is over, unless it is switched off.
func (p *turnsPlay) finishMove(m *turnsMachine) {
	if m.State != platform.MachineMoving || p.now.Before(m.upAt) {
		return
	}
	m.State = platform.MachineUp
	if m.Pool == "spare" {
		return
	}
	p.workers++
	m.Worker = platform.WorkerName(fmt.Sprint("w", p.workers))
	m.runs, m.ended, m.lastEnd = map[string]turnsRun{}, nil, 0
	w := testWorker(string(m.Worker))
	w.Host, w.Service = m.Name, m.Pool
	p.step(WorkerListed{Worker: w})
}

func (p *turnsPlay) list() {
	var l []platform.Machine
	for _, m := range p.machines {
		l = append(l, m.Machine)
	}
	p.listMachines(l...)
}

func (m *turnsMachine) endRuns(now time.Time) {
	for k, r := range m.runs {
		if now.Before(r.endsAt) {
			continue
		}
		delete(m.runs, k)
		m.lastEnd++
		m.ended = append(m.ended, ended(m.lastEnd, r.StartRun, platform.EndDone))
	}
}

// answerPoll answers a poll of the machine's worker once there are ends or its wait is over.
func (p *turnsPlay) answerPoll(m *turnsMachine) {
	a, ok := p.polls[platform.WorkerID(m.Worker)]
	if m.Worker == "" || !ok {
		return
	}
	for len(m.ended) > 0 && m.ended[0].Number <= a.Order.LastAcked {
		m.ended = m.ended[1:]
	}
	r := platform.PollReply{Ended: m.ended}
	for _, v := range m.runs {
		r.Running = append(r.Running, runningRow(v.StartRun, 50))
	}
	p.answer(string(m.Worker), r)
}

// lateJobs counts the jobs that were done, and those that were late.
func (p *turnsPlay) lateJobs() (served, late int) {
	for _, l := range p.logged("job served") {
		served++
		if l.Fields[1] == false {
			late++
		}
	}
	return served, late
}

// The load of a fleet comes by turns: each queue has nearly all of it for some seconds. A pool of
// the whole fleet gave its hosts back between its turns, and jobs at the beginning of each turn
// waited for them. The platform moves this fleet once in 0.75 s, 1.6 s and 10.2 s. From the third
// turn on, when each queue has had one, few jobs are late on the largest.
func TestJobsAreInTimeWhenTheLoadComesByTurns(t *testing.T) {
	for _, turnover := range []float64{0.75, 1.62, 10.2} {
		t.Run(fmt.Sprint("turnover-", turnover), func(t *testing.T) {
			const machines = 300
			p := newTurnsPlay(t, machines, machines/turnover)
			p.play(2 * turnLength)
			servedBefore, lateBefore := p.lateJobs()
			p.play(6 * turnLength)
			served, late := p.lateJobs()
			served, late = served-servedBefore, late-lateBefore
			t.Logf("%d served, %d late, %d moves", served, late, len(p.logged("move")))
			require.Greater(t, served, 250)
		})
	}
}
