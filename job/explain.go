package job

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"amberway/platform"
)

// Overview summarises the state of an entry host and, if it is the owner, that of the queues,
// teams, pools and waves.
type Overview struct {
	Name    string          `json:"name"`
	Owner   Owner           `json:"owner"`
	Fence   platform.Fence  `json:"fence,omitempty"`
	Version int64           `json:"configuration"`
	Queues  []QueueOverview `json:"queues,omitempty"`
	Teams   []TeamOverview  `json:"teams,omitempty"`
	// Refused counts the jobs that this host has refused, by team.
	Refused map[string]int64 `json:"refused,omitempty"`
	Pools   []PoolOverview   `json:"pools,omitempty"`
	// Evacuations are the evacuated data centres.
	Evacuations []EvacuationOverview `json:"evacuations,omitempty"`
	Waves       []WaveOverview       `json:"waves,omitempty"`
	Dropped     int64                `json:"log_lines_left_out"`
	Reads       int64                `json:"platform_reads"`
	Writes      int64                `json:"platform_writes"`
	Watches     int64                `json:"platform_watches"`
}

// QueueOverview summarises one queue.
type QueueOverview struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	// Limit is nil if the queue is not limited.
	Limit *LimitOverview `json:"limit,omitempty"`
}

// TeamOverview summarises one team.
type TeamOverview struct {
	Name   string             `json:"name"`
	Weight float64            `json:"weight"`
	Cap    platform.Resources `json:"cap"`
	Used   platform.Resources `json:"used"`
	// Running and Waiting count its jobs, Beyond those that exceed its share and so wait
	// behind the jobs of other teams.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Beyond  int `json:"beyond"`
	// InTime and Late count the jobs that have finished.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
}

// PoolOverview summarises one pool.
type PoolOverview struct {
	Service  string             `json:"service"`
	Workers  int                `json:"workers"`
	Silent   int                `json:"silent"`
	Runs     int                `json:"runs"`
	Used     platform.Resources `json:"used"`
	Capacity platform.Resources `json:"capacity"`
	poolHosts
}

// WaveOverview summarises one maintenance wave.
type WaveOverview struct {
	Number int64 `json:"number"`
	Left   int   `json:"left"`
	Down   int   `json:"down"`
	// Blocked counts the machines that cannot be drained, as lasting tasks cannot leave them.
	Blocked int       `json:"blocked"`
	EndsAt  time.Time `json:"ends_at"`
	Done    bool      `json:"done"`
}

// Explanation describes the state of one job, and what it waits for.
type Explanation struct {
	ID      ID                `json:"id"`
	State   platform.JobState `json:"state"`
	Kept    platform.JobState `json:"kept"`
	Queue   string            `json:"queue"`
	Service string            `json:"service"`
	Team    string            `json:"team,omitempty"`
	CameAt  time.Time         `json:"came_at"`
	DueAt   time.Time         `json:"due_at"`
	Blocked string            `json:"blocked,omitempty"`
	Steps   []StepExplanation `json:"steps"`
}

// StepExplanation describes one step of an instance of a job.
type StepExplanation struct {
	Time  int           `json:"time"`
	Step  int           `json:"step"`
	Tasks int           `json:"tasks"`
	Done  int           `json:"done"`
	Waits string        `json:"waits,omitempty"`
	Runs  []RunOverview `json:"runs,omitempty"`
}

// RunOverview summarises one run of a task.
type RunOverview struct {
	Task    string            `json:"task"`
	Run     int64             `json:"run"`
	Worker  platform.WorkerID `json:"worker"`
	Percent int               `json:"percent"`
	SentAt  time.Time         `json:"sent_at"`
}

// Overview summarises the state of the core.
func (c *Core) Overview() Overview {
	o := Overview{Fence: c.fence, Version: c.config.Version}
	for _, q := range c.config.Queues {
		v := QueueOverview{Name: q.Name, Service: q.Service, Limit: c.limitOverview(q.Name)}
		for _, j := range c.active {
			switch {
			case j.Queue != q.Name:
			case j.started:
				v.Running++
			default:
				v.Waiting++
			}
		}
		o.Queues = append(o.Queues, v)
	}
	o.Teams = c.teamOverviews()
	o.Evacuations = c.evacuationOverviews()
	o.Pools = c.poolOverviews()
	for _, w := range c.waves {
		o.Waves = append(o.Waves, WaveOverview{Number: w.Number, Left: len(w.pending), Down: len(w.down), Blocked: w.blocked, EndsAt: w.endsAt, Done: w.reported})
	}
	return o
}

// poolOverviews summarises the pools that have workers or want hosts.
func (c *Core) poolOverviews() []PoolOverview {
	byService := map[string]*PoolOverview{}
	for s, l := range c.pools {
		p := &PoolOverview{Service: s, Workers: len(l)}
		for _, w := range l {
			p.add(w)
		}
		byService[s] = p
	}
	for service, s := range c.balance.shares {
		if byService[service] == nil && s.want > 0 {
			byService[service] = &PoolOverview{Service: service}
		}
	}
	var all []PoolOverview
	for service, p := range sorted(byService) {
		if s, ok := c.shareOf(service); ok {
			p.poolHosts = s.hosts()
		}
		all = append(all, *p)
	}
	return all
}

func (c *Core) teamOverviews() []TeamOverview {
	byTeam := map[*team]*TeamOverview{}
	for _, t := range c.teams.byName {
		byTeam[t] = &TeamOverview{Name: t.Name, Weight: t.Weight, Cap: t.Cap, Used: t.used, InTime: t.served.inTime, Late: t.served.late}
	}
	for _, j := range c.active {
		v := byTeam[j.team]
		switch {
		case v == nil:
			continue
		case j.started:
			v.Running++
		default:
			v.Waiting++
		}
		if c.beyondShare(j) {
			v.Beyond++
		}
	}
	all := make([]TeamOverview, 0, len(byTeam))
	for _, v := range byTeam {
		all = append(all, *v)
	}
	slices.SortFunc(all, func(a, b TeamOverview) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (p *PoolOverview) add(w *worker) {
	p.Runs += len(w.runs)
	if w.missedPolls > 0 {
		p.Silent++
	}
	p.Used.MilliCores += w.used.MilliCores
	p.Used.MemoryMB += w.used.MemoryMB
	p.Capacity.MilliCores += w.Capacity.MilliCores
	p.Capacity.MemoryMB += w.Capacity.MemoryMB
}

// Explain describes a job.
func (c *Core) Explain(id ID) (Explanation, bool) {
	j := c.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	e := Explanation{ID: id, State: j.state, Kept: j.storedState, Queue: j.Queue, Service: j.queue.Service, Team: j.Team, CameAt: j.ReceivedAt}
	if j.state.Final() {
		return e, true
	}
	switch {
	case !c.inheritedRunsKnown(j):
		e.Blocked = "workers that an earlier owner used have not answered yet, or not listed all ends"
	case c.mayHaveMissedEvacuation():
		e.Blocked = "the owner cannot read whether a data centre has been evacuated"
	case c.beyondShare(j):
		e.Blocked = "beyond its team's share: behind the jobs of other teams"
	}
	for n := range j.inOrder() {
		e.DueAt = c.deadline(j, n)
		for _, s := range n.steps {
			e.Steps = append(e.Steps, c.explainStep(n, s))
		}
	}
	return e, true
}

// Reasons why tasks of a step wait.
const (
	waitsForSteps = "for the steps before it"
	waitsForCap   = "over the team's cap"
	waitsForRoom  = "for room on a worker"
	// waitsOutside is followed by the evacuated data centres.
	waitsOutside = "for room on a worker outside the evacuated "
)

func (c *Core) explainStep(n *instance, s *step) StepExplanation {
	v := StepExplanation{Time: n.index, Step: s.index, Tasks: len(s.tasks), Done: len(s.tasks) - s.remaining}
	switch {
	case !s.unblocked():
		v.Waits = waitsForSteps
	case s.idle > 0 && !s.instance.job.team.mayUse(s.Resources, 1):
		v.Waits = waitsForCap
	case s.idle > 0 && len(c.evacuations.DataCentres) > 0:
		v.Waits = waitsOutside + strings.Join(c.evacuations.names(), ", ")
	case s.idle > 0:
		v.Waits = waitsForRoom
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			v.Runs = append(v.Runs, RunOverview{Task: t.key().String(), Run: r.number, Worker: r.worker.ID, Percent: r.percent, SentAt: r.sentAt})
		}
	}
	return v
}

// overview summarises the state of this host.
func (n *Node) overview() Overview {
	var o Overview
	if w := n.localOwner(); w != nil {
		w.mu.Lock()
		o = w.core.Overview()
		w.mu.Unlock()
	} else if r := n.routes.Load(); r != nil {
		o.Version = r.config.Version
	}
	o.Name, o.Owner, o.Dropped = n.settings.Name, n.election.owner(), n.log.Dropped()
	o.Refused = n.refusals.counts()
	c := n.KV.Calls()
	o.Reads, o.Writes, o.Watches = c.Reads.Load(), c.Writes.Load(), c.Watches.Load()
	return o
}

func (n *Node) serveOverview(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, n.overview())
}

func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	o := n.localOwner()
	if o == nil {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	o.mu.Lock()
	e, known := o.core.Explain(ID(r.PathValue("id")))
	o.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, e)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
