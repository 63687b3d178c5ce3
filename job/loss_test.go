package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// lossOf returns the logged cause of the first lost run.
func (f *fixture) lossOf() string {
	for _, a := range f.out {
		if n, ok := a.(LogLine); ok && n.What == "run gone" {
			return fmt.Sprint(n.Fields[1])
		}
	}
	return ""
}

func TestLogDistinguishesLossCauses(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(f *fixture)
		want loss
	}{
		"crash": {func(f *fixture) { f.fail("w1", platform.ErrOtherIncarnation) }, lossCrash},
		"leave": {func(f *fixture) {
			w := testWorker("w1")
			w.Draining = true
			f.step(WorkerListed{Worker: w})
			f.fail("w1", platform.ErrOtherIncarnation)
		}, lossLeft},
		"record removed before it fell silent": {func(f *fixture) {
			f.step(WorkerUnlisted{Name: "w1"})
			f.advance(tickEvery)
			f.answer("w1", platform.PollReply{Running: []platform.RunningRow{{Task: idA + ".0.0.0", Run: f.core.lastRun}}})
			f.fail("w1", platform.ErrOtherIncarnation)
		}, lossLeft},
		"lease expired": {func(f *fixture) {
			for range 30 {
				f.fail("w1", platform.ErrUnknownOutcome)
				f.advance(pollRetry)
			}
		}, lossExpired},
		"order": {func(f *fixture) {
			f.listMachines(machineOf("w1", "blue"))
			f.core.recordOrder(f.core.machinesByName["host-of-w1"], &machineOrder{pool: "green"})
			f.fail("w1", platform.ErrOtherIncarnation)
		}, lossOrder},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.join("w1")
			f.submit(idA, "quick", platform.Step{Count: 1, Resources: platform.Resources{MilliCores: 1000}, Estimate: time.Minute})
			l := f.starts()
			require.Len(t, l, 1)
			f.acceptStart(l[0])
			f.advance(tickEvery)
			c.do(f)
			require.EqualValues(t, c.want, f.lossOf())
		})
	}
}
