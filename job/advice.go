package job

import (
	"slices"
	"strconv"
	"time"

	"amberway/platform"
)

// adviceRetry is the pause after a question that was not answered.
const adviceRetry = 300 * time.Millisecond

// ticketMargin is how much of a ticket's time is left for the start's way.
const ticketMargin = 300 * time.Millisecond

// advice is what the advice service has said of one step.
type advice struct {
	tickets map[platform.WorkerID]ticket
	asked   map[platform.WorkerID]bool
	pending bool
	retryAt time.Time
}

type ticket struct {
	text  string
	until time.Time
}

// RequestAdvice asks which of the workers may run the step.
type RequestAdvice struct {
	Step    string
	Workers []platform.WorkerID
	// Terms say how long the service takes.
	Terms platform.AdviceTerms
	Key   taskKey
}

func (RequestAdvice) action() {}

// AdviceResult is the outcome of an AskAdvice.
type AdviceResult struct {
	Key     taskKey
	Asked   []platform.WorkerID
	Tickets []platform.Ticket
	Valid   time.Duration
	Err     error
}

// adviceName is the name of a step at the advice service.
func (s *step) adviceName() string {
	n := s.of
	return string(n.job.id) + "." + strconv.Itoa(n.k) + "." + strconv.Itoa(s.index)
}

// adviceTicket returns the ticket for the step on the worker. Where there is none
// it asks for all workers of the pool that could run the step.
func (c *Core) adviceTicket(s *step, w *worker) (string, bool) {
	if s.advice == nil {
		s.advice = &advice{tickets: map[platform.WorkerID]ticket{}, asked: map[platform.WorkerID]bool{}}
	}
	a := s.advice
	if t, ok := a.tickets[w.ID]; ok && c.now.Add(ticketMargin).Before(t.until) {
		return t.text, true
	}
	c.requestAdvice(s, a)
	return "", false
}

func (c *Core) requestAdvice(s *step, a *advice) {
	if a.pending || c.now.Before(a.retryAt) {
		return
	}
	var l []platform.WorkerID
	for _, w := range c.pools[s.of.job.queue.Service] {
		t, has := a.tickets[w.ID]
		fresh := has && c.now.Add(ticketMargin).Before(t.until)
		refused := a.asked[w.ID] && !has
		if !fresh && !refused && w.fitsEmpty(s.Step) && (s.Requires == "" || slices.Contains(w.Labels, s.Requires)) {
			l = append(l, w.ID)
		}
	}
	if len(l) == 0 {
		return
	}
	a.pending = true
	l = l[:min(len(l), platform.MaxAdvised)]
	c.emit(RequestAdvice{Step: s.adviceName(), Workers: l, Terms: *s.of.job.queue.Advice, Key: s.tasks[0].key()})
}

// ruledOut reports whether the advice service has ruled the worker out.
func (s *step) ruledOut(w *worker) bool {
	if s.advice == nil || !s.advice.asked[w.ID] {
		return false
	}
	_, has := s.advice.tickets[w.ID]
	return !has
}

// apply takes in what the advice service has said.
func (e AdviceResult) apply(c *Core) {
	t := c.task(e.Key)
	if t == nil || t.of.advice == nil {
		return
	}
	a := t.of.advice
	a.pending = false
	if e.Err != nil {
		a.retryAt = c.now.Add(adviceRetry)
		c.emit(LogLine{What: "advice not had", Job: e.Key.id, Why: e.Err.Error()})
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
