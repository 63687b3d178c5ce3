package job

import (
	"slices"
	"strconv"
	"time"

	"amberway/platform"
)

// adviceRetry is the pause after a question that was not answered.
const adviceRetry = 300 * time.Millisecond

// adviceMargin is how much of a ticket's time is left for the start's way.
const adviceMargin = 300 * time.Millisecond

// advice is what the advice service has said of one step.
type advice struct {
	tickets map[platform.WorkerID]ticket
	asked   map[platform.WorkerID]bool
	asking  bool
	retryAt time.Time
}

type ticket struct {
	text  string
	until time.Time
}

// AskAdvice asks which of the workers may run the step.
type AskAdvice struct {
	Step    string
	Workers []platform.WorkerID
	// Terms say how long the service takes.
	Terms platform.AdviceTerms
	Key   taskKey
}

func (AskAdvice) action() {}

// Advised is the outcome of an AskAdvice.
type Advised struct {
	Key     taskKey
	Asked   []platform.WorkerID
	Tickets []platform.Ticket
	Valid   time.Duration
	Err     error
}

// stepName is the name of a step at the advice service.
func (s *step) stepName() string {
	n := s.of
	return string(n.job.id) + "." + strconv.Itoa(n.k) + "." + strconv.Itoa(s.index)
}

// advised returns the ticket for the step on the worker. Where there is none
// it asks for all workers of the pool that could run the step.
func (c *Core) advised(s *step, w *worker) (string, bool) {
	if s.advice == nil {
		s.advice = &advice{tickets: map[platform.WorkerID]ticket{}, asked: map[platform.WorkerID]bool{}}
	}
	a := s.advice
	if t, ok := a.tickets[w.ID]; ok && c.now.Add(adviceMargin).Before(t.until) {
		return t.text, true
	}
	c.ask(s, a)
	return "", false
}

func (c *Core) ask(s *step, a *advice) {
	if a.asking || c.now.Before(a.retryAt) {
		return
	}
	var l []platform.WorkerID
	for _, w := range c.pools[s.of.job.queue.Service] {
		t, has := a.tickets[w.ID]
		fresh := has && c.now.Add(adviceMargin).Before(t.until)
		refused := a.asked[w.ID] && !has
		if !fresh && !refused && w.could(s.Step) && (s.Requires == "" || slices.Contains(w.Labels, s.Requires)) {
			l = append(l, w.ID)
		}
	}
	if len(l) == 0 {
		return
	}
	a.asking = true
	l = l[:min(len(l), platform.MaxAdvised)]
	c.do(AskAdvice{Step: s.stepName(), Workers: l, Terms: *s.of.job.queue.Advice, Key: s.tasks[0].key()})
}

// refused reports whether the advice service has ruled the worker out.
func (s *step) refused(w *worker) bool {
	if s.advice == nil || !s.advice.asked[w.ID] {
		return false
	}
	_, has := s.advice.tickets[w.ID]
	return !has
}

// apply takes in what the advice service has said.
func (e Advised) apply(c *Core) {
	t := c.task(e.Key)
	if t == nil || t.of.advice == nil {
		return
	}
	a := t.of.advice
	a.asking = false
	if e.Err != nil {
		a.retryAt = c.now.Add(adviceRetry)
		c.do(Note{What: "advice not had", Job: e.Key.id, Why: e.Err.Error()})
		return
	}
	for _, id := range e.Asked {
		a.asked[id] = true
	}
	for _, v := range e.Tickets {
		a.tickets[v.Worker] = ticket{text: v.Text, until: c.now.Add(e.Valid)}
	}
	c.replan(t.of.of.job.queue.Service)
}
