package fleet

import (
	"fmt"
	"time"
)

// DataCentres is the number of data centres, over which the machines are spread.
const DataCentres = 2

// DataCentre returns the name of data centre n, modulo their number.
func DataCentre(n int) string {
	return fmt.Sprint("dc-", n%DataCentres)
}

// EvacuatedStart is a start in an evacuated data centre.
type EvacuatedStart struct {
	StartedRun
	// EvacuatedFor is how long the data centre had been evacuated.
	EvacuatedFor time.Duration
}

// evacuationChecks records which data centres are evacuated and what starts there.
type evacuationChecks struct {
	// evacuatedAt is when the store accepted each evacuation that lasts, count how many there
	// were.
	evacuatedAt map[string]time.Time
	count       int
	starts      []EvacuatedStart
}

func newEvacuationChecks() evacuationChecks {
	return evacuationChecks{evacuatedAt: map[string]time.Time{}}
}

func (c *evacuationChecks) recordStart(r StartedRun, dataCentre string) {
	if at, ok := c.evacuatedAt[dataCentre]; ok {
		c.starts = append(c.starts, EvacuatedStart{StartedRun: r, EvacuatedFor: r.StartedAt.Sub(at)})
	}
}

// EvacuatedStarts returns the starts in data centres that had been evacuated for longer than the
// limit.
func (c *Checker) EvacuatedStarts(limit time.Duration) []EvacuatedStart {
	c.mu.Lock()
	defer c.mu.Unlock()
	var l []EvacuatedStart
	for _, s := range c.starts {
		if s.EvacuatedFor > limit {
			l = append(l, s)
		}
	}
	return l
}

// EvacuationCount returns how many evacuations were requested.
func (c *Checker) EvacuationCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Evacuate requests the evacuation of a data centre as the operator does. A data centre that is
// evacuated already stays so.
func (f *Fleet) Evacuate(dataCentre string) error {
	if err := f.Store.Put("op/evacuate/"+dataCentre, map[string]any{}); err != nil {
		return err
	}
	c := f.Checker
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	if _, ok := c.evacuatedAt[dataCentre]; !ok {
		c.evacuatedAt[dataCentre] = time.Now()
	}
	return nil
}

// WithdrawEvacuation withdraws the evacuation of a data centre as the operator does.
func (f *Fleet) WithdrawEvacuation(dataCentre string) {
	c := f.Checker
	c.mu.Lock()
	delete(c.evacuatedAt, dataCentre)
	c.mu.Unlock()
	f.Store.Remove("op/evacuate/" + dataCentre)
}
