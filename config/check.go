package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"amberway/common"
)

// Defaults of values that a document leaves out.
const (
	defaultQuickTimeout   = 2 * time.Second
	defaultPatientTimeout = 10 * time.Minute
	defaultRunTime        = 100 * time.Millisecond
)

// MaxTimeout bounds the timeout of a job and the deadline of every request.
const MaxTimeout = time.Hour

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Violation is one error in a document.
type Violation struct {
	// Path is the path of the field, for example pools[2].team.
	Path string `json:"place"`
	// Reason says what is wrong with it.
	Reason string `json:"reason"`
}

// ValidationError has all violations of one document.
type ValidationError []Violation

// Error lists each violation on its own line.
func (f ValidationError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "config: %d faults", len(f))
	for _, v := range f {
		fmt.Fprintf(&b, "\n  %s: %s", v.Path, v.Reason)
	}
	return b.String()
}

// setDefaults sets the defaults of values that the document leaves out.
func (d *Document) setDefaults() {
	if d.Placement == (Placement{}) {
		d.Placement = Placement{MoveWeight: 1, BufferWeight: 1}
	}
	for i := range d.Services {
		d.Services[i].setDefaults()
	}
	for i := range d.Waves {
		d.Waves[i].setDefaults()
	}
}

func (s *Service) setDefaults() {
	if s.Weight == 0 {
		s.Weight = 1
	}
	for i := range s.Jobs {
		s.Jobs[i].setDefaults()
	}
}

func (j *Job) setDefaults() {
	if j.RunTime == 0 {
		j.RunTime = defaultRunTime
	}
	if j.Timeout == 0 && j.Class == common.Quick {
		j.Timeout = defaultQuickTimeout
	}
	if j.Timeout == 0 {
		j.Timeout = defaultPatientTimeout
	}
}

func (w *Wave) setDefaults() {
	if w.State == "" {
		w.State = WavePlanned
	}
	if w.MaxInMaintenance == 0 {
		w.MaxInMaintenance = 1
	}
	if w.FailureLimit == 0 {
		w.FailureLimit = 1
	}
}

// Check returns nil, or a ValidationError with all violations.
func (d *Document) Check() error {
	c := checker{doc: d}
	c.root()
	c.teams()
	c.pools()
	c.overlaps()
	c.services()
	c.waves()
	if len(c.violations) == 0 {
		return nil
	}
	return c.violations
}

// checker collects the violations of a document.
type checker struct {
	doc        *Document
	violations ValidationError
}

func (c *checker) addf(path, format string, a ...any) {
	c.violations = append(c.violations, Violation{Path: path, Reason: fmt.Sprintf(format, a...)})
}

// name checks one name, and that it is not in seen, to which it adds the name.
func (c *checker) name(path, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		c.addf(path+".name", "%q is not a valid name: use at most 63 lower-case letters, digits and hyphens", name)
	}
	if seen[name] {
		c.addf(path+".name", "%q is a duplicate", name)
	}
	seen[name] = true
}

func (c *checker) root() {
	if !namePattern.MatchString(c.doc.Operator) {
		c.addf("operator", "%q is not a valid name", c.doc.Operator)
	}
	if len(c.doc.DataCentres) == 0 {
		c.addf("data_centres", "at least one is required")
	}
	seen := map[string]bool{}
	for i, n := range c.doc.DataCentres {
		c.name(fmt.Sprintf("data_centres[%d]", i), n, seen)
	}
	if c.doc.Placement.MoveWeight < 0 || c.doc.Placement.BufferWeight < 0 {
		c.addf("placement", "weights must not be negative")
	}
}

func (c *checker) teams() {
	seen := map[string]bool{}
	for i, t := range c.doc.Teams {
		p := fmt.Sprintf("teams[%d]", i)
		c.name(p, t.Name, seen)
		if t.MaxHosts < 0 || t.MaxAccelerators < 0 {
			c.addf(p, "quotas must not be negative")
		}
	}
}

func (c *checker) pools() {
	seen := map[string]bool{}
	for i, o := range c.doc.Pools {
		p := fmt.Sprintf("pools[%d]", i)
		c.name(p, o.Name, seen)
		if !slices.ContainsFunc(c.doc.Teams, func(t Team) bool { return t.Name == o.Team }) {
			c.addf(p+".team", "there is no team %q", o.Team)
		}
		if len(o.Select) == 0 {
			c.addf(p+".select", "the selector is empty")
		}
		for k, l := range o.Select {
			if len(l) == 0 {
				c.addf(p+".select."+k, "at least one value is required")
			}
		}
		c.budget(p+".budget", o.Budget)
	}
}

func (c *checker) budget(path string, b Budget) {
	for dc, n := range b.MinAvailable {
		if !slices.Contains(c.doc.DataCentres, dc) {
			c.addf(path+".available", "there is no data centre %q", dc)
		}
		if n < 0 {
			c.addf(path+".available."+dc, "%d is below zero", n)
		}
	}
}

// overlaps checks that no two pools could select the same host. It compares only pools
// with a common value for one key that all selectors have, so that it takes linear time
// if each pool has its own value of a label.
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
	c.addf(p, "a host could be in pool %s (%s) and in pool %s (%s): give both a label with different values",
		a.Name, a.Select, b.Name, b.Select)
}

func (c *checker) services() {
	seen := map[string]bool{}
	for i, s := range c.doc.Services {
		p := fmt.Sprintf("services[%d]", i)
		c.name(p, s.Name, seen)
		if _, ok := c.doc.Pool(s.Pool); !ok {
			c.addf(p+".pool", "there is no pool %q", s.Pool)
		}
		if s.Weight < 1 {
			c.addf(p+".weight", "%d is below one", s.Weight)
		}
		if len(s.Jobs) == 0 {
			c.addf(p+".jobs", "at least one is required")
		}
		jobs := map[string]bool{}
		for j, v := range s.Jobs {
			q := fmt.Sprintf("%s.jobs[%d]", p, j)
			c.name(q, v.Name, jobs)
			c.job(q, v)
		}
	}
}

func (c *checker) job(path string, j Job) {
	if j.RunTime < 0 {
		c.addf(path+".run_time", "%s is below zero", j.RunTime)
	}
	if j.Timeout <= 0 || j.Timeout > MaxTimeout {
		c.addf(path+".patience", "%s is not between zero and %s", j.Timeout, MaxTimeout)
	}
	if j.Replicas < 0 || j.Processors < 0 || j.MemoryBytes < 0 || j.Accelerators < 0 {
		c.addf(path, "replicas, processors, memory_bytes and accelerators must not be negative")
	}
}

func (c *checker) waves() {
	seen := map[string]bool{}
	for i, w := range c.doc.Waves {
		p := fmt.Sprintf("waves[%d]", i)
		c.name(p, w.Name, seen)
		for j, n := range w.Pools {
			if _, ok := c.doc.Pool(n); !ok {
				c.addf(fmt.Sprintf("%s.pools[%d]", p, j), "there is no pool %q", n)
			}
		}
		if !slices.Contains([]WaveState{WavePlanned, WaveRunning, WavePaused, WaveAborted}, w.State) {
			c.addf(p+".state", "%q is none of planned, running, paused, aborted", w.State)
		}
		if w.MaxInMaintenance < 1 {
			c.addf(p+".limit", "%d is below one", w.MaxInMaintenance)
		}
		if w.FailureLimit < 1 {
			c.addf(p+".failures", "%d is below one", w.FailureLimit)
		}
	}
}
