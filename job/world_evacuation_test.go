package job

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Limits of the model of evacuations.
const (
	// modelDataCentres is the number of data centres, over which the hosts are spread.
	modelDataCentres = 3
	// modelEvacuationWithin is how long after its acknowledgement an evacuation may take to be
	// in force.
	modelEvacuationWithin = 5 * time.Second
	// operatorReadEvery is the interval at which the owner reads the operator's keys, unless
	// the store turns it away.
	operatorReadEvery = 500 * time.Millisecond
)

// worldEvacuations is the model's state of evacuations. In worlds without them, limited is not
// set, and owners need not read the operator's keys.
type worldEvacuations struct {
	limited bool
	// inForce are the evacuations in the store, acknowledgedAt the times at which the store took
	// them.
	inForce        Evacuations
	acknowledgedAt map[string]time.Time
	// refused are the owners that the store turns away.
	refused    map[*worldOwner]bool
	nextReadAt time.Time
}

func newWorldEvacuations() worldEvacuations {
	return worldEvacuations{inForce: evacuationsOf(0), acknowledgedAt: map[string]time.Time{}, refused: map[*worldOwner]bool{}}
}

// dataCentreOf returns the data centre of a host of the model, by the last digit of its name.
func dataCentreOf(host string) string {
	return fmt.Sprint("dc-", int(host[len(host)-1]-'0')%modelDataCentres)
}

// setEvacuated has the operator evacuate a data centre or withdraw its evacuation. The present
// owner is told after up to a second, so that changes may be told in another order than they were
// made.
func (w *world) setEvacuated(dataCentre string, evacuated bool) {
	w.store.revision++
	next := Evacuations{At: w.store.revision, DataCentres: maps.Clone(w.inForce.DataCentres)}
	if evacuated {
		next.DataCentres[dataCentre] = w.store.revision
		w.acknowledgedAt[dataCentre] = w.now
	} else {
		delete(next.DataCentres, dataCentre)
	}
	w.inForce = next
	o := w.owners[len(w.owners)-1]
	w.after(time.Duration(rapid.IntRange(0, 1000).Draw(w.t, "told_after_ms"))*time.Millisecond, func() { w.tellEvacuations(o, next) })
}

// tellEvacuations tells an owner of evacuations unless it is frozen or the store turns it away.
func (w *world) tellEvacuations(o *worldOwner, e Evacuations) {
	if o.frozen || w.refused[o] {
		return
	}
	if e.At > o.heard.At {
		o.heard = e
	}
	w.tell(o, EvacuationsChanged{Evacuations: e, Source: "watch"})
}

// readOperator has owners whose claim is in the store read the operator's keys.
func (w *world) readOperator() {
	if !w.limited || w.now.Before(w.nextReadAt) {
		return
	}
	w.nextReadAt = w.now.Add(operatorReadEvery)
	o := w.owners[len(w.owners)-1]
	if o.frozen || w.refused[o] {
		return
	}
	w.tellEvacuations(o, w.inForce)
	w.tell(o, OperatorRead{StartsUntil: w.startsUntil()})
}

func (w *world) startsUntil() time.Time {
	return Settings{EvacuationWithin: modelEvacuationWithin}.startsUntil(w.now)
}

// inheritEvacuations adds what a next owner lists.
func (w *world) inheritEvacuations(o *worldOwner, e *Inherited) {
	if !w.limited {
		return
	}
	o.heard = w.inForce
	e.Evacuations, e.StartsUntil = w.inForce, w.startsUntil()
}

// refuseOwner has the store turn the owner away for a while, although nobody takes over.
func (w *world) refuseOwner() {
	o := w.owners[len(w.owners)-1]
	w.refused[o] = true
	w.after(time.Duration(rapid.IntRange(1, 8).Draw(w.t, "refused_s"))*time.Second, func() { delete(w.refused, o) })
}

// checkEvacuated checks that an owner starts nothing in a data centre whose evacuation it was
// told, or that was acknowledged so long ago that it has to be in force when the start arrives.
func (w *world) checkEvacuated(o *worldOwner, a StartRun) {
	dc := a.Worker.DataCentre
	if _, told := o.heard.DataCentres[dc]; told {
		w.t.Fatalf("%s starts on %s in %s, whose evacuation its owner was told", a.Order.Task, a.Worker.ID, dc)
	}
	_, evacuated := w.inForce.DataCentres[dc]
	if since := w.now.Sub(w.acknowledgedAt[dc]); evacuated && since > modelEvacuationWithin-orderTimeout {
		w.t.Fatalf("%s starts on %s in %s, which was evacuated %s ago", a.Order.Task, a.Worker.ID, dc, since)
	}
}

// TestEvacuationsHoldUnderFaults evacuates data centres under lost and late messages, crashes,
// partitions, changes of owner, and a store that turns the owner away. No owner starts a task
// where that has to have been given up. Finally one data centre is left evacuated, all faults
// stop, and every job has to end elsewhere.
func TestEvacuationsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newWorld(t).playEvacuations() })
}

func (w *world) playEvacuations() {
	t := w.t
	w.limited = true
	w.readOperator()
	dataCentre := func() string {
		return fmt.Sprint("dc-", rapid.IntRange(0, modelDataCentres-1).Draw(t, "data_centre"))
	}
	t.Repeat(map[string]func(*rapid.T){
		"submit": func(*rapid.T) { w.submit() },
		"pass": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"evacuate": func(*rapid.T) { w.setEvacuated(dataCentre(), true) },
		"withdraw": func(*rapid.T) { w.setEvacuated(dataCentre(), false) },
		"both at once": func(*rapid.T) {
			d := dataCentre()
			w.setEvacuated(d, true)
			w.setEvacuated(d, false)
		},
		"unseen": func(t *rapid.T) {
			w.refuseOwner()
			w.setEvacuated(dataCentre(), true)
			w.advance(time.Duration(rapid.IntRange(40, 60).Draw(t, "tenths")) * 100 * time.Millisecond)
			w.submit()
		},
		"refuse":  func(*rapid.T) { w.refuseOwner() },
		"lossy":   func(t *rapid.T) { w.lossy = rapid.Bool().Draw(t, "lossy") },
		"cut":     func(*rapid.T) { v := w.pickWorker(); v.partitioned = !v.partitioned },
		"crash":   func(*rapid.T) { w.crash() },
		"unlist":  func(*rapid.T) { w.unlist() },
		"kill":    func(*rapid.T) { w.replaceOwner(func(o *worldOwner) { o.dead = true }) },
		"freeze":  func(*rapid.T) { w.replaceOwner(w.freeze) },
		"abandon": func(*rapid.T) { w.deposeOwner() },
		"split":   func(*rapid.T) { w.split() },
	})
	for i := range modelDataCentres {
		w.setEvacuated(fmt.Sprint("dc-", i), i == 0)
	}
	clear(w.refused)
	w.heal()
	require.Empty(t, w.store.records, "jobs that never end")
}
