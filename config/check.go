package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"amberway/common"
)

// Values that stand where a document says nothing.
const (
	defaultQuickPatience   = 2 * time.Second
	defaultPatientPatience = 10 * time.Minute
	defaultRunTime         = 100 * time.Millisecond
)

// MaxPatience bounds a job's patience and every request's deadline.
const MaxPatience = time.Hour

var nameRule = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Fault is one thing wrong with a document.
type Fault struct {
	// Place is the path of the field, for example pools[2].team.
	Place string `json:"place"`
	// Reason says what is wrong with it.
	Reason string `json:"reason"`
}

// FaultsError is every fault of one document.
type FaultsError []Fault

// Error lists each fault on a line of its own.
func (f FaultsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "config: %d faults", len(f))
	for _, v := range f {
		fmt.Fprintf(&b, "\n  %s: %s", v.Place, v.Reason)
	}
	return b.String()
}

// fill sets what may be left out.
func (d *Document) fill() {
	if d.Placement == (Placement{}) {
		d.Placement = Placement{MoveWeight: 1, BufferWeight: 1}
	}
	for i := range d.Services {
		d.Services[i].fill()
	}
	for i := range d.Waves {
		d.Waves[i].fill()
	}
}

func (s *Service) fill() {
	if s.Weight == 0 {
		s.Weight = 1
	}
	for i := range s.Jobs {
		s.Jobs[i].fill()
	}
}

func (j *Job) fill() {
	if j.RunTime == 0 {
		j.RunTime = defaultRunTime
	}
	if j.Patience == 0 && j.Class == common.Quick {
		j.Patience = defaultQuickPatience
	}
	if j.Patience == 0 {
		j.Patience = defaultPatientPatience
	}
}

func (w *Wave) fill() {
	if w.State == "" {
		w.State = WavePlanned
	}
	if w.Limit == 0 {
		w.Limit = 1
	}
	if w.Failures == 0 {
		w.Failures = 1
	}
}

// Check returns nil, or a FaultsError with everything that is wrong.
func (d *Document) Check() error {
	c := checker{doc: d}
	c.root()
	c.teams()
	c.pools()
	c.overlaps()
	c.services()
	c.waves()
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}

type checker struct {
	doc    *Document
	faults FaultsError
}

func (c *checker) faultf(place, format string, a ...any) {
	c.faults = append(c.faults, Fault{Place: place, Reason: fmt.Sprintf(format, a...)})
}

// name checks one name and that it is the first of its kind.
func (c *checker) name(place, name string, seen map[string]bool) {
	if !nameRule.MatchString(name) {
		c.faultf(place+".name", "%q is no name: lower-case letters, digits and hyphens, at most 63", name)
	}
	if seen[name] {
		c.faultf(place+".name", "%q stands twice", name)
	}
	seen[name] = true
}

func (c *checker) root() {
	if !nameRule.MatchString(c.doc.Operator) {
		c.faultf("operator", "%q is no name", c.doc.Operator)
	}
	if len(c.doc.DataCentres) == 0 {
		c.faultf("data_centres", "there are none")
	}
	seen := map[string]bool{}
	for i, n := range c.doc.DataCentres {
		c.name(fmt.Sprintf("data_centres[%d]", i), n, seen)
	}
	if c.doc.Placement.MoveWeight < 0 || c.doc.Placement.BufferWeight < 0 {
		c.faultf("placement", "weights are not below zero")
	}
}

func (c *checker) teams() {
	seen := map[string]bool{}
	for i, t := range c.doc.Teams {
		p := fmt.Sprintf("teams[%d]", i)
		c.name(p, t.Name, seen)
		if t.Hosts < 0 || t.Accelerators < 0 {
			c.faultf(p, "a quota is not below zero")
		}
	}
}

func (c *checker) pools() {
	seen := map[string]bool{}
	for i, o := range c.doc.Pools {
		p := fmt.Sprintf("pools[%d]", i)
		c.name(p, o.Name, seen)
		if !slices.ContainsFunc(c.doc.Teams, func(t Team) bool { return t.Name == o.Team }) {
			c.faultf(p+".team", "there is no team %q", o.Team)
		}
		if len(o.Select) == 0 {
			c.faultf(p+".select", "it selects nothing")
		}
		for k, l := range o.Select {
			if len(l) == 0 {
				c.faultf(p+".select."+k, "it has no values")
			}
		}
		c.budget(p+".budget", o.Budget)
	}
}

func (c *checker) budget(place string, b Budget) {
	for dc, n := range b.Available {
		if !slices.Contains(c.doc.DataCentres, dc) {
			c.faultf(place+".available", "there is no data centre %q", dc)
		}
		if n < 0 {
			c.faultf(place+".available."+dc, "%d is below zero", n)
		}
	}
}

// overlaps refuses pools that could select the same host. Grouping by one key
// that all selectors have keeps it linear for documents that name pools by a
// label of their own.
func (c *checker) overlaps() {
	for _, g := range groupPools(c.doc.Pools, commonKey(c.doc.Pools)) {
		for i, a := range g {
			for _, b := range g[:i] {
				c.overlap(b, a)
			}
		}
	}
}

func (c *checker) overlap(i, j int) {
	a := c.doc.Pools[i]
	b := c.doc.Pools[j]
	if a.Select.Disjoint(b.Select) {
		return
	}
	p := fmt.Sprintf("pools[%d].select", j)
	c.faultf(p, "a host could be in pool %s (%s) and in pool %s (%s): give both a label with different values",
		a.Name, a.Select, b.Name, b.Select)
}

func (c *checker) services() {
	seen := map[string]bool{}
	for i, s := range c.doc.Services {
		p := fmt.Sprintf("services[%d]", i)
		c.name(p, s.Name, seen)
		if _, ok := c.doc.Pool(s.Pool); !ok {
			c.faultf(p+".pool", "there is no pool %q", s.Pool)
		}
		if s.Weight < 1 {
			c.faultf(p+".weight", "%d is below one", s.Weight)
		}
		if len(s.Jobs) == 0 {
			c.faultf(p+".jobs", "there are none")
		}
		jobs := map[string]bool{}
		for j, v := range s.Jobs {
			q := fmt.Sprintf("%s.jobs[%d]", p, j)
			c.name(q, v.Name, jobs)
			c.job(q, v)
		}
	}
}

func (c *checker) job(place string, j Job) {
	if j.RunTime < 0 {
		c.faultf(place+".run_time", "%s is below zero", j.RunTime)
	}
	if j.Patience <= 0 || j.Patience > MaxPatience {
		c.faultf(place+".patience", "%s is not between zero and %s", j.Patience, MaxPatience)
	}
	if j.Replicas < 0 || j.Processors < 0 || j.MemoryBytes < 0 || j.Accelerators < 0 {
		c.faultf(place, "replicas, processors, memory_bytes and accelerators are not below zero")
	}
}

func (c *checker) waves() {
	seen := map[string]bool{}
	for i, w := range c.doc.Waves {
		p := fmt.Sprintf("waves[%d]", i)
		c.name(p, w.Name, seen)
		for j, n := range w.Pools {
			if _, ok := c.doc.Pool(n); !ok {
				c.faultf(fmt.Sprintf("%s.pools[%d]", p, j), "there is no pool %q", n)
			}
		}
		if !slices.Contains([]WaveState{WavePlanned, WaveRunning, WavePaused, WaveAborted}, w.State) {
			c.faultf(p+".state", "%q is none of planned, running, paused, aborted", w.State)
		}
		if w.Limit < 1 {
			c.faultf(p+".limit", "%d is below one", w.Limit)
		}
		if w.Failures < 1 {
			c.faultf(p+".failures", "%d is below one", w.Failures)
		}
	}
}
