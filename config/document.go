package config

import (
	"time"

	"amberway/common"
)

// Document is everything an operator declares.
type Document struct {
	// Operator names the deployment.
	Operator string `yaml:"operator" json:"operator"`
	// DataCentres are the names of all data centres.
	DataCentres []string `yaml:"data_centres" json:"data_centres"`
	// Placement weighs moves against idle workers.
	Placement Placement `yaml:"placement" json:"placement"`
	Teams     []Team    `yaml:"teams" json:"teams"`
	Pools     []Pool    `yaml:"pools" json:"pools"`
	Services  []Service `yaml:"services" json:"services"`
	Waves     []Wave    `yaml:"waves" json:"waves"`
}

// Placement has the weights of the costs of a plan. Only their ratio matters.
type Placement struct {
	// MoveWeight is the cost of moving one replica of a job.
	MoveWeight float64 `yaml:"move_weight" json:"move_weight"`
	// BufferWeight is the cost of one idle worker.
	BufferWeight float64 `yaml:"buffer_weight" json:"buffer_weight"`
}

// Team owns pools and has a quota.
type Team struct {
	Name string `yaml:"name" json:"name"`
	// MaxHosts is the maximum number of hosts in all pools of the team in each data
	// centre; zero means no limit. The limit is per data centre so that it holds
	// while the data centres cannot reach each other.
	MaxHosts int `yaml:"hosts" json:"hosts"`
	// MaxAccelerators is the maximum number of accelerators of those hosts in each
	// data centre; zero means no limit.
	MaxAccelerators int `yaml:"accelerators" json:"accelerators"`
}

// Pool is a set of hosts selected by their labels.
type Pool struct {
	Name   string   `yaml:"name" json:"name"`
	Team   string   `yaml:"team" json:"team"`
	Select Selector `yaml:"select" json:"select"`
	Budget Budget   `yaml:"budget" json:"budget"`
}

// Budget is a pool's disruption budget. It is set for each data centre so that it
// holds while the data centres cannot reach each other.
type Budget struct {
	// MinAvailable is the minimum number of available hosts, by data centre.
	MinAvailable map[string]int `yaml:"available" json:"available"`
}

// Service takes requests and runs them on the hosts of one pool.
type Service struct {
	Name string `yaml:"name" json:"name"`
	Pool string `yaml:"pool" json:"pool"`
	// Weight is the service's share of the pool under overload.
	Weight int   `yaml:"weight" json:"weight"`
	Jobs   []Job `yaml:"jobs" json:"jobs"`
}

// Job is one kind of work of a service.
type Job struct {
	Name  string       `yaml:"name" json:"name"`
	Class common.Class `yaml:"class" json:"class"`
	// Repeatable says that a request may safely run more than once.
	Repeatable bool `yaml:"repeatable" json:"repeatable"`
	// RunTime is the initial estimate of the time of one run. Measured times replace
	// it.
	RunTime time.Duration `yaml:"run_time" json:"run_time"`
	// Timeout is the time limit of a request that has no deadline of its own.
	Timeout time.Duration `yaml:"patience" json:"patience"`
	// Replicas is the number of workers that the job is placed on; zero means every
	// worker of the pool.
	Replicas     int   `yaml:"replicas" json:"replicas"`
	Processors   int   `yaml:"processors" json:"processors"`
	MemoryBytes  int64 `yaml:"memory_bytes" json:"memory_bytes"`
	Accelerators int   `yaml:"accelerators" json:"accelerators"`
}

// WaveState is the state that an operator has set for a wave.
type WaveState string

// The states of a wave.
const (
	WavePlanned WaveState = "planned"
	WaveRunning WaveState = "running"
	WavePaused  WaveState = "paused"
	WaveAborted WaveState = "aborted"
)

// Wave is a maintenance wave: it drains and reboots every host of its pools once.
type Wave struct {
	Name  string    `yaml:"name" json:"name"`
	Pools []string  `yaml:"pools" json:"pools"`
	State WaveState `yaml:"state" json:"state"`
	// MaxInMaintenance is the maximum number of hosts of one data centre in
	// maintenance at the same time.
	MaxInMaintenance int `yaml:"limit" json:"limit"`
	// FailureLimit is the number of hosts of one data centre overdue from their
	// reboot at which the wave stops there.
	FailureLimit int `yaml:"failures" json:"failures"`
}

// Pool returns the pool with the name, or false.
func (d *Document) Pool(name string) (Pool, bool) {
	for _, p := range d.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Service returns the service with the name, or false.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Job returns the job with the name, or false.
func (s Service) Job(name string) (Job, bool) {
	for _, j := range s.Jobs {
		if j.Name == name {
			return j, true
		}
	}
	return Job{}, false
}
