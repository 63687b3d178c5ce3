package job

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// adviceRequests removes the questions to the advice service from out, and returns them.
func (f *fixture) adviceRequests() []RequestAdvice {
	var l []RequestAdvice
	var rest []Action
	for _, a := range f.out {
		if r, ok := a.(RequestAdvice); ok {
			l = append(l, r)
		} else {
			rest = append(rest, a)
		}
	}
	f.out = rest
	return l
}

// TestJobOfADroppedQueueBringsTickets guards against jobs that never go on, as their queue, whose starts
// need tickets, is not in the configuration any more.
func TestJobOfADroppedQueueBringsTickets(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	d := testConfig()
	d.Version = 2
	d.Queues[0].Advice = &platform.AdviceTimes{Decide: 50 * time.Millisecond, ValidFor: time.Second}
	f.step(ConfigChanged{Config: d})
	r := NewRecord(d.Queues[0], platform.Submission{Spec: "spec", Steps: []platform.Step{oneTask()}}, f.now)
	b, err := json.Marshal(r)
	require.NoError(t, err)
	var stored Record
	require.NoError(t, json.Unmarshal(b, &stored))
	dropped := testConfig()
	dropped.Version = 3
	dropped.Queues = dropped.Queues[1:]
	f.step(ConfigChanged{Config: dropped})
	f.step(Accepted{ID: idA, Record: stored, Created: 1000})
	f.advance(tickEvery)
	require.Empty(t, f.starts())
	l := f.adviceRequests()
	require.Len(t, l, 1)
	require.Equal(t, *d.Queues[0].Advice, l[0].Times)
	f.step(AdviceResult{Key: l[0].Key, Asked: l[0].Workers, Tickets: []platform.Ticket{{Worker: "w1", Text: "ticket"}}, Valid: time.Second})
	started := f.starts()
	require.Len(t, started, 1)
	require.Equal(t, "ticket", started[0].Order.Ticket)
}
