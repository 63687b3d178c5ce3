package job

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/platform"
)

// worldLists is the model's state of lists of ends that are cut, and of writes that fail.
type worldLists struct {
	// maxListedEnds is the most ends that a worker lists at once; zero is unlimited.
	maxListedEnds int
	// writesFailUntil is the time until which the store refuses writes, though leases are renewed.
	writesFailUntil time.Time
	// cutLists counts the answers that did not list all ends.
	cutLists int
}

var errWriteRefused = errors.New("write refused")

// listEnds adds the worker's ends to its answer, as many as it lists at once.
func (w *world) listEnds(v *worldWorker, p *platform.PollReply) {
	l := v.ended
	if w.maxListedEnds > 0 && len(l) >= w.maxListedEnds {
		p.MoreEnds = true
		if len(l) > w.maxListedEnds {
			w.cutLists++
		}
		l = l[:w.maxListedEnds]
	}
	for _, e := range l {
		p.Ended = append(p.Ended, e.row)
	}
}

// submitManyTasks submits a job of many small tasks.
func (w *world) submitManyTasks() {
	s := smallStep()
	s.Count = rapid.IntRange(2, 20).Draw(w.t, "tasks")
	w.submitSteps(s)
}

// TestPromisesHoldWhenEndsAreListedInParts has workers list only some of their ends at once, while
// writes are slow or refused for a while, messages are lost, workers crash, and owners change.
func TestPromisesHoldWhenEndsAreListedInParts(t *testing.T) {
	cut := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.playLists()
		cut += w.cutLists
	})
	require.Positive(t, cut)
}

func (w *world) playLists() {
	t := w.t
	w.maxListedEnds = rapid.IntRange(1, 4).Draw(t, "listed")
	t.Repeat(map[string]func(*rapid.T){
		"submit":            func(*rapid.T) { w.submit() },
		"submit many tasks": func(*rapid.T) { w.submitManyTasks() },
		"pass": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"refuse writes": func(t *rapid.T) {
			w.writesFailUntil = w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"lossy":  func(t *rapid.T) { w.lossy = rapid.Bool().Draw(t, "lossy") },
		"cancel": func(*rapid.T) { w.cancelSome() },
		"crash":  func(*rapid.T) { w.crash() },
		"kill":   func(*rapid.T) { w.replaceOwner(func(o *worldOwner) { o.dead = true }) },
		"abandon": func(*rapid.T) {
			// An owner that another host replaces has not renewed its lease for ownerTTL.
			w.owner().cut = true
			w.deposeOwner()
		},
		"slow": func(t *rapid.T) {
			w.slowBy = rapid.SampledFrom([]int{1, 10, 100}).Draw(t, "slow_by")
		},
	})
	w.writesFailUntil = w.now
	w.heal()
	require.Empty(t, w.store.records, "jobs that never end")
}
