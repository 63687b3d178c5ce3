package job

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"amberway/platform"
)

// Figures of refusing jobs. Where more starts wait than the owner can send, a job that
// comes now only makes all of them late: its caller hears at once when to come back.
const (
	// fullAfter is how long the starts that go before a new job of a queue take to be
	// sent until its jobs are refused, and openBelow until they are taken again. A job
	// has a second or two beyond its work, and each of its steps waits. With 4 and 2 s,
	// and 10 s of all that was taken, callers of small fleets behind 2 Mbit/s waited in
	// vain for 0.40 of their jobs, and 27 of 48 days broke a promise; with these 0.22
	// and 16, with 0.16 more refused at once and 0.008 more served.
	fullAfter = 1500 * time.Millisecond
	openBelow = 750 * time.Millisecond
	// mostBehind is the same with the jobs that are late already. New ones go before
	// these, but all that were taken have to end: within five seconds, should nothing
	// new come.
	mostBehind = 5 * time.Second
	// fullEvery is the time between two judgements, each of which may be a write that
	// every entry host hears of.
	fullEvery = 500 * time.Millisecond
	// heldLatelyFor is how long starts that were held back say that the owner cannot
	// send all.
	heldLatelyFor = time.Second
	// byRateFor is how long an owner that finds full queues judges them by what it may
	// send: on a link of 2 Mbit/s the first answers of 180 workers take 1.5 s, and
	// starts go out after that.
	byRateFor = 4 * time.Second
)

// fullKey holds which queues are full, beside the owner's key: entry hosts follow both.
const fullKey = ownerKey + "/full"

// Full says which queues take no jobs for now.
type Full struct {
	// Fence is that of the owner that says so.
	Fence platform.Fence `json:"f"`
	// Waits are how long callers are to stay away, in milliseconds, by queue.
	Waits map[string]int64 `json:"q,omitempty"`
}

func decodeFull(v platform.Entry) (Full, error) {
	var f Full
	if err := json.Unmarshal(v.Value, &f); err != nil {
		return Full{}, fmt.Errorf("job: full queues: %w", err)
	}
	return f, nil
}

// fullness is what the owner has said of its queues.
type fullness struct {
	judgeAt time.Time
	full    map[string]int64
	// inherited says that an earlier owner's word still holds, so that this owner has to
	// say its own, be it the same.
	inherited bool
	// byRateUntil is until when the queues are judged by what may be sent, though no
	// start was held back: those of earlier owners' jobs have yet to begin.
	byRateUntil time.Time
}

// inheritFull takes over what an earlier owner has said of the queues.
func (c *Core) inheritFull(f Full) {
	c.fullness.full = f.Waits
	c.fullness.inherited = len(f.Waits) > 0
	if c.fullness.inherited {
		c.fullness.byRateUntil = c.now.Add(byRateFor)
	}
}

// tendFull tells entry hosts which queues are full, if that has changed.
func (c *Core) tendFull() {
	if c.now.Before(c.fullness.judgeAt) {
		return
	}
	c.fullness.judgeAt = c.now.Add(fullEvery)
	full := c.judgeFull()
	same := maps.EqualFunc(full, c.fullness.full, func(int64, int64) bool { return true })
	if same && !c.fullness.inherited {
		return
	}
	c.fullness.full = full
	c.fullness.inherited = false
	b, err := json.Marshal(Full{Fence: c.fence, Waits: full})
	if err != nil {
		c.do(Note{What: "full queues not encoded", Why: err.Error()})
		return
	}
	c.do(Note{What: "full", Inputs: []any{"queues", len(full), "starts_per_s", int(c.flow.starts)}})
	c.write([]platform.Put{{Key: fullKey, Value: b}}, nil)
}

// judgeFull returns which queues are full, and for how long in milliseconds.
func (c *Core) judgeFull() map[string]int64 {
	full := map[string]int64{}
	if !c.now.Before(c.fullness.byRateUntil) && (c.flow.starts == 0 || c.now.Sub(c.flow.heldAt) > heldLatelyFor) {
		return full
	}
	wait := c.startsWaiting()
	for _, q := range c.config.Queues {
		w := wait.before(q.Priority)
		ahead, all := c.flow.lasts(w.inTime), c.flow.lasts(w.inTime+w.late)
		_, was := c.fullness.full[q.Name]
		if ahead > fullAfter || all > mostBehind || (was && (ahead > openBelow || all > mostBehind-openBelow)) {
			full[q.Name] = max(ahead-openBelow, all-mostBehind+openBelow).Milliseconds()
		}
	}
	return full
}

// waitingStarts counts tasks that have yet to start.
type waitingStarts struct {
	// inTime are those of jobs that can still be in time, late the others.
	inTime, late int
}

// waitingBy are counts by priority.
type waitingBy map[int]waitingStarts

// before returns what goes before a queue of the priority, or with it.
func (l waitingBy) before(priority int) waitingStarts {
	var n waitingStarts
	for p, w := range l {
		if p <= priority {
			n.inTime += w.inTime
			n.late += w.late
		}
	}
	return n
}

// startsWaiting counts the tasks that have yet to start. Lasting ones are few, and wait
// again only when they end.
func (c *Core) startsWaiting() waitingBy {
	l := waitingBy{}
	for _, j := range c.live {
		w := l[j.queue.Priority]
		for _, i := range j.instances {
			n := i.waiting()
			if n > 0 && c.now.After(c.dueBy(j, i)) {
				w.late += n
			} else {
				w.inTime += n
			}
		}
		l[j.queue.Priority] = w
	}
	return l
}

// waiting counts the tasks of the instance that have yet to start.
func (i *instance) waiting() int {
	n := 0
	for _, s := range i.steps {
		if !s.Lasting {
			n += s.idle
		}
	}
	return n
}
