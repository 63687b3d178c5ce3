package job

import (
	"encoding/json"
	"maps"
	"time"

	"amberway/platform"
)

// Figures of refusing jobs. Where more starts wait than the owner can send, a job that
// comes now only makes all of them late: its caller hears at once when to come back.
const (
	// fullAfter is how long the starts that wait before a queue's jobs take to be sent
	// until its jobs are refused, and openBelow until they are taken again. A job has
	// some seconds beyond its work, and each of its steps waits.
	fullAfter = 4 * time.Second
	openBelow = 2 * time.Second
	// fullEvery is the time between two judgements, each of which may be a write that
	// every entry host hears of.
	fullEvery = 500 * time.Millisecond
	// heldLatelyFor is how long starts that were held back say that the owner cannot
	// send all.
	heldLatelyFor = time.Second
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

// fullness is what the owner has said of its queues.
type fullness struct {
	judgeAt time.Time
	full    map[string]int64
}

// tendFull tells entry hosts which queues are full, if that has changed.
func (c *Core) tendFull() {
	if c.now.Before(c.fullness.judgeAt) {
		return
	}
	c.fullness.judgeAt = c.now.Add(fullEvery)
	full := c.judgeFull()
	same := maps.EqualFunc(full, c.fullness.full, func(int64, int64) bool { return true })
	if same {
		return
	}
	c.fullness.full = full
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
	if c.flow.starts == 0 || c.now.Sub(c.flow.heldAt) > heldLatelyFor {
		return full
	}
	ahead := c.startsWaiting()
	for _, q := range c.config.Queues {
		n := 0
		for p, waiting := range ahead {
			if p <= q.Priority {
				n += waiting
			}
		}
		wait := time.Duration(float64(n) / c.flow.starts * float64(time.Second))
		_, was := c.fullness.full[q.Name]
		if wait > fullAfter || (was && wait > openBelow) {
			full[q.Name] = (wait - openBelow).Milliseconds()
		}
	}
	return full
}

// startsWaiting counts the tasks that have yet to start, by priority. Lasting ones are
// few, and wait again only when they end.
func (c *Core) startsWaiting() map[int]int {
	n := map[int]int{}
	for _, j := range c.live {
		for _, i := range j.instances {
			for _, s := range i.steps {
				if !s.Lasting {
					n[j.queue.Priority] += s.idle
				}
			}
		}
	}
	return n
}
