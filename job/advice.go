package job

import (
	"slices"
	"strconv"
	"time"

	"amberway/platform"
)

// adviceRetry is the delay before a failed request for advice is retried.
const adviceRetry = 300 * time.Millisecond

// ticketMargin is how long a ticket must still be valid when it is used, so that it has
// not expired by the time the start reaches the worker.
const ticketMargin = 300 * time.Millisecond

// advice holds the answers of the advice service about one step.
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

// RequestAdvice asks the advice service which of the workers may run the step.
type RequestAdvice struct {
	Step    string
	Workers []platform.WorkerID
	// Times say how long the service takes to answer.
	Times platform.AdviceTimes
	Key   taskKey
}

func (RequestAdvice) action() {}

// AdviceResult is the outcome of a RequestAdvice. Workers that were asked about and got no
// ticket may not run the step.
type AdviceResult struct {
	Key     taskKey
	Asked   []platform.WorkerID
	Tickets []platform.Ticket
	Valid   time.Duration
	Err     error
}

// adviceName returns the name by which the advice service knows the step.
func (s *step) adviceName() string {
	n := s.instance
	return string(n.job.id) + "." + strconv.Itoa(n.index) + "." + strconv.Itoa(s.index)
}

// adviceTicket returns the ticket for the step on the worker. If there is no valid one, it
// requests tickets for the workers of the pool that could run the step.
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
	for _, w := range c.pools[s.instance.job.queue.Service] {
		t, has := a.tickets[w.ID]
		fresh := has && c.now.Add(ticketMargin).Before(t.until)
		rejected := a.asked[w.ID] && !has
		if !fresh && !rejected && !w.evacuated && w.fitsEmpty(s.Step) && (s.Requires == "" || slices.Contains(w.Labels, s.Requires)) {
			l = append(l, w.ID)
		}
	}
	if len(l) == 0 {
		return
	}
	a.pending = true
	l = l[:min(len(l), platform.MaxAdviceWorkers)]
	c.emit(RequestAdvice{Step: s.adviceName(), Workers: l, Times: *s.instance.job.queue.Advice, Key: s.tasks[0].key()})
}

// ruledOut reports whether the advice service has ruled the worker out.
func (s *step) ruledOut(w *worker) bool {
	if s.advice == nil || !s.advice.asked[w.ID] {
		return false
	}
	_, has := s.advice.tickets[w.ID]
	return !has
}

// apply records the tickets that the advice service has issued.
func (e AdviceResult) apply(c *Core) {
	t := c.task(e.Key)
	if t == nil || t.step.advice == nil {
		return
	}
	a := t.step.advice
	a.pending = false
	if e.Err != nil {
		a.retryAt = c.now.Add(adviceRetry)
		c.emit(LogLine{What: "advice request failed", Job: e.Key.id, Why: e.Err.Error()})
		return
	}
	for _, id := range e.Asked {
		a.asked[id] = true
	}
	for _, v := range e.Tickets {
		a.tickets[v.Worker] = ticket{text: v.Text, until: c.now.Add(e.Valid)}
	}
	c.replan(t.step.instance.job.queue.Service)
}
