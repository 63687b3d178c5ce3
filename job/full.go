package job

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"amberway/platform"
)

// Times of judging whether queues are full.
const (
	// admissionInterval is the time between two judgements, each of which may be a write that
	// every entry host hears of.
	admissionInterval = 500 * time.Millisecond
	// heldStartsWindow is how long starts that were held back say that the owner cannot
	// send all.
	heldStartsWindow = time.Second
	// judgeByRateFor is how long an owner that finds full queues judges them by what it may
	// send: on a link of 2 Mbit/s the first answers of 180 workers take 1.5 s, and
	// starts go out after that.
	judgeByRateFor = 4 * time.Second
	// admissionTTL is how long an owner's word that a queue is full holds without that
	// owner: three takeovers in a row on a link of 2 Mbit/s.
	admissionTTL = 20 * time.Second
)

// admissionKey holds which queues are full, beside the owner's key: entry hosts follow both.
const admissionKey = ownerKey + "/full"

// AdmissionPolicy says of which queues only some jobs are taken for now, or none.
type AdmissionPolicy struct {
	// Fence is that of the owner that says so.
	Fence platform.Fence `json:"f"`
	// Admissions are what is taken, by the queues' priority; all where there is none.
	Admissions map[int]Admission `json:"r,omitempty"`
	// TeamFractions are which parts of that are taken of the teams that send more than their
	// shares, from 0 to 1; all of the others'.
	TeamFractions map[string]float64 `json:"p,omitempty"`
}

func decodeAdmissionPolicy(v platform.Entry) (AdmissionPolicy, error) {
	var f AdmissionPolicy
	if err := json.Unmarshal(v.Value, &f); err != nil {
		return AdmissionPolicy{}, fmt.Errorf("job: full queues: %w", err)
	}
	return f, nil
}

// admissionState is what the owner has said of its queues.
type admissionState struct {
	judgeAt time.Time
	// admissions are what is taken, told what was last said of that.
	admissions, published map[int]Admission
	// publishedFractions is what was last said of teams beyond their shares.
	publishedFractions map[string]float64
	// inherited says that an earlier owner's word still holds, so that this owner has to
	// say its own, be it the same.
	inherited bool
	// judgeByRateUntil is until when the queues are judged by what may be sent, though no
	// start was held back: those of earlier owners' jobs have yet to begin.
	judgeByRateUntil time.Time
}

// inheritAdmission takes over what an earlier owner has said of the queues.
func (c *Core) inheritAdmission(f AdmissionPolicy) {
	c.admission.admissions, c.admission.published = f.Admissions, f.Admissions
	c.admission.inherited = len(f.Admissions) > 0
	if c.admission.inherited {
		c.admission.judgeByRateUntil = c.now.Add(judgeByRateFor)
	}
}

// reconcileAdmission tells entry hosts which queues are full, if that has changed.
func (c *Core) reconcileAdmission() {
	if c.now.Before(c.admission.judgeAt) {
		return
	}
	c.admission.judgeAt = c.now.Add(admissionInterval)
	c.admission.admissions = c.nextAdmissions()
	admissions := maps.Clone(c.admission.admissions)
	maps.DeleteFunc(admissions, func(_ int, a Admission) bool { return a.Fraction >= 1 })
	parts := c.teams.adjustFractions(len(c.admission.published) > 0, len(admissions) > 0)
	same := maps.EqualFunc(admissions, c.admission.published, func(a, b Admission) bool { return !a.differs(b) }) &&
		sameFractions(parts, c.admission.publishedFractions)
	if same && !c.admission.inherited {
		return
	}
	c.admission.published, c.admission.publishedFractions = admissions, parts
	c.admission.inherited = false
	b, err := json.Marshal(AdmissionPolicy{Fence: c.fence, Admissions: admissions, TeamFractions: parts})
	if err != nil {
		c.emit(LogLine{What: "full queues not encoded", Why: err.Error()})
		return
	}
	c.emit(LogLine{What: "full", Fields: []any{"admissions", string(b), "starts_per_s", int(c.flow.startRate)}})
	c.queueWrite([]platform.Put{{Key: admissionKey, Value: b}}, nil)
}

// nextAdmissions returns what is taken of each priority.
func (c *Core) nextAdmissions() map[int]Admission {
	admissions := map[int]Admission{}
	if !c.now.Before(c.admission.judgeByRateUntil) && (c.flow.startRate == 0 || c.now.Sub(c.flow.startsHeldAt) > heldStartsWindow) {
		for p, a := range c.admission.admissions {
			admissions[p] = a.relax()
		}
		return admissions
	}
	wait := c.countPendingStarts()
	for _, q := range c.config.Queues {
		if _, judged := admissions[q.Priority]; judged {
			continue
		}
		w := wait.upTo(q.Priority)
		a, was := c.admission.admissions[q.Priority]
		if !was {
			a = Admission{Fraction: 1}
		}
		admissions[q.Priority] = a.adjust(c.flow.timeToSend(w.inTime), c.flow.timeToSend(w.inTime+w.late))
	}
	return admissions
}

// pendingStarts counts tasks that have yet to start.
type pendingStarts struct {
	// inTime are those of jobs that can still be in time, late the others.
	inTime, late int
}

// pendingByPriority are counts by priority.
type pendingByPriority map[int]pendingStarts

// upTo returns what goes before a queue of the priority, or with it.
func (l pendingByPriority) upTo(priority int) pendingStarts {
	var n pendingStarts
	for p, w := range l {
		if p <= priority {
			n.inTime += w.inTime
			n.late += w.late
		}
	}
	return n
}

// countPendingStarts counts the tasks that have yet to start. Lasting ones are few, and wait
// again only when they end.
func (c *Core) countPendingStarts() pendingByPriority {
	l := pendingByPriority{}
	for _, j := range c.active {
		w := l[j.queue.Priority]
		for _, i := range j.instances {
			n := i.unstarted()
			if n > 0 && c.now.After(c.deadline(j, i)) {
				w.late += n
			} else {
				w.inTime += n
			}
		}
		l[j.queue.Priority] = w
	}
	return l
}

// unstarted counts the tasks of the instance that have yet to start.
func (i *instance) unstarted() int {
	n := 0
	for _, s := range i.steps {
		if !s.Lasting {
			n += s.idle
		}
	}
	return n
}

// applyAdmissionPolicy notes which queues are full.
func (e *election) applyAdmissionPolicy(v platform.Entry) {
	f, err := decodeAdmissionPolicy(v)
	if err != nil {
		e.log.Write(LogLine{What: "entry not understood", Why: err.Error()})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission = f
	e.admissionAt = e.now()
}

// refusedUntil returns when the caller of a job is to come back, or false where it is taken.
// What an owner has said holds until the next one says what it finds: the reads of a
// takeover take seconds on a narrow link, and all that is taken meanwhile waits behind
// what the queue was full of.
func (e *election) refusedUntil(id ID, c caller) (at time.Time, why string, full bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, full := e.admission.Admissions[c.queue.Priority]
	part, beyond := e.admission.TeamFractions[c.team.Name]
	if !beyond {
		part = 1
	}
	if !full || a.admits(id, part) || (e.admission.Fence != e.current.Fence && e.now().After(e.admissionAt.Add(admissionTTL))) {
		return time.Time{}, "", false
	}
	why = refusedFull
	if a.admits(id, 1) {
		why = refusedShare
	}
	return latest(e.admissionAt.Add(a.RetryAfter), e.now().Add(retryDelay)), why, true
}
