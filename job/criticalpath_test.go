package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/platform"
)

// chained returns steps of which each depends on all earlier ones.
func chained(steps int) []platform.Step {
	l := make([]platform.Step, steps)
	for i := range l {
		l[i] = smallStep()
		for a := range i {
			l[i].After = append(l[i].After, a)
		}
	}
	return l
}

// layered returns steps in layers, each of which depends on all steps of the layer before.
func layered(layers, width int) []platform.Step {
	l := make([]platform.Step, layers*width)
	for i := range l {
		l[i] = smallStep()
		first := i / width * width
		for a := max(0, first-width); a < first; a++ {
			l[i].After = append(l[i].After, a)
		}
	}
	return l
}

// reversed returns the steps in the opposite order, so that each depends on later ones.
func reversed(l []platform.Step) []platform.Step {
	out := make([]platform.Step, len(l))
	for i, s := range l {
		for x, a := range s.After {
			s.After[x] = len(l) - 1 - a
		}
		out[len(l)-1-i] = s
	}
	return out
}

func smallStep() platform.Step {
	return platform.Step{Count: 1, Resources: platform.Resources{MilliCores: 10, MemoryMB: 10}, Estimate: 500 * time.Millisecond}
}

// TestJobWithManyDependenciesDoesNotStopTheOwner guards against an owner whose decisions take time
// exponential in the number of steps of one accepted job, so that no task is started any more.
func TestJobWithManyDependenciesDoesNotStopTheOwner(t *testing.T) {
	for name, steps := range map[string][]platform.Step{
		"chain of 26": chained(26), "chain of 256": chained(maxSteps), "32 layers": layered(32, 8), "2 layers": layered(2, maxSteps/2),
		"later steps first": reversed(chained(40)),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.join("w1")
			decided := make(chan struct{})
			go func() {
				defer close(decided)
				f.submit(idA, "quick", steps...)
				f.submit(idB, "quick", smallStep())
				f.advance(time.Second)
			}()
			select {
			case <-decided:
			case <-time.After(3 * time.Second):
				t.Fatal("the owner makes no decisions for three seconds")
			}
			started := map[ID]bool{}
			for _, a := range f.starts() {
				k, ok := parseTaskKey(a.Order.Task)
				require.True(t, ok)
				started[k.id] = true
			}
			require.Equal(t, map[ID]bool{idA: true, idB: true}, started)
		})
	}
}

// TestCriticalPathsAreTheLongestChains compares critical paths with a search of all chains.
func TestCriticalPathsAreTheLongestChains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := drawSteps(t)
		c := NewCore(100, "entry-1", Size{}, time.Unix(1e9, 0))
		r := NewRecord(platform.Queue{Name: "quick", Service: "blue"}, platform.Submission{Steps: steps}, c.now)
		require.NoError(t, r.Check())
		j := c.addJob(idA, r, 1, Progress{})
		for range 2 {
			longest := time.Duration(0)
			for i := range steps {
				d := longestChain(c, j, i)
				longest = max(longest, d)
				require.Equal(t, d, c.criticalPaths(j).from[i], "step %d", i)
			}
			require.Equal(t, longest, c.criticalPaths(j).longest)
			c.runTimes["quick"] = &runTimeEstimate{runs: 5, mean: 3 * time.Second}
		}
	})
}

// longestChain returns the expected time of the longest chain that begins with the step.
func longestChain(c *Core, j *job, step int) time.Duration {
	longest := time.Duration(0)
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			if a == step {
				longest = max(longest, longestChain(c, j, i))
			}
		}
	}
	return longest + c.expectedRunTime(j, &j.Steps[step])
}

// drawSteps draws steps that depend on each other in some order other than that of their numbers.
func drawSteps(t *rapid.T) []platform.Step {
	n := rapid.IntRange(1, 7).Draw(t, "steps")
	numbers := make([]int, n)
	for i := range numbers {
		numbers[i] = i
	}
	numbers = rapid.Permutation(numbers).Draw(t, "numbers")
	l := make([]platform.Step, n)
	for k, i := range numbers {
		l[i] = smallStep()
		l[i].Estimate = time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second
		for _, a := range numbers[:k] {
			if rapid.Bool().Draw(t, fmt.Sprint(i, " after ", a)) {
				l[i].After = append(l[i].After, a)
			}
		}
	}
	return l
}

// TestStepsThatWaitForEachOtherAreRefused checks that a cycle is found wherever it is.
func TestStepsThatWaitForEachOtherAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := drawSteps(t)
		if len(steps) < 2 {
			return
		}
		r := NewRecord(platform.Queue{Name: "quick", Service: "blue"}, platform.Submission{Steps: steps}, time.Unix(1e9, 0))
		require.NoError(t, r.Check())
		first, last := stepOrder(steps)[0], stepOrder(steps)[len(steps)-1]
		steps[first].After = append(steps[first].After, last)
		steps[last].After = append(steps[last].After, first)
		require.ErrorContains(t, r.Check(), "waits for itself")
	})
}
