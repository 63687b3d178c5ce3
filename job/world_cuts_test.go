package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/platform"
)

// worldCuts is the model's state of workers that are cut off one after the other.
type worldCuts struct {
	// noSparePool says that the configuration has no spare pool, so that no move starts a new
	// incarnation of a worker.
	noSparePool bool
	// cleared counts the tainted workers that were cleared.
	cleared int
}

// services returns the services of the configuration.
func (w *worldCuts) services(l []platform.Service) []platform.Service {
	if w.noSparePool {
		return l[:len(l)-1]
	}
	return l
}

// TestPromisesHoldWhenWorkersAreCutOffInTurn cuts each worker off for about as long as its lease, with
// and without a spare pool, while messages are lost, records disappear and owners change. No worker
// crashes, so that each has to be used again as it is.
func TestPromisesHoldWhenWorkersAreCutOffInTurn(t *testing.T) {
	cleared := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.playCuts()
		cleared += w.cleared
	})
	require.Positive(t, cleared)
}

func (w *world) playCuts() {
	t := w.t
	w.noSparePool = rapid.Bool().Draw(t, "no_spare_pool")
	w.replaceOwner(func(o *worldOwner) { o.dead = true })
	t.Repeat(map[string]func(*rapid.T){
		"submit":            func(*rapid.T) { w.submit() },
		"submit many tasks": func(*rapid.T) { w.submitManyTasks() },
		"pass": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"cut in turn": func(*rapid.T) { w.cutInTurn() },
		"cut":         func(*rapid.T) { v := w.pickWorker(); v.partitioned = !v.partitioned },
		"unlist":      func(*rapid.T) { w.unlist() },
		"lossy":       func(t *rapid.T) { w.lossy = rapid.Bool().Draw(t, "lossy") },
		"cancel":      func(*rapid.T) { w.cancelSome() },
		"kill":        func(*rapid.T) { w.replaceOwner(func(o *worldOwner) { o.dead = true }) },
		"freeze":      func(*rapid.T) { w.replaceOwner(w.freeze) },
	})
	w.heal()
	require.Empty(t, w.store.records, "jobs that never end")
}

// cutInTurn cuts off one worker after the other, as jobs arrive.
func (w *world) cutInTurn() {
	for _, v := range w.workersByStart {
		w.submit()
		w.advance(200 * time.Millisecond)
		v.partitioned = true
		w.advance(time.Duration(rapid.IntRange(35, 60).Draw(w.t, "cut_tenths")) * 100 * time.Millisecond)
		v.partitioned = false
		w.advance(time.Duration(rapid.IntRange(1, 20).Draw(w.t, "healed_tenths")) * 100 * time.Millisecond)
	}
}
