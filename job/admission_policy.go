package job

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"amberway/platform"
)

// Times of admission control.
const (
	// admissionInterval is the time between two evaluations. Each may cause a write that
	// every entry host is notified of.
	admissionInterval = 500 * time.Millisecond
	// heldStartsWindow is how long the owner counts as overloaded after it last held back a
	// start.
	heldStartsWindow = time.Second
	// evaluateByRateFor is how long a new owner that inherits limited queues evaluates them by
	// its permitted send rate. On a link of 2 Mbit/s the first answers of 180 workers take
	// 1.5 s, and starts are sent only after that.
	evaluateByRateFor = 4 * time.Second
	// admissionTTL is how long a limit by send rate stays in force once its owner is replaced or
	// gone. It covers three takeovers in a row on a link of 2 Mbit/s.
	admissionTTL = 20 * time.Second
	// capacityTTL is the same for a limit by capacity. It covers one takeover: 1.5 s until the
	// lease expires, 1 s of claim and load, and two evaluations.
	capacityTTL = 5 * time.Second
)

// admissionKey holds the AdmissionPolicy. It is under the owner's key, so that entry hosts
// watch both at once.
const admissionKey = ownerKey + "/full"

// AdmissionPolicy says for which queues only a fraction of the jobs is admitted at present.
// The owner publishes it and every entry host enforces it.
type AdmissionPolicy struct {
	// Fence is the fence of the owner that published the policy.
	Fence platform.Fence `json:"f"`
	// Queues are the limits by name of the queue. A queue without one is not limited.
	Queues map[string]Admission `json:"q,omitempty"`
	// Admissions are the limits by priority of the queues, which owners of earlier versions
	// publish in place of Queues.
	Admissions map[int]Admission `json:"r,omitempty"`
	// TeamFractions further limit teams that send more than their shares, in the limited
	// queues: each is the fraction, from 0 to 1, of the otherwise admitted jobs of that team.
	TeamFractions map[string]float64 `json:"p,omitempty"`
}

func decodeAdmissionPolicy(v platform.Entry) (AdmissionPolicy, error) {
	var p AdmissionPolicy
	if err := json.Unmarshal(v.Value, &p); err != nil {
		return AdmissionPolicy{}, fmt.Errorf("job: admission policy: %w", err)
	}
	if err := p.check(); err != nil {
		return AdmissionPolicy{}, fmt.Errorf("job: admission policy: %w", err)
	}
	return p, nil
}

// check returns an error if a limit is out of range: others may write to the store.
func (p AdmissionPolicy) check() error {
	for n, a := range sorted(p.Queues) {
		if !a.valid() {
			return fmt.Errorf("limit of queue %q out of range", n)
		}
	}
	for n, a := range sorted(p.Admissions) {
		if !a.valid() {
			return fmt.Errorf("limit of priority %d out of range", n)
		}
	}
	for n, f := range sorted(p.TeamFractions) {
		if !isFraction(f) {
			return fmt.Errorf("fraction of team %q out of range", n)
		}
	}
	return nil
}

// limitOf returns the limit of a queue, or false if it has none.
func (p AdmissionPolicy) limitOf(q platform.Queue) (Admission, bool) {
	if a, ok := p.Queues[q.Name]; ok {
		return a, true
	}
	a, ok := p.Admissions[q.Priority]
	return a, ok
}

// admissionState is the owner's state of admission control.
type admissionState struct {
	evaluateAt, evaluatedAt time.Time
	// bySendRate are the current limits by send rate, by priority, byCapacity those by capacity,
	// by queue.
	bySendRate map[int]Admission
	byCapacity map[string]capacityLimit
	// loads are the measured loads and inputs the last inputs of byCapacity, by queue.
	loads  map[string]*queueLoad
	inputs map[string]capacityInputs
	// published are the limits in the last published policy, by queue.
	published map[string]Admission
	// publishedFractions are the team fractions of the last published policy.
	publishedFractions map[string]float64
	// inherited says that an earlier owner's policy is still in force. This owner has to
	// publish its own even if it is the same, since the earlier one expires.
	inherited bool
	// evaluateByRateUntil is until when pending starts are compared with the send rate even if
	// no start was held back: the owner has yet to start the jobs it has inherited.
	evaluateByRateUntil time.Time
}

// sendLimit returns the current limit of the queue by send rate.
func (s *admissionState) sendLimit(q platform.Queue) Admission {
	if a, limited := s.bySendRate[q.Priority]; limited {
		return a
	}
	return Admission{Fraction: 1}
}

// capacityLimit returns the current limit of the queue by capacity.
func (s *admissionState) capacityLimit(q platform.Queue) capacityLimit {
	if l, limited := s.byCapacity[q.Name]; limited {
		return l
	}
	return noCapacityLimit
}

// inheritAdmission continues with the policy of the previous owner.
func (c *Core) inheritAdmission(p AdmissionPolicy) {
	s := &c.admission
	s.inherited = len(p.Admissions)+len(p.Queues) > 0
	s.published, s.publishedFractions = map[string]Admission{}, p.TeamFractions
	s.bySendRate, s.byCapacity = map[int]Admission{}, map[string]capacityLimit{}
	c.teams.inheritFractions(p.TeamFractions)
	for _, q := range c.config.Queues {
		a, limited := p.limitOf(q)
		if !limited {
			continue
		}
		s.published[q.Name] = a
		if a.Cause == causeRoom {
			s.byCapacity[q.Name] = capacityLimit{fraction: a.Fraction, limitsTeams: len(p.TeamFractions) > 0, wait: a.RetryAfter}
		}
		if a = a.bySendRate(); a.Fraction < 1 {
			o, known := s.bySendRate[q.Priority]
			if !known || a.Fraction < o.Fraction {
				s.bySendRate[q.Priority] = a
			}
		}
	}
	if len(s.bySendRate) > 0 {
		s.evaluateByRateUntil = c.now.Add(evaluateByRateFor)
	}
}

// reconcileAdmission evaluates the limits and publishes them if they have changed.
func (c *Core) reconcileAdmission() {
	if c.now.Before(c.admission.evaluateAt) {
		return
	}
	c.admission.evaluateAt = c.now.Add(admissionInterval)
	c.measureLoads()
	limits := c.nextAdmissions()
	fractions := c.teams.adjustFractions(len(c.admission.published) > 0, len(limits) > 0, c.relaxesTeams(limits))
	if len(fractions) == 0 {
		maps.DeleteFunc(limits, func(_ string, a Admission) bool { return a.Fraction >= 1 })
	}
	same := maps.EqualFunc(limits, c.admission.published, func(a, b Admission) bool { return !a.differs(b) }) &&
		sameFractions(fractions, c.admission.publishedFractions)
	if same && !c.admission.inherited {
		return
	}
	b, err := json.Marshal(AdmissionPolicy{Fence: c.fence, Queues: limits, TeamFractions: fractions})
	if err != nil {
		c.emit(LogLine{What: "admission policy not encoded", Why: err.Error()})
		return
	}
	c.logAdmissions(limits, fractions)
	c.admission.published, c.admission.publishedFractions = limits, fractions
	c.admission.inherited = false
	c.queueWrite([]platform.Put{{Key: admissionKey, Value: b}}, nil)
}

// relaxesTeams reports whether no limit calls for the fractions of teams any more.
func (c *Core) relaxesTeams(limits map[string]Admission) bool {
	for q, a := range limits {
		if a.Fraction < 1 || !c.admission.byCapacity[q].relaxing {
			return false
		}
	}
	return true
}

// nextAdmissions returns the limits by queue after one more evaluation.
func (c *Core) nextAdmissions() map[string]Admission {
	c.admission.bySendRate = c.nextSendLimits()
	c.admission.byCapacity = c.nextCapacityLimits()
	limits := map[string]Admission{}
	for _, q := range c.config.Queues {
		a, l := c.admission.sendLimit(q), c.admission.capacityLimit(q)
		if a.Fraction < 1 || l.inForce() {
			limits[q.Name] = a.combine(l)
		}
	}
	return limits
}

// nextSendLimits returns the limits by send rate, by priority, after one more evaluation.
func (c *Core) nextSendLimits() map[int]Admission {
	limits := map[int]Admission{}
	if !c.now.Before(c.admission.evaluateByRateUntil) && (c.flow.startRate == 0 || c.now.Sub(c.flow.startsHeldAt) > heldStartsWindow) {
		for p, a := range c.admission.bySendRate {
			limits[p] = a.relax()
		}
		return limits
	}
	pending := c.countPendingStarts()
	for _, q := range c.config.Queues {
		if _, done := limits[q.Priority]; done {
			continue
		}
		w := pending.upTo(q.Priority)
		limits[q.Priority] = c.admission.sendLimit(q).adjust(c.flow.timeToSend(w.inTime), c.flow.timeToSend(w.inTime+w.late))
	}
	return limits
}

// nextCapacityLimits returns the limits by capacity, by queue, after one more evaluation.
// Inherited limits hold until the pools are known.
func (c *Core) nextCapacityLimits() map[string]capacityLimit {
	if c.now.Before(c.ordersFrom) {
		return c.admission.byCapacity
	}
	inputs, teamsLimited := c.capacityInputs(), c.teams.limited()
	limits := map[string]capacityLimit{}
	for _, q := range c.config.Queues {
		if l := c.admission.capacityLimit(q).next(inputs[q.Name], teamsLimited); l.inForce() {
			limits[q.Name] = l
		}
	}
	c.admission.inputs = inputs
	return limits
}

// logAdmissions logs each limit that changes, with what it was decided on.
func (c *Core) logAdmissions(limits map[string]Admission, fractions map[string]float64) {
	for _, q := range c.config.Queues {
		a, limited := limits[q.Name]
		o, before := c.admission.published[q.Name]
		if !limited && !before || limited && before && !a.differs(o) && !c.admission.inherited {
			continue
		}
		if !limited {
			a = Admission{Fraction: 1, Cause: o.Cause}
		}
		n := LogLine{What: "full", Fields: []any{
			"queue", q.Name, "cause", string(a.Cause), "fraction", a.Fraction, "wait_ms", a.RetryAfter.Milliseconds(), "starts_per_s", int(c.flow.startRate),
		}}
		if i, short := c.admission.inputs[q.Name]; short {
			n.Fields = append(n.Fields,
				"slack_ms", i.slack.Milliseconds(), "cores", int(i.cores), "offered", int(i.offered), "urgent", int(i.urgent), "waiting", int(i.waiting),
				"waiting_beyond", int(i.waitingBeyond), "age_ms", c.now.Sub(c.balance.planAt.Add(-poolPlanInterval)).Milliseconds())
		}
		c.emit(n)
	}
	if len(fractions) > 0 || len(c.admission.publishedFractions) > 0 {
		c.emit(LogLine{What: "full", Fields: []any{"teams", fractions}})
	}
}
