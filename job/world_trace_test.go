package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// trace records what owners decide and what they are told, if it is not nil.
type trace struct {
	lines []string
}

// add adds a line on an owner.
func (t *trace) add(now time.Time, o *worldOwner, what any) {
	if t != nil {
		t.lines = append(t.lines, fmt.Sprintf("%s owner %d: %T %+v", now.Format("05.000"), o.fence, what, what))
	}
}

// addOutcome adds an event that is the outcome of an action.
func (t *trace) addOutcome(now time.Time, o *worldOwner, e Event) {
	switch e.(type) {
	case PollResult, StartResult, StopResult, PaceResult, WriteResult, MachineList, MachineOrderResult:
		t.add(now, o, e)
	}
}

// play is a kind of play of the model.
type play struct {
	withIncarnations bool
	do               func(*world)
}

// traceOf plays once by a seed and returns the trace. A play that fails ends with the failure.
func (p play) traceOf(seed int) []string {
	return rapid.Custom(func(t *rapid.T) (lines []string) {
		w := newTracedWorld(t, p.withIncarnations, &trace{})
		defer func() {
			lines = w.trace.lines
			if r := recover(); r != nil {
				lines = append(lines, fmt.Sprint(r))
			}
		}()
		p.do(w)
		return nil
	}).Example(seed)
}

// TestPlayFollowsFromItsSeed plays seeds twice and compares the traces. If decisions or the model
// depend on the order of a map, rapid can neither shrink a failure nor repeat it by its seed.
func TestPlayFollowsFromItsSeed(t *testing.T) {
	const seeds = 8
	for name, p := range map[string]play{
		"promises":    {do: (*world).playPromises},
		"lists":       {do: (*world).playLists},
		"cuts":        {do: (*world).playCuts},
		"caps":        {do: (*world).playCaps},
		"cancel":      {do: (*world).playCancelled},
		"crash":       {do: (*world).playCrashing},
		"restart":     {do: (*world).playRestarts, withIncarnations: true},
		"processes":   {do: (*world).playProcesses, withIncarnations: true},
		"lasting":     {do: (*world).playLasting},
		"evacuations": {do: (*world).playEvacuations},
		"narrow link": {do: (*world).playNarrowLink},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range seeds {
				requireSameTrace(t, seed, p.traceOf(seed), p.traceOf(seed))
			}
		})
	}
}

// requireSameTrace requires that both traces of a seed are the same.
func requireSameTrace(t *testing.T, seed int, first, second []string) {
	require.NotEmpty(t, first)
	for i := range min(len(first), len(second)) {
		require.Equal(t, first[i], second[i], "seed %d, line %d of %d and %d", seed, i, len(first), len(second))
	}
	require.Len(t, second, len(first), "seed %d", seed)
}
