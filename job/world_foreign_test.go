package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/platform"
)

// worldForeign is the model's state of records that another writer puts beside those of the workers.
type worldForeign struct {
	foreign []platform.Worker
}

// addForeign puts records with all fields at whose addresses nobody answers. Some name the host of a
// worker.
func (w *world) addForeign() {
	for range rapid.IntRange(1, 6).Draw(w.t, "foreign") {
		id := platform.WorkerID(fmt.Sprint("other-", len(w.foreign)))
		host := string(id)
		if rapid.IntRange(0, 3).Draw(w.t, "on_a_host") == 0 {
			host = w.pickWorker().Host
		}
		v := &worldWorker{unreachableBy: map[*worldOwner]bool{}, runs: map[string]*worldRun{}, highestRun: map[string]int64{}}
		v.Worker = platform.Worker{ID: id, Service: "blue", Host: host, DataCentre: dataCentreOf(host), Capacity: platform.Resources{MilliCores: fullWorkerCores, MemoryMB: 4000}}
		w.workers[id] = v
		w.latestByName[id.Name()] = v
		w.foreign = append(w.foreign, v.Worker)
		w.writeRecord(v)
	}
}

// TestPromisesHoldBesideRecordsOfOtherWriters puts records for which nobody answers beside those of the
// workers, while messages are lost, workers are cut off, and owners change. It guards against owners
// that give up in turn, and jobs that wait for such workers.
func TestPromisesHoldBesideRecordsOfOtherWriters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newWorld(t).playForeign() })
}

func (w *world) playForeign() {
	t := w.t
	t.Repeat(map[string]func(*rapid.T){
		"submit": func(*rapid.T) { w.submit() },
		"pass": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"foreign": func(*rapid.T) {
			if len(w.foreign) < 20 {
				w.addForeign()
			}
		},
		"cut":    func(*rapid.T) { v := w.pickWorker(); v.partitioned = !v.partitioned },
		"lossy":  func(t *rapid.T) { w.lossy = rapid.Bool().Draw(t, "lossy") },
		"cancel": func(*rapid.T) { w.cancelSome() },
		"crash":  func(*rapid.T) { w.crash() },
		"kill":   func(*rapid.T) { w.replaceOwner(func(o *worldOwner) { o.dead = true }) },
		"freeze": func(*rapid.T) { w.replaceOwner(w.freeze) },
	})
	w.heal()
	require.Empty(t, w.store.records, "jobs that never end")
}
