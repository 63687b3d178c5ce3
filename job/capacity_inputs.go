package job

import (
	"time"

	"amberway/platform"
)

// slackWeight is the weight of one job in the moving average of its queue's slack, which covers
// about the last twenty jobs.
const slackWeight = 0.05

// queueLoad tracks the work that one queue accepts.
type queueLoad struct {
	// accepted is the first-class work, in core-seconds, that was accepted since the last
	// evaluation.
	accepted float64
	// acceptedRate is the accepted work per second in the interval before that. offered holds
	// the estimates of the offered work per second in the last intervals, of which there are
	// intervals.
	acceptedRate float64
	offered      [2]float64
	intervals    int
	// slack is the mean time that its jobs can wait and still be in time. It is unknown
	// before the first job.
	slack      time.Duration
	slackKnown bool
}

// endInterval evaluates the work that was accepted while the fraction was in force.
func (l *queueLoad) endInterval(d time.Duration, fraction float64) {
	l.acceptedRate = l.accepted / d.Seconds()
	l.accepted = 0
	if fraction < minMeasuredFraction {
		return
	}
	l.offered[l.intervals%len(l.offered)] = l.acceptedRate / fraction
	l.intervals++
}

// offeredRate returns the offered work per second, the mean of up to two intervals.
func (l *queueLoad) offeredRate() float64 {
	n := min(l.intervals, len(l.offered))
	if n == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range l.offered[:n] {
		sum += v
	}
	return sum / float64(n)
}

// addSlack adds the slack of one job.
func (l *queueLoad) addSlack(d time.Duration) {
	if !l.slackKnown {
		l.slack, l.slackKnown = d, true
		return
	}
	l.slack += time.Duration(slackWeight * float64(d-l.slack))
}

// loadOf returns the load of a queue.
func (c *Core) loadOf(queue string) *queueLoad {
	l := c.admission.loads[queue]
	if l == nil {
		if c.admission.loads == nil {
			c.admission.loads = map[string]*queueLoad{}
		}
		l = &queueLoad{}
		c.admission.loads[queue] = l
	}
	return l
}

// recordAccepted adds a job that was just accepted to the measured load.
func (c *Core) recordAccepted(j *job) {
	c.recordArrival(j, c.now)
	c.recordSlack(j)
	if j.limitedByCapacity() && !j.overShare && j.team.mayUse(j.Steps[0].Resources, 1) {
		c.loadOf(j.queue.Name).accepted += c.expectedWork(j) / 1000
	}
}

// recordInherited adds an inherited job to the measured load. Most arrived long ago and say
// nothing about the work that is offered now.
func (c *Core) recordInherited(j *job) {
	c.recordArrival(j, j.ReceivedAt)
	c.recordSlack(j)
}

// recordSlack adds the time that a job can wait to its queue's slack.
func (c *Core) recordSlack(j *job) {
	n := j.instances[0]
	if n == nil || !j.limitedByCapacity() {
		return
	}
	c.loadOf(j.queue.Name).addSlack(c.deadline(j, n).Sub(n.due) - c.criticalPaths(j).longest)
}

// expectedWork returns the work of a job's tasks that do not last, in core-milliseconds.
func (c *Core) expectedWork(j *job) float64 {
	work := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		if !s.Lasting && !s.BestEffort {
			work += float64(s.Count) * float64(s.MilliCores) / 1000 * float64(c.expectedRunTime(j, s).Milliseconds())
		}
	}
	return work
}

// poolWork is the work of one pool, in core-seconds by priority of the queues.
type poolWork struct {
	// waiting is the first-class work that waits for hosts, waitingBeyond that which goes before
	// a job beyond its team's share: all but late work beyond the shares.
	waiting, waitingBeyond map[int]float64
	// offered is what callers offer and accepted what is accepted each second, both within the
	// teams' shares.
	offered, accepted map[int]float64
	// secondClass reports whether second-class work waits.
	secondClass bool
}

// sumUpTo sums the work of the priority and of all more urgent ones.
func sumUpTo(l map[int]float64, priority int) float64 {
	sum := 0.0
	for p, v := range sorted(l) {
		if p <= priority {
			sum += v
		}
	}
	return sum
}

// measurePool measures the work of a service with the queues. Steps that are blocked do not count
// as waiting: at a steady load without any queueing, the remaining steps of the jobs under way are
// two seconds of all cores, and a trial that counted them refused a tenth of the jobs while hosts
// were idle. Tasks that wait for their team's cap need no hosts.
func (c *Core) measurePool(service string, queues []platform.Queue) poolWork {
	w := poolWork{waiting: map[int]float64{}, waitingBeyond: map[int]float64{}, offered: map[int]float64{}, accepted: map[int]float64{}}
	for _, q := range queues {
		l := c.loadOf(q.Name)
		w.offered[q.Priority] += l.offeredRate()
		w.accepted[q.Priority] += l.acceptedRate
	}
	c.teams.startCount()
	for _, s := range c.listOf(service).steps {
		if s.idle == 0 || s.Lasting || s.BestEffort {
			continue
		}
		work := c.waitingWork(s.step, s.idle)
		first := !s.late && !s.overShare
		if first {
			w.waiting[s.priority] += work
		}
		if !s.late || !s.overShare {
			w.waitingBeyond[s.priority] += work
		}
		w.secondClass = w.secondClass || !first
	}
	return w
}

// slackOf returns the slack of a queue, or false if it has had no jobs. Queues without jobs need no
// limit: each one adds to the policy, which all entry hosts read. The first jobs of a queue are
// limited from the next evaluation on.
func (c *Core) slackOf(q platform.Queue) (time.Duration, bool) {
	l := c.loadOf(q.Name)
	return l.slack, l.slackKnown
}

// capacityInputs returns the inputs of the limits of the queues whose pools are short and whose
// slack is known.
func (c *Core) capacityInputs() map[string]capacityInputs {
	byService := map[string][]platform.Queue{}
	for _, q := range c.config.Queues {
		byService[q.Service] = append(byService[q.Service], q)
	}
	inputs := map[string]capacityInputs{}
	for service, queues := range sorted(byService) {
		s, known := c.shareOf(service)
		if !known || !s.short || s.hostCores == 0 {
			continue
		}
		w := c.measurePool(service, queues)
		for _, q := range queues {
			if slack, known := c.slackOf(q); known {
				inputs[q.Name] = c.inputsOf(q, s, w, slack)
			}
		}
	}
	return inputs
}

// inputsOf returns the inputs of the limit of one queue.
func (c *Core) inputsOf(q platform.Queue, s poolShare, w poolWork, slack time.Duration) capacityInputs {
	i := capacityInputs{
		short:         true,
		cores:         float64(max(0, int64(s.allotted)*s.hostCores-c.lastingCores(q.Service))) / 1000,
		waiting:       sumUpTo(w.waiting, q.Priority),
		waitingBeyond: sumUpTo(w.waitingBeyond, q.Priority),
		secondClass:   w.secondClass,
		slack:         slack,
		offered:       w.offered[q.Priority],
		urgent:        sumUpTo(w.accepted, q.Priority-1),
	}
	if s.allotted > s.have {
		i.moving = float64(s.allotted-s.have) / float64(s.allotted)
	}
	return i
}

// measureLoads evaluates the work that the queues have accepted since the last evaluation.
func (c *Core) measureLoads() {
	d := c.now.Sub(c.admission.evaluatedAt)
	first := c.admission.evaluatedAt.IsZero()
	c.admission.evaluatedAt = c.now
	for n, l := range c.admission.loads {
		if _, configured := c.queues[n]; !configured {
			delete(c.admission.loads, n)
			continue
		}
		fraction := 1.0
		if a, limited := c.admission.published[n]; limited {
			fraction = a.Fraction
		}
		if !first && d > 0 {
			l.endInterval(d, fraction)
		}
	}
}
