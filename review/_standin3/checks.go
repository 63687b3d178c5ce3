package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// checks follows the rules by what the workers see.
type checks struct {
	p      *platform
	mu     sync.Mutex
	active map[string]map[int64]string
	done   map[string]time.Time
	// ends holds the ends done of each task.
	ends map[string][]doneEnd
	// rejects counts the starts that workers have rejected, by reason.
	rejects map[string]int
	// broken are the broken rules in the order in which they were found.
	broken []violation
	// disturbedUntil is when the last disruption has ended.
	disturbedUntil time.Time
}

type violation struct {
	rule, what string
}

func (c *checks) broke(rule, format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.brokeLocked(rule, format, a...)
}

func (c *checks) brokeLocked(rule, format string, a ...any) {
	v := violation{rule, fmt.Sprintf(format, a...)}
	c.broken = append(c.broken, v)
	c.p.logf("BROKEN %s: %s", v.rule, v.what)
}

// violations returns the broken rules.
func (c *checks) violations() []violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]violation(nil), c.broken...)
}

// disturbed notes that a disruption lasts until the given time.
func (c *checks) disturbed(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbedUntil = until
}

func (c *checks) started(w *worker, o *run, q startOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := o.task.String()
	if q.Spec != o.job.Spec {
		c.brokeLocked("UNASKED", "%s run %d was started with another spec", n, o.number)
	}
	if q.Snapshot != "" && q.Snapshot[len(q.Snapshot)-8:] != o.job.id[4:12] {
		c.brokeLocked("UNASKED", "%s run %d was started with the snapshot %q of another task", n, o.number, q.Snapshot)
	}
	for i := range c.ends[n] {
		if e := &c.ends[n][i]; e.noted {
			c.brokeLocked("TWICE", "%s run %d was started on %s %d ms after the end of run %d, done, was taken note of", n, o.number, w.id, time.Since(e.notedAt).Milliseconds(), e.run)
		} else if e.restarted == 0 {
			e.restarted, e.restartedAt = o.number, time.Now()
		}
	}
	for r, on := range c.active[n] {
		c.brokeLocked("TWICE", "%s run %d was started on %s while run %d was running on %s", n, o.number, w.id, r, on)
	}
	if r := o.step.Requires; r != "" && !slices.Contains(w.machine.Labels, r) {
		c.brokeLocked("ROUTE", "%s run %d was started on %s without the label %s", n, o.number, w.id, r)
	}
	if o.step.AntiAffinity > 0 {
		same := 0
		for t, l := range c.active {
			k, _ := parseTask(t)
			if k.job != o.task.job || k.instance != o.task.instance || k.step != o.task.step {
				continue
			}
			for _, on := range l {
				if on == w.id {
					same++
				}
			}
		}
		if same >= o.step.AntiAffinity {
			c.brokeLocked("ROUTE", "%s run %d was started on %s beside %d of its step", n, o.number, w.id, same)
		}
	}
	if o.job.Times > 0 {
		due := time.UnixMilli(o.job.InitialMs + int64(o.task.instance)*o.job.IntervalMs)
		if d := time.Until(due); d > 250*time.Millisecond {
			c.brokeLocked("ORDER", "%s run %d was started %.2f s ahead of its time", n, o.number, d.Seconds())
		}
	}
	for _, a := range o.step.After {
		for x := range o.job.Steps[a].Count {
			b := taskName{o.task.job, o.task.instance, a, x}
			if _, ok := c.done[b.String()]; !ok && !o.job.Steps[a].Gang {
				c.brokeLocked("ORDER", "%s run %d was started before %s was done", n, o.number, b)
			}
		}
	}
	if c.active[n] == nil {
		c.active[n] = map[int64]string{}
	}
	c.active[n][o.number] = w.id
}

func (c *checks) ended(w *worker, o *run, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := o.task.String()
	delete(c.active[n], o.number)
	switch how {
	case "done":
		c.done[n] = time.Now()
		c.ends[n] = append(c.ends[n], doneEnd{worker: w.id, number: w.lastEnd, run: o.number, at: time.Now()})
	case "alone":
		// It may have started while a disruption was near.
		if d := time.Since(c.disturbedUntil); d > c.p.contact+c.p.gangs.waitFor {
			c.brokeLocked("GANG", "%s run %d has ended alone, %.1f s after the last disruption", n, o.number, d.Seconds())
		}
	}
}

// rejected is called for a start that a worker rejects.
func (c *checks) rejected(task, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejects[reason]++
	if n := c.rejects[reason]; n <= 5 || n%50 == 0 {
		c.p.logf("start of %s rejected: %s, the %d. such answer", task, reason, n)
	}
}

// progressOf returns how many runs of the job are under way, and how many tasks of it have ended done.
func (c *checks) progressOf(job string) (running, done int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, l := range c.active {
		if strings.HasPrefix(n, job+".") {
			running += len(l)
		}
	}
	for n := range c.done {
		if strings.HasPrefix(n, job+".") {
			done++
		}
	}
	return running, done
}

// doneEnd is an end done of a task.
type doneEnd struct {
	worker      string
	number, run int64
	at          time.Time
	// noted says that it was taken note of, and that its worker's lease had not lapsed before.
	noted   bool
	notedAt time.Time
	// restarted is the first run that was started after it.
	restarted   int64
	restartedAt time.Time
}

// noted is called for an end that the worker may forget. lapsedAt is when its lease last lapsed.
func (c *checks) noted(w *worker, row []any, lapsedAt time.Time) {
	if row[3] != "done" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := row[1].(string)
	for i := range c.ends[n] {
		e := &c.ends[n][i]
		if e.worker != w.id || e.number != row[0].(int64) || lapsedAt.After(e.at) {
			continue
		}
		e.noted, e.notedAt = true, time.Now()
		if e.restarted != 0 {
			c.brokeLocked("TWICE", "%s run %d was started %d ms after run %d had ended done on %s, and that end was taken note of %d ms later", n, e.restarted, e.restartedAt.Sub(e.at).Milliseconds(), e.run, w.id, time.Since(e.restartedAt).Milliseconds())
		}
	}
}
