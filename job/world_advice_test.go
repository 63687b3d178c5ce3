package job

import (
	"strings"
	"time"

	"amberway/platform"
)

// worldTicket is a ticket of the advice service, for the tasks of a step at one incarnation of a worker.
type worldTicket struct {
	worker platform.WorkerID
	text   string
}

// ticketValid is how long tickets are valid.
const ticketValid = 2 * time.Second

// adviceTimes returns the advice that the queue carries, or nil.
func (w *worldServices) adviceTimes() *platform.AdviceTimes {
	if !w.advised {
		return nil
	}
	return &platform.AdviceTimes{Decide: 50 * time.Millisecond, PerWorker: time.Millisecond, ValidFor: ticketValid}
}

// advise answers a question to the advice service. All workers may run each step.
func (w *world) advise(o *worldOwner, a RequestAdvice) {
	e := AdviceResult{Key: a.Key, Asked: a.Workers, Valid: ticketValid}
	w.after(a.Times.Decide, func() {
		if w.tickets == nil {
			w.tickets = map[worldTicket]time.Time{}
		}
		for _, id := range a.Workers {
			w.tickets[worldTicket{worker: id, text: a.Step}] = w.now.Add(ticketValid)
			e.Tickets = append(e.Tickets, platform.Ticket{Worker: id, Text: a.Step})
		}
		w.tell(o, e)
	})
}

// lacksTicket reports whether the start of a task of a queue with advice brings no valid ticket.
func (w *world) lacksTicket(v *worldWorker, o platform.StartOrder) bool {
	k, ok := parseTaskKey(o.Task)
	if !ok || w.jobs[k.id].Advice == nil {
		return false
	}
	return !strings.HasPrefix(o.Task, o.Ticket+".") || !w.now.Before(w.tickets[worldTicket{worker: v.ID, text: o.Ticket}])
}
