package request

import (
	"cmp"
	"slices"
	"time"

	"amberway/common"
)

// SchedulerDump is the scheduler's state as shown to operators.
type SchedulerDump struct {
	Targets  []TargetDump  `json:"targets"`
	Services []ServiceDump `json:"services"`
	Jobs     []JobDump     `json:"jobs"`
}

// TargetDump is one target as this process sees it.
type TargetDump struct {
	Name             string    `json:"name"`
	Pool             string    `json:"pool"`
	Slots            int       `json:"slots"`
	Busy             int       `json:"busy"`
	RunSeconds       float64   `json:"run_seconds"`
	Success          float64   `json:"success_share"`
	QuarantinedUntil time.Time `json:"aside_until,omitzero"`
}

// ServiceDump is the queues of one service.
type ServiceDump struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Quick   int    `json:"quick_waiting"`
	Patient int    `json:"patient_waiting"`
}

// JobDump is what the scheduler has learned about one job.
type JobDump struct {
	Service    string  `json:"service"`
	Job        string  `json:"job"`
	RunSeconds float64 `json:"run_seconds"`
	// FailsEverywhere says that the job failed on several targets without a success in
	// between.
	FailsEverywhere bool `json:"hopeless"`
}

// Dump returns the state of the scheduler.
func (s *Scheduler) Dump() SchedulerDump {
	var d SchedulerDump
	for _, t := range s.targets {
		d.Targets = append(d.Targets, TargetDump{
			Name: t.Name, Pool: t.Pool, Slots: t.Slots, Busy: t.busy,
			RunSeconds: t.run.value.Seconds(), Success: t.success.value, QuarantinedUntil: t.quarantinedUntil,
		})
	}
	for _, v := range s.services {
		d.Services = append(d.Services, ServiceDump{
			Name: v.Name, Pool: v.Pool,
			Quick:   v.queues[common.Quick].heap.Len(),
			Patient: v.queues[common.Patient].heap.Len(),
		})
	}
	for k, j := range s.jobs {
		d.Jobs = append(d.Jobs, JobDump{
			Service: k.service, Job: k.job, RunSeconds: j.run.value.Seconds(), FailsEverywhere: j.failsEverywhere(),
		})
	}
	slices.SortFunc(d.Targets, func(a, b TargetDump) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Services, func(a, b ServiceDump) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Jobs, func(a, b JobDump) int { return cmp.Compare(a.Service+"/"+a.Job, b.Service+"/"+b.Job) })
	return d
}
