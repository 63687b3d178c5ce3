package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// limited drives an owner whose budgets are too small for all that is due, and counts what it
// sends to each worker or machine.
type limited struct {
	core *Core
	now  time.Time
	sent map[string]int
	// late are outcomes that are told later.
	late []lateEvent
}

type lateEvent struct {
	at time.Time
	Event
}

func newLimited(s Size) *limited {
	l := &limited{now: time.Unix(1e9, 0), sent: map[string]int{}}
	l.core = NewCore(100, "entry-1", s, l.now)
	l.step(ConfigChanged{Config: testConfig()})
	return l
}

// step applies an event. Writes are answered at once, polls and orders get no response.
func (l *limited) step(e Event) {
	for _, a := range l.core.Step(l.now, e) {
		switch a := a.(type) {
		case WriteStore:
			l.step(WriteResult{Number: a.Number, Revision: 1000})
		case PollWorker:
			l.sent[string(a.Worker.ID)]++
			l.tellLater(pollSlack, PollResult{Worker: a.Worker.ID, SentAt: l.now, Err: platform.ErrUnknownOutcome})
		case MoveMachine:
			l.sent[a.Machine]++
			l.tellLater(tickEvery, MachineOrderResult{Machine: a.Machine, Err: platform.ErrUnknownOutcome})
		case MaintainMachine:
			l.sent[fmt.Sprint("wave ", a.Wave)]++
		}
	}
}

func (l *limited) tellLater(d time.Duration, e Event) {
	l.late = append(l.late, lateEvent{at: l.now.Add(d), Event: e})
}

// advance lets time pass, with a tick each time one is due.
func (l *limited) advance(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(tickEvery)
		for len(l.late) > 0 && !l.now.Before(l.late[0].at) {
			e := l.late[0].Event
			l.late = l.late[1:]
			l.step(e)
		}
		l.step(LeaseRenewed{SentAt: l.now})
		l.step(Tick{})
	}
}

// requireTurns requires that all of n names got their share of what was sent.
func (l *limited) requireTurns(t *testing.T, prefix string, n int) {
	total := 0
	for i := range n {
		total += l.sent[fmt.Sprint(prefix, i)]
	}
	for i := range n {
		require.Greater(t, l.sent[fmt.Sprint(prefix, i)], total/n/2, "%s%d of %d, %d in all", prefix, i, n, total)
	}
}

// TestPollsTakeTurnsWhileTheBudgetIsShort has more silent workers than the link allows polls. In
// a fixed order the same workers would use up the budget each time, and the others would never
// be polled.
func TestPollsTakeTurnsWhileTheBudgetIsShort(t *testing.T) {
	const workers = 400
	l := newLimited(Size{LinkMbps: 0.5})
	var listed Batch
	for i := range workers {
		listed = append(listed, WorkerListed{Worker: testWorker(fmt.Sprint("w", i))})
	}
	l.step(listed)
	l.advance(2 * time.Minute)
	l.requireTurns(t, "w", workers)
}

// TestRepeatedOrdersTakeTurnsWhileTheBudgetIsShort repeats more orders to machines than the
// platform allows. In a fixed order only the first machines would get them.
func TestRepeatedOrdersTakeTurnsWhileTheBudgetIsShort(t *testing.T) {
	const count = 20
	l := newLimited(Size{OrdersPerSecond: 4})
	var listed []platform.Machine
	for i := range count {
		listed = append(listed, platform.Machine{Name: fmt.Sprint("m", i), Pool: "blue", State: platform.MachineUp})
	}
	l.step(MachineList{SentAt: l.now, Machines: listed})
	for _, m := range l.core.machinesByName {
		m.order = &machineOrder{pool: "green", recorded: true, resendAt: l.now}
	}
	l.advance(time.Minute)
	l.requireTurns(t, "m", count)
}

// TestWavesTakeTurnsWhileTheBudgetIsShort runs waves side by side. In a fixed order the first one
// would use up the budget of orders until it is done.
func TestWavesTakeTurnsWhileTheBudgetIsShort(t *testing.T) {
	const waves, machinesPerWave = 3, 60
	l := newLimited(Size{OrdersPerSecond: 1})
	var listed []platform.Machine
	requested := make([]platform.Wave, waves)
	for i := range waves * machinesPerWave {
		name := fmt.Sprint("m", i)
		listed = append(listed, platform.Machine{Name: name, Pool: "blue", State: platform.MachineUp})
		w := &requested[i%waves]
		w.Machines = append(w.Machines, name)
	}
	l.step(MachineList{SentAt: l.now, Machines: listed})
	for i, w := range requested {
		w.Number, w.MaxDown, w.TimeLimit = int64(i), machinesPerWave, time.Hour
		l.step(WaveRequested{Wave: w})
	}
	l.advance(time.Minute)
	l.requireTurns(t, "wave ", waves)
}
