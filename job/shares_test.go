package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// weightedConfig is testConfig with two teams of which "paint" may send ten jobs a second and
// "tint" one.
func weightedConfig() *platform.Deployed {
	d := testConfig()
	d.Version = 2
	d.Teams = []platform.Team{{Name: "paint", Weight: 10}, {Name: "tint", Weight: 1}}
	return d
}

// One team sent twelve times its usual: its jobs came first in the order of their time, and
// the others' came late behind them. The load here: a worker of four cores, jobs of a
// second, one team that sends ten a second where its share is one, and another that sends
// 2.5 a second within its own.
func TestJobsBeyondAShareWaitBehindOthers(t *testing.T) {
	f := newFixture(t)
	f.step(ConfigChanged{Config: weightedConfig()})
	f.join("w1")
	began := map[string]int{}
	n := 0
	send := func(team string) {
		n++
		f.handIn(fmt.Sprintf("%016x", n), team, "quick", tasksOf(1))
	}
	for i := range 100 {
		send("tint")
		if i%4 == 0 {
			send("paint")
		}
		for _, s := range f.starts() {
			f.took(s)
			k, _ := parseTaskKey(s.Order.Task)
			began[f.core.jobs[k.id].Team]++
		}
		f.pass(100 * time.Millisecond)
		f.endAll("w1")
	}
	require.GreaterOrEqual(t, began["paint"], 22, "of 25, all within its share; 8 in the order of their time")
	require.GreaterOrEqual(t, began["tint"], 10, "what is left, and at least its own share")
}

// endAll answers the look at a worker: what has run for a second has ended.
func (f *fixture) endAll(id string) {
	w := f.core.workers[platform.WorkerID(id)]
	var l platform.PollReply
	for _, r := range w.runs {
		if f.now.Sub(r.sentAt) >= time.Second {
			l.Ended = append(l.Ended, platform.EndedRow{Number: w.lastEndSeen + int64(len(l.Ended)) + 1, Task: r.task.key().String(), Run: r.number, How: platform.EndDone})
		} else {
			l.Running = append(l.Running, platform.RunningRow{Task: r.task.key().String(), Run: r.number, Percent: 50})
		}
	}
	if _, looked := f.looks[platform.WorkerID(id)]; looked {
		f.answer(id, l)
	}
}

// What is beyond a share waits for ten seconds at most, however much others send.
func TestJobsBeyondAShareDoNotWaitForEver(t *testing.T) {
	f := newFixture(t)
	f.step(ConfigChanged{Config: weightedConfig()})
	for i := range 2 {
		f.handIn(fmt.Sprintf("%016x", i+2), "tint", "quick", tasksOf(1))
	}
	last := f.core.jobs["0000000000000003"]
	require.True(t, f.core.beyondShare(last))
	require.False(t, f.core.beyondShare(f.core.jobs["0000000000000002"]))
	f.pass(maxShareWait)
	require.False(t, f.core.beyondShare(last))
}

func TestShareIsSavedUpForASecond(t *testing.T) {
	l := newTeams()
	l.update([]platform.Team{{Name: "paint", Weight: 2}})
	p := l.find("paint")
	now := time.Unix(1e9, 0)
	spent := func() (n int) {
		for range 5 {
			if !p.spend(now) {
				n++
			}
		}
		return n
	}
	require.Equal(t, 2, spent())
	now = now.Add(500 * time.Millisecond)
	require.Equal(t, 1, spent())
	now = now.Add(time.Hour)
	require.Equal(t, 2, spent())
	require.False(t, (*team)(nil).spend(now), "jobs of public queues have no share")
}

// Where queues are full, less is taken of a team that sends beyond its share, and all of it
// again once it does not.
func TestTeamBeyondItsShareIsRefusedFirst(t *testing.T) {
	f := newNarrowFixture(t)
	f.step(ConfigChanged{Config: weightedConfig()})
	f.run(2 * time.Second)
	s := oneTask()
	s.Count = 10
	for i := range 200 {
		f.handIn(fmt.Sprintf("%016x", i), []string{"tint", "tint", "tint", "paint"}[i%8/2], "patient", s)
		if i%8 == 0 {
			f.run(100 * time.Millisecond)
		}
	}
	full := f.publishedPolicy()
	require.Contains(t, full.Admissions, patient)
	require.Less(t, full.TeamFractions["tint"], 0.2)
	require.Positive(t, full.TeamFractions["tint"])
	require.Greater(t, full.TeamFractions["paint"], 3*full.TeamFractions["tint"], "it sends twice its share, the other sixty times")
	e := newElection(nil, Owner{}, Size{}, nil, time.Now, neverSuspended)
	e.admission = AdmissionPolicy{Admissions: map[int]Admission{quick: {Fraction: 1}}, TeamFractions: map[string]float64{"tint": 0.1}}
	taken := func(team string) (n int) {
		for i := range 100 {
			if _, _, refused := e.refusedUntil(ID(fmt.Sprintf("%016x", i)), caller{team: platform.Team{Name: team}}); !refused {
				n++
			}
		}
		return n
	}
	require.Equal(t, 100, taken("paint"))
	require.InDelta(t, 10, taken("tint"), 8)
	for i := range 200 {
		f.step(CancelRequested{ID: ID(fmt.Sprintf("%016x", i))})
	}
	f.run(4 * time.Second)
	require.Empty(t, f.publishedPolicy().TeamFractions)
}
