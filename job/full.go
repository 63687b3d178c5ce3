package job

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"amberway/platform"
)

// Figures of refusing jobs. Where more starts wait than the owner can send, a job that
// comes now only makes all of them late: its caller hears at once when to come back.
const (
	// fullAfter is how long the starts that go before a new job of a queue take to be
	// sent until fewer of its jobs are taken, and openBelow until more are again. A job
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
	// shareDown is what remains of the share that is taken at each judgement of a full
	// queue, shareUp what it grows by where there is room, and leastShare the least that
	// it is. With all or nothing, callers who had been told to come back came at once as
	// a queue opened, half a second brought work for three to six, and small fleets
	// behind 2 Mbit/s served 0.31 of their work and 0.22 in vain; with a share 0.35 and
	// 0.13, over 48 days.
	shareDown  = 0.4
	shareUp    = 1.3
	leastShare = 0.03
	// openUp and openLeast are the same where nothing was held back any more: all are
	// taken again after two seconds.
	openUp    = 2
	openLeast = 0.1
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

// Full says of which queues only some jobs are taken for now, or none.
type Full struct {
	// Fence is that of the owner that says so.
	Fence platform.Fence `json:"f"`
	// Rooms are what is taken, by the queues' priority; all where there is none.
	Rooms map[int]Room `json:"r,omitempty"`
}

// Room is what is taken of the queues of one priority.
type Room struct {
	// Share is the share of the jobs that are taken, from 0 to 1.
	Share float64 `json:"s,omitempty"`
	// Wait is how long the callers of the others are to stay away.
	Wait time.Duration `json:"w"`
	// over says that more waited than is borne at the last judgement.
	over bool
}

// takes reports whether a job is among those that are taken. The same ones are, whichever
// entry host is asked and however often, so that callers who come back do not add to what
// is taken; as the share grows, those stay and others are added.
func (r Room) takes(id ID) bool {
	return float64(xxhash.Sum64String(string(id))) < r.Share*math.MaxUint64
}

// next returns the room after a judgement: so long do the starts ahead of a new job take to
// be sent, and all that were taken.
func (r Room) next(ahead, all time.Duration) Room {
	before := r.over
	r.over = ahead > fullAfter || all > mostBehind
	switch {
	case r.over && r.Share == 1 && !before:
		// A moment after a takeover, or as a turn of the load begins, says nothing yet.
	case r.over:
		r.Share *= shareDown
		if r.Share < leastShare {
			r.Share = 0
		}
	case ahead > openBelow:
		// What waits is as much as is borne.
	default:
		r.Share = min(1, r.Share*shareUp+leastShare)
	}
	r.Wait = max(0, ahead-openBelow, all-mostBehind+openBelow)
	return r
}

// open returns the room after a judgement at which no start was held back.
func (r Room) open() Room {
	r.Share = min(1, r.Share*openUp+openLeast)
	r.Wait, r.over = 0, false
	return r
}

// tells reports whether callers would be treated differently by the other.
func (r Room) tells(o Room) bool {
	return math.Abs(r.Share-o.Share) > leastShare || (r.Share == 0) != (o.Share == 0)
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
	// rooms are what is taken, told what was last said of that.
	rooms, told map[int]Room
	// inherited says that an earlier owner's word still holds, so that this owner has to
	// say its own, be it the same.
	inherited bool
	// byRateUntil is until when the queues are judged by what may be sent, though no
	// start was held back: those of earlier owners' jobs have yet to begin.
	byRateUntil time.Time
}

// inheritFull takes over what an earlier owner has said of the queues.
func (c *Core) inheritFull(f Full) {
	c.fullness.rooms, c.fullness.told = f.Rooms, f.Rooms
	c.fullness.inherited = len(f.Rooms) > 0
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
	c.fullness.rooms = c.judgeFull()
	rooms := maps.Clone(c.fullness.rooms)
	maps.DeleteFunc(rooms, func(_ int, r Room) bool { return r.Share >= 1 })
	same := maps.EqualFunc(rooms, c.fullness.told, func(a, b Room) bool { return !a.tells(b) })
	if same && !c.fullness.inherited {
		return
	}
	c.fullness.told = rooms
	c.fullness.inherited = false
	b, err := json.Marshal(Full{Fence: c.fence, Rooms: rooms})
	if err != nil {
		c.do(Note{What: "full queues not encoded", Why: err.Error()})
		return
	}
	c.do(Note{What: "full", Inputs: []any{"rooms", string(b), "starts_per_s", int(c.flow.starts)}})
	c.write([]platform.Put{{Key: fullKey, Value: b}}, nil)
}

// judgeFull returns the rooms of the priorities.
func (c *Core) judgeFull() map[int]Room {
	rooms := map[int]Room{}
	if !c.now.Before(c.fullness.byRateUntil) && (c.flow.starts == 0 || c.now.Sub(c.flow.heldAt) > heldLatelyFor) {
		for p, r := range c.fullness.rooms {
			rooms[p] = r.open()
		}
		return rooms
	}
	wait := c.startsWaiting()
	for _, q := range c.config.Queues {
		if _, judged := rooms[q.Priority]; judged {
			continue
		}
		w := wait.before(q.Priority)
		r, was := c.fullness.rooms[q.Priority]
		if !was {
			r = Room{Share: 1}
		}
		rooms[q.Priority] = r.next(c.flow.lasts(w.inTime), c.flow.lasts(w.inTime+w.late))
	}
	return rooms
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
