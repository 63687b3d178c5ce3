package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/big"
	"strings"
	"time"

	"amberway/platform"
)

// Progress is what the owner keeps of a job: enough that another owner goes on
// with it, and that any entry host can tell its state.
type Progress struct {
	State platform.State `json:"s"`
	// FinalAt is when the job came to its final state.
	FinalAt time.Time `json:"t,omitzero"`
	// Instances are those times of the job of which a task has ended, by their
	// number. Those below Past are done in whole.
	Instances map[int]InstanceProgress `json:"i,omitempty"`
	Past      int                      `json:"p,omitempty"`
	// Leftover is what runs of a final job take that have yet to end, nil where its team
	// has no cap.
	Leftover *LeftoverRuns `json:"r,omitempty"`
}

// LeftoverRuns says what the runs of a final job count for, which the next owner may find at
// its workers when the job's record has gone.
type LeftoverRuns struct {
	Team    string `json:"m"`
	Service string `json:"s"`
	// Tasks are what a task takes, by step; Running is what all those take that had not
	// ended.
	Tasks   []platform.Resources `json:"w"`
	Running platform.Resources   `json:"r"`
}

// leftoverRuns returns what the job's runs still take of its team's cap, or nil. Where workers
// have yet to say what an earlier owner started, each task may run.
func (c *Core) leftoverRuns(j *job) *LeftoverRuns {
	if j.team == nil || j.team.Cap == (platform.Resources{}) {
		return nil
	}
	r := &LeftoverRuns{Team: j.Team, Service: j.queue.Service, Running: j.orphanUsage}
	for _, i := range j.instances {
		for _, s := range i.steps {
			n := s.runCount()
			if !c.inheritedRunsKnown(j) {
				n += s.idle
			}
			r.Running = r.Running.Plus(s.Resources, int64(n))
		}
	}
	if r.Running == (platform.Resources{}) {
		return nil
	}
	for _, s := range j.Steps {
		r.Tasks = append(r.Tasks, s.Resources)
	}
	return r
}

// runCount counts the runs of the step's tasks.
func (s *step) runCount() int {
	n := 0
	for _, t := range s.tasks {
		n += len(t.runs)
	}
	return n
}

// finalJob returns a job of which an earlier owner has kept that it is final.
func (c *Core) finalJob(id ID, p Progress) *job {
	j := &job{id: id, state: p.State, storedState: p.State, finalAt: p.FinalAt, started: true, leftover: p.Leftover}
	if r := p.Leftover; r != nil {
		j.Team, j.Service, j.queue.Service = r.Team, r.Service, r.Service
		j.team = c.teams.find(r.Team)
		for _, t := range r.Tasks {
			j.Steps = append(j.Steps, platform.Step{Resources: t})
		}
		c.teams.endedUncontacted = append(c.teams.endedUncontacted, j)
	}
	return j
}

// InstanceProgress is what is kept of one time of a job.
type InstanceProgress struct {
	// Done has a bit for each finished task, by step.
	Done []*big.Int `json:"d,omitempty"`
	// Failures counts the failed runs of unfinished tasks.
	Failures []TaskFailures `json:"f,omitempty"`
	Complete bool           `json:"w,omitempty"`
}

// TaskFailures are the failed runs of one task, by number: a worker tells of an
// end again to the next owner until it has forgotten it. Crashes counts the workers that
// crashed under the task, of which nobody tells again.
type TaskFailures struct {
	Step    int     `json:"s"`
	Index   int     `json:"i"`
	Runs    []int64 `json:"r,omitempty"`
	Crashes crashes `json:"c,omitzero"`
}

func encodeProgress(p Progress) ([]byte, error) {
	b, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("job: progress: %w", err)
	}
	return b, nil
}

func decodeProgress(e platform.Entry) (ID, Progress, error) {
	id := ID(strings.TrimPrefix(e.Key, progressPrefix))
	var p Progress
	err := json.Unmarshal(e.Value, &p)
	if err == nil {
		err = p.check()
	}
	if err != nil {
		return id, p, fmt.Errorf("job: progress %s: %w", id, err)
	}
	return id, p, nil
}

// check returns what no owner would have written.
func (p *Progress) check() error {
	switch p.State {
	case platform.StateQueued, platform.StateRunning, platform.StateSucceeded, platform.StateFailed, platform.StateCancelled:
	default:
		return fmt.Errorf("state %.20q", p.State)
	}
	if p.Past < 0 {
		return errors.New("a time below zero")
	}
	for _, n := range p.Instances {
		for _, f := range n.Failures {
			if f.Step < 0 || f.Index < 0 {
				return errors.New("a step or task below zero")
			}
		}
	}
	return nil
}

// progress returns what is to be kept of the job now.
func (c *Core) progress(j *job) Progress {
	p := Progress{State: j.state, FinalAt: j.finalAt}
	if j.state.Final() {
		p.Leftover = c.leftoverRuns(j)
		return p
	}
	p.Past = j.oldestInstance
	p.Instances = make(map[int]InstanceProgress, len(j.instances))
	for k, n := range j.instances {
		if !n.noTaskEnded() {
			p.Instances[k] = n.progress()
		}
	}
	return p
}

func (n *instance) progress() InstanceProgress {
	if n.remaining == 0 {
		return InstanceProgress{Complete: true}
	}
	p := InstanceProgress{Done: make([]*big.Int, len(n.steps))}
	for i, s := range n.steps {
		p.Done[i] = new(big.Int)
		for x, t := range s.tasks {
			switch {
			case t.done:
				p.Done[i].SetBit(p.Done[i], x, 1)
			case len(t.failed) > 0 || t.crashes.All > 0:
				p.Failures = append(p.Failures, TaskFailures{Step: i, Index: x, Runs: t.failed, Crashes: t.crashes})
			}
		}
	}
	return p
}

// restore takes over what an earlier owner has kept. Lasting tasks that workers have crashed
// under wait anew.
func (n *instance) restore(p InstanceProgress, now time.Time) {
	for i, s := range n.steps {
		for x, t := range s.tasks {
			if p.Complete || (i < len(p.Done) && p.Done[i] != nil && p.Done[i].Bit(x) == 1) {
				n.markDone(t)
			}
		}
	}
	for _, f := range p.Failures {
		if f.Step < len(n.steps) && f.Index < len(n.steps[f.Step].tasks) {
			t := n.steps[f.Step].tasks[f.Index]
			t.failed = f.Runs
			t.crashes = f.Crashes
			if t.of.Lasting && t.crashes.All > 0 {
				t.notBefore = now.Add(t.crashes.backoff())
			}
		}
	}
}
