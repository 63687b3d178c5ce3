package job

import (
	"slices"

	"amberway/platform"
)

// maxNeedySteps is how many steps with waiting tasks, the most urgent first, are looked at for the
// workers that they need.
const maxNeedySteps = 256

// startNeeds tells which workers of a pool waiting tasks need, as no other one suits them.
type startNeeds struct {
	// homeless are the steps that no worker suits which gets starts.
	homeless []*step
	// only are the workers that are the last one to get starts and to suit a step.
	only map[*worker]bool
}

// neededForStarts reports whether a task waits that may run on the worker and on no other one that
// gets starts.
func (c *Core) neededForStarts(w *worker) bool {
	if c.balance.unplaced[w.Service] == (platform.Resources{}) {
		return false
	}
	n := c.drains.needs[w.Service]
	if n == nil {
		n = c.findStartNeeds(w.Service)
		c.drains.needs[w.Service] = n
	}
	return n.only[w] || slices.ContainsFunc(n.homeless, w.suits)
}

// findStartNeeds returns what the waiting tasks of a service need.
func (c *Core) findStartNeeds(service string) *startNeeds {
	n := &startNeeds{only: map[*worker]bool{}}
	var open []*worker
	for _, w := range c.pools[service] {
		if w.acceptsStarts(c.now) {
			open = append(open, w)
		}
	}
	looked := 0
	for _, s := range c.listOf(service).steps {
		if s.idle == 0 {
			continue
		}
		if looked++; looked > maxNeedySteps {
			break
		}
		n.add(s.step, open)
	}
	return n
}

// add adds what the waiting tasks of a step need, given the workers that get starts.
func (n *startNeeds) add(s *step, open []*worker) {
	var first *worker
	for _, w := range open {
		switch {
		case !w.suits(s):
		case first == nil:
			first = w
		default:
			return
		}
	}
	if first == nil {
		n.homeless = append(n.homeless, s)
		return
	}
	n.only[first] = true
}

// suits reports whether the worker may run a task of the step once it has room for it.
func (w *worker) suits(s *step) bool {
	return w.fitsEmpty(s.Step) && s.acceptsWorker(w)
}
