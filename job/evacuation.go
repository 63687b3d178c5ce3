package job

import (
	"maps"
	"slices"
	"strings"
	"time"

	"amberway/platform"
)

// Evacuations are the data centres that the operator has evacuated, as of a revision of the
// store. Their workers get no starts. What runs there goes on until it ends.
type Evacuations struct {
	At platform.Revision
	// DataCentres holds the revision of each evacuation.
	DataCentres map[string]platform.Revision
}

// listEvacuations returns the evacuations among all entries of the operator.
func listEvacuations(l []platform.Entry, at platform.Revision) Evacuations {
	e := Evacuations{At: at, DataCentres: map[string]platform.Revision{}}
	for _, v := range l {
		if d, ok := platform.EvacuatedDataCentre(v.Key); ok {
			e.DataCentres[d] = v.Revision
		}
	}
	return e
}

// changed returns the evacuations after the changes, which are complete up to the revision.
func (e Evacuations) changed(l []platform.Event, at platform.Revision) Evacuations {
	next := Evacuations{At: at, DataCentres: map[string]platform.Revision{}}
	maps.Copy(next.DataCentres, e.DataCentres)
	for _, v := range l {
		d, ok := platform.EvacuatedDataCentre(v.Key)
		switch {
		case !ok:
		case v.Deleted:
			delete(next.DataCentres, d)
		default:
			next.DataCentres[d] = v.Revision
		}
	}
	return next
}

// names returns the evacuated data centres in alphabetical order.
func (e Evacuations) names() []string {
	return slices.Sorted(maps.Keys(e.DataCentres))
}

// evacuationState is what an owner knows of evacuations.
type evacuationState struct {
	evacuations Evacuations
	// startsUntil is the time until which the owner may start tasks unless it reads the keys of
	// the operator again: an evacuation that it has not read may be in force by then. Zero
	// means no limit.
	startsUntil time.Time
	// startsHeld reports whether starts are held back because startsUntil has passed.
	startsHeld bool
}

// EvacuationsChanged reports the evacuations in force.
type EvacuationsChanged struct {
	Evacuations
	// Source is how they were read: by a list or a watch of the store, or at the takeover.
	Source string
}

// OperatorRead reports that the keys of the operator have been read. StartsUntil is the time
// until which tasks may start without another read.
type OperatorRead struct {
	StartsUntil time.Time
}

// startsUntil returns the time until which an owner may start tasks if the keys of the operator
// were last known to be current at the time t. A start may take orderTimeout to reach its worker.
func (s Settings) startsUntil(t time.Time) time.Time {
	if s.EvacuationWithin == 0 {
		return time.Time{}
	}
	return t.Add(s.EvacuationWithin - orderTimeout)
}

// apply puts the evacuations in force, unless those in force are as of a later revision: a
// takeover reads them beside the watch.
func (e EvacuationsChanged) apply(c *Core) {
	if e.At < c.evacuations.At {
		return
	}
	before := c.evacuations
	c.evacuations = e.Evacuations
	if maps.Equal(before.DataCentres, e.DataCentres) {
		return
	}
	for _, w := range c.workers {
		c.markEvacuated(w)
	}
	c.logEvacuations(before, e.Source)
	c.reorderAll()
}

// logEvacuations logs which evacuations have begun and which have ended.
func (c *Core) logEvacuations(before Evacuations, source string) {
	for _, d := range c.evacuations.names() {
		if _, known := before.DataCentres[d]; !known {
			c.emit(LogLine{What: "data centre evacuated", Why: "requested by the operator", Fields: c.evacuationFields(d, c.evacuations.DataCentres[d], source)})
		}
	}
	for _, d := range before.names() {
		if _, lasts := c.evacuations.DataCentres[d]; !lasts {
			c.emit(LogLine{What: "evacuation ended", Why: "withdrawn by the operator", Fields: c.evacuationFields(d, before.DataCentres[d], source)})
		}
	}
}

func (c *Core) evacuationFields(dataCentre string, r platform.Revision, source string) []any {
	v := c.evacuationOverview(dataCentre, r)
	return []any{"data_centre", dataCentre, "revision", int64(r), "at", int64(c.evacuations.At), "source", source, "workers", v.Workers, "runs", v.Runs}
}

// apply extends the time until which tasks may start.
func (e OperatorRead) apply(c *Core) {
	if e.StartsUntil.Before(c.startsUntil) {
		return
	}
	c.startsUntil = e.StartsUntil
	c.checkOperatorRead()
}

// mayHaveMissedEvacuation reports whether an evacuation that the owner has not read may have to
// be in force.
func (c *Core) mayHaveMissedEvacuation() bool {
	return !c.startsUntil.IsZero() && c.now.After(c.startsUntil)
}

// checkOperatorRead logs when starts begin or cease to be held back because the keys of the
// operator could not be read.
func (c *Core) checkOperatorRead() {
	held := c.mayHaveMissedEvacuation()
	switch {
	case held && !c.startsHeld:
		c.emit(LogLine{What: "starts held back", Why: "the operator's keys have not been read in time, a data centre may have been evacuated", Fields: []any{"late_ms", c.now.Sub(c.startsUntil).Milliseconds()}})
	case !held && c.startsHeld:
		c.emit(LogLine{What: "starts resumed", Why: "the operator's keys have been read"})
		c.reorderAll()
	}
	c.startsHeld = held
}

// isEvacuated reports whether the data centre is evacuated.
func (c *Core) isEvacuated(dataCentre string) bool {
	_, ok := c.evacuations.DataCentres[dataCentre]
	return ok
}

func (c *Core) markEvacuated(w *worker) {
	w.evacuated = c.isEvacuated(w.DataCentre)
}

// EvacuationOverview summarises the evacuation of one data centre.
type EvacuationOverview struct {
	DataCentre string `json:"data_centre"`
	// Revision is the revision of the store at which it was requested.
	Revision platform.Revision `json:"revision"`
	// Workers and Runs count the workers in the data centre and what still runs on them.
	Workers int `json:"workers"`
	Runs    int `json:"runs"`
}

func (c *Core) evacuationOverview(dataCentre string, r platform.Revision) EvacuationOverview {
	v := EvacuationOverview{DataCentre: dataCentre, Revision: r}
	for _, w := range c.workers {
		if w.DataCentre == dataCentre && w.listed {
			v.Workers++
			v.Runs += len(w.runs)
		}
	}
	return v
}

func (c *Core) evacuationOverviews() []EvacuationOverview {
	var l []EvacuationOverview
	for _, d := range c.evacuations.names() {
		l = append(l, c.evacuationOverview(d, c.evacuations.DataCentres[d]))
	}
	return l
}

// logHeldStarts logs the tasks of a pool that wait for room while the pool has workers in
// evacuated data centres.
func (c *Core) logHeldStarts(service string, waiting platform.Resources) {
	evacuated := 0
	for _, w := range c.pools[service] {
		if w.evacuated {
			evacuated++
		}
	}
	if evacuated == 0 || waiting.MilliCores == 0 {
		return
	}
	c.emit(LogLine{What: "starts held back", Why: "workers of the pool are in evacuated data centres", Fields: []any{
		"service", service, "evacuated_workers", evacuated, "cores_waiting", waiting.MilliCores / 1000, "data_centres", strings.Join(c.evacuations.names(), ","),
	}})
}

// remainingOutside counts the tasks of the step that are not done and do not run in an evacuated
// data centre: those that need a host elsewhere.
func (c *Core) remainingOutside(s *step) int {
	n := s.remaining
	if len(c.evacuations.DataCentres) == 0 {
		return n
	}
	for _, t := range s.tasks {
		if !t.done && t.runsEvacuated() {
			n--
		}
	}
	return n
}

// runsEvacuated reports whether the task runs in an evacuated data centre.
func (t *task) runsEvacuated() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.worker.evacuated })
}
