package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawPlacement draws the workers, jobs and weights of a placement.
func drawPlacement(t *rapid.T) PlaceInput {
	in := PlaceInput{
		MoveWeight:   float64(rapid.IntRange(0, 5).Draw(t, "move")),
		BufferWeight: float64(rapid.IntRange(0, 5).Draw(t, "buffer")),
	}
	for n := range rapid.IntRange(1, 8).Draw(t, "workers") {
		in.Workers = append(in.Workers, Worker{
			Name: fmt.Sprint("w", n), Rack: fmt.Sprint("r", n/2),
			Capacity: Resources{Processors: rapid.IntRange(1, 16).Draw(t, "has"), MemoryBytes: 64, Accelerators: rapid.IntRange(0, 2).Draw(t, "accelerators")},
		})
	}
	for n := range rapid.IntRange(1, 6).Draw(t, "jobs") {
		in.Jobs = append(in.Jobs, JobSpec{
			Name: fmt.Sprint("j", n), Replicas: rapid.IntRange(1, 4).Draw(t, "replicas"),
			Need: Resources{Processors: rapid.IntRange(1, 8).Draw(t, "needs"), MemoryBytes: 8, Accelerators: rapid.IntRange(0, 1).Draw(t, "needs accelerators")},
		})
	}
	return in
}

// checkPlacement recounts a placement and checks it against the rules.
func checkPlacement(t *rapid.T, in PlaceInput, out PlaceOutput) {
	used := map[string]Resources{}
	for _, j := range in.Jobs {
		l := out.Placement[j.Name]
		if len(l) > j.Replicas || len(slices.Compact(slices.Clone(l))) != len(l) {
			t.Fatalf("%s is on %v with %d replicas", j.Name, l, j.Replicas)
		}
		if _, lacks := out.Unplaced[j.Name]; lacks != (len(l) < j.Replicas) {
			t.Fatalf("%s is on %v of %d, and the reason is %q", j.Name, l, j.Replicas, out.Unplaced[j.Name])
		}
		for _, h := range l {
			used[h] = used[h].plus(j.Need)
		}
	}
	for _, w := range in.Workers {
		if !w.Capacity.fits(used[w.Name]) {
			t.Fatalf("%s has %+v and holds %+v", w.Name, w.Capacity, used[w.Name])
		}
	}
}

// TestPlacementFitsWithoutNeedlessMoves checks that no worker holds more than its
// capacity, that jobs that lack replicas are reported, that a placement that still fits
// is kept unless moves empty enough workers, and that the loss of a worker moves no more
// replicas than it had.
func TestPlacementFitsWithoutNeedlessMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawPlacement(t)
		first := Place(in)
		checkPlacement(t, in, first)
		second := checkMovesWorthwhile(t, in, first)
		unpacked := in
		unpacked.BufferWeight = 0
		checkMovesWorthwhile(t, in, Place(unpacked))
		in.Current = first.Placement
		lost := rapid.SampledFrom(in.Workers).Draw(t, "lost")
		in.Workers = slices.DeleteFunc(slices.Clone(in.Workers), func(w Worker) bool { return w.Name == lost.Name })
		in.BufferWeight = 0
		third := Place(in)
		checkPlacement(t, in, third)
		affected := 0
		for _, l := range second.Placement {
			if slices.Contains(l, lost.Name) {
				affected++
			}
		}
		in.Current = second.Placement
		if n := Place(in).Moves; n > affected {
			t.Fatalf("the loss of a worker with %d replicas moved %d replicas", affected, n)
		}
	})
}

// checkMovesWorthwhile places again, starting from an earlier placement, and requires
// that the emptied workers are worth the moves.
func checkMovesWorthwhile(t *rapid.T, in PlaceInput, before PlaceOutput) PlaceOutput {
	in.Current = before.Placement
	after := Place(in)
	checkPlacement(t, in, after)
	saved := float64(before.UsedWorkers-after.UsedWorkers) * in.BufferWeight
	if len(before.Unplaced) == 0 && after.Moves > 0 && float64(after.Moves)*in.MoveWeight >= saved && in.MoveWeight > 0 {
		t.Fatalf("%d moves saved %d workers: %v to %v", after.Moves, before.UsedWorkers-after.UsedWorkers, before.Placement, after.Placement)
	}
	return after
}

// smallPlaceInput returns 12 workers in 3 racks and five jobs.
func smallPlaceInput(move, buffer float64) PlaceInput {
	in := PlaceInput{MoveWeight: move, BufferWeight: buffer}
	for n := range 12 {
		in.Workers = append(in.Workers, Worker{Name: fmt.Sprintf("w%02d", n), Rack: fmt.Sprint("r", n/4), Capacity: Resources{Processors: 16, MemoryBytes: 32 << 30}})
	}
	for n := range 5 {
		in.Jobs = append(in.Jobs, JobSpec{Name: fmt.Sprint("j", n), Replicas: 3, Need: Resources{Processors: 4, MemoryBytes: 4 << 30}})
	}
	return in
}

// TestWeightsDecideBetweenMovesAndBuffer checks that jobs stay where they are if moves
// cost more than idle workers, and are packed otherwise.
func TestWeightsDecideBetweenMovesAndBuffer(t *testing.T) {
	spread := Place(smallPlaceInput(5, 1))
	require.Equal(t, 12, spread.UsedWorkers)
	for _, l := range spread.Placement {
		racks := map[string]bool{}
		for _, h := range l {
			racks[h[:2]+fmt.Sprint(slices.Index([]string{"w00", "w01", "w02", "w03"}, h) >= 0, h >= "w08")] = true
		}
		require.Len(t, l, 3)
		require.GreaterOrEqual(t, len(racks), 2)
	}
	in := smallPlaceInput(1, 5)
	in.Current = spread.Placement
	packed := Place(in)
	require.Less(t, packed.UsedWorkers, 8)
	require.Positive(t, packed.Moves)
	in = smallPlaceInput(5, 1)
	in.Current = spread.Placement
	require.Zero(t, Place(in).Moves)
}

// TestUnplaceableJobIsReported checks the reason that operators get for a job that no
// worker is large enough for.
func TestUnplaceableJobIsReported(t *testing.T) {
	in := smallPlaceInput(1, 1)
	in.Jobs = append(in.Jobs, JobSpec{Name: "huge", Replicas: 1, Need: Resources{Processors: 64}})
	out := Place(in)
	require.Equal(t, []string{"huge"}, slices.Collect(maps.Keys(out.Unplaced)))
	require.Contains(t, out.Unplaced["huge"], "no worker has 64 processors")
}
