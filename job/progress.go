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

// Progress is what the store holds of a job beside its record: enough for another owner to
// continue the job, and for any entry host to report its state.
type Progress struct {
	State platform.JobState `json:"s"`
	// FinalAt is when the job reached its final state.
	FinalAt time.Time `json:"t,omitzero"`
	// Instances holds those instances of the job of which a task has ended, by number.
	// All tasks of instances below OldestInstance are done.
	Instances      map[int]InstanceProgress `json:"i,omitempty"`
	OldestInstance int                      `json:"p,omitempty"`
	// Leftover describes runs of a final job that have yet to end. It is nil if there are
	// none or the job's team has no cap.
	Leftover *LeftoverRuns `json:"r,omitempty"`
}

// LeftoverRuns records what unfinished runs of a final job count against its team's cap. The
// next owner may find such runs on workers after the job's record was deleted.
type LeftoverRuns struct {
	Team    string `json:"m"`
	Service string `json:"s"`
	// OtherServices are those to which the queue was sent before.
	OtherServices []string `json:"o,omitempty"`
	// Tasks is the demand of a task, by step; Running is the demand of all runs that had
	// not ended.
	Tasks   []platform.Resources `json:"w"`
	Running platform.Resources   `json:"r"`
}

// leftoverRuns returns what the job's runs still count against its team's cap, or nil. While
// workers have yet to report the runs of an earlier owner, each task counts as running.
func (c *Core) leftoverRuns(j *job) *LeftoverRuns {
	if j.team == nil || j.team.Cap == (platform.Resources{}) {
		return nil
	}
	r := &LeftoverRuns{Team: j.Team, Service: j.queue.Service, OtherServices: c.formerServices(j), Running: j.orphanUsage}
	for _, i := range j.instances {
		for _, s := range i.steps {
			r.Running = r.Running.AddTimes(s.Resources, int64(s.runCount()))
		}
	}
	if !c.inheritedRunsKnown(j) {
		r.Running = c.addUnknownRuns(r.Running, j)
	}
	if r.Running == (platform.Resources{}) {
		return nil
	}
	for _, s := range j.Steps {
		r.Tasks = append(r.Tasks, s.Resources)
	}
	return r
}

// runCount returns the number of runs of the step's tasks.
func (s *step) runCount() int {
	n := 0
	for _, t := range s.tasks {
		n += len(t.runs)
	}
	return n
}

// finalJob returns a job that is final according to the progress of an earlier owner.
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

// InstanceProgress is the progress of one instance of a job.
type InstanceProgress struct {
	// Done has a bit for each finished task, by step. It is empty for a complete instance.
	Done []*big.Int `json:"d,omitempty"`
	// Failures holds the failures of unfinished tasks.
	Failures []TaskFailures `json:"f,omitempty"`
	Complete bool           `json:"w,omitempty"`
}

// TaskFailures holds the failures of one task. Runs are the numbers of its failed runs: until
// an end is acknowledged, the worker reports it to the next owner as well, which must not
// count it twice. Crashes counts the workers that crashed while they ran the task, which are
// not reported again.
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

// check returns an error for progress that no owner would have written.
func (p *Progress) check() error {
	switch p.State {
	case platform.StateQueued, platform.StateRunning, platform.StateSucceeded, platform.StateFailed, platform.StateCancelled:
	default:
		return fmt.Errorf("unknown state %.20q", p.State)
	}
	if p.OldestInstance < 0 {
		return errors.New("negative instance number")
	}
	for _, n := range p.Instances {
		for _, f := range n.Failures {
			if f.Step < 0 || f.Index < 0 {
				return errors.New("negative step or task number")
			}
		}
	}
	return nil
}

// progress returns the present progress of the job.
func (c *Core) progress(j *job) Progress {
	p := Progress{State: j.state, FinalAt: j.finalAt}
	if j.state.Final() {
		p.Leftover = c.leftoverRuns(j)
		return p
	}
	p.OldestInstance = j.oldestInstance
	p.Instances = make(map[int]InstanceProgress, len(j.instances)+len(j.complete))
	for k := range j.complete {
		p.Instances[k] = InstanceProgress{Complete: true}
	}
	for k, n := range j.instances {
		if !n.noTaskEnded() {
			p.Instances[k] = n.progress()
		}
	}
	return p
}

func (n *instance) progress() InstanceProgress {
	p := InstanceProgress{Done: make([]*big.Int, len(n.steps))}
	for i, s := range n.steps {
		p.Done[i] = new(big.Int)
		for x, t := range s.tasks {
			switch {
			case t.done:
				p.Done[i].SetBit(p.Done[i], x, 1)
			case len(t.failedRuns) > 0 || t.crashes.All > 0:
				p.Failures = append(p.Failures, TaskFailures{Step: i, Index: x, Runs: t.failedRuns, Crashes: t.crashes})
			}
		}
	}
	return p
}

// restore applies the progress that an earlier owner has stored. A lasting task with crashes
// waits for its backoff once more.
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
			t.failedRuns = f.Runs
			t.crashes = f.Crashes
			if t.step.Lasting && t.crashes.All > 0 {
				t.notBefore = now.Add(t.crashes.backoff())
			}
		}
	}
}
