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
	// Placement weighs the costs of a plan against each other.
	Placement Placement `yaml:"placement" json:"placement"`
	Teams     []Team    `yaml:"teams" json:"teams"`
	Pools     []Pool    `yaml:"pools" json:"pools"`
	Services  []Service `yaml:"services" json:"services"`
	Waves     []Wave    `yaml:"waves" json:"waves"`
}

// Placement weighs the costs of a plan. Only the ratio of the weights counts.
type Placement struct {
	// MoveWeight is the cost of one moved job.
	MoveWeight float64 `yaml:"move_weight" json:"move_weight"`
	// BufferWeight is the cost of one idle worker.
	BufferWeight float64 `yaml:"buffer_weight" json:"buffer_weight"`
}

// Team owns pools and has a quota.
type Team struct {
	Name string `yaml:"name" json:"name"`
	// MaxHosts is the most hosts that the team's pools may own together in each
	// data centre; zero means no bound. It is counted for each data centre so
	// that it holds while they cannot hear each other.
	MaxHosts int `yaml:"hosts" json:"hosts"`
	// MaxAccelerators is the most accelerators of those hosts in each data
	// centre; zero means no bound.
	MaxAccelerators int `yaml:"accelerators" json:"accelerators"`
}

// Pool is a set of hosts that a selector picks by their labels.
type Pool struct {
	Name   string   `yaml:"name" json:"name"`
	Team   string   `yaml:"team" json:"team"`
	Select Selector `yaml:"select" json:"select"`
	Budget Budget   `yaml:"budget" json:"budget"`
}

// Budget is a pool's availability budget, divided into an allowance for each
// data centre so that it holds while they cannot hear each other.
type Budget struct {
	// MinAvailable is the least number of hosts in service in each data centre.
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
	// Repeatable says that a second run does no harm.
	Repeatable bool `yaml:"repeatable" json:"repeatable"`
	// RunTime is the declared time of one run. It is a first guess; what is
	// measured replaces it.
	RunTime time.Duration `yaml:"run_time" json:"run_time"`
	// Timeout is how long a request without a deadline of its own may take.
	Timeout time.Duration `yaml:"patience" json:"patience"`
	// Replicas is the number of workers that have to hold the job; zero means
	// every worker of the pool.
	Replicas     int   `yaml:"replicas" json:"replicas"`
	Processors   int   `yaml:"processors" json:"processors"`
	MemoryBytes  int64 `yaml:"memory_bytes" json:"memory_bytes"`
	Accelerators int   `yaml:"accelerators" json:"accelerators"`
}

// WaveState is what an operator wants of a wave.
type WaveState string

// The states of a wave.
const (
	WavePlanned WaveState = "planned"
	WaveRunning WaveState = "running"
	WavePaused  WaveState = "paused"
	WaveAborted WaveState = "aborted"
)

// Wave maintains every host of its pools once.
type Wave struct {
	Name  string    `yaml:"name" json:"name"`
	Pools []string  `yaml:"pools" json:"pools"`
	State WaveState `yaml:"state" json:"state"`
	// MaxInMaintenance is the most hosts of one data centre in maintenance at once.
	MaxInMaintenance int `yaml:"limit" json:"limit"`
	// FailureLimit is how many hosts of one data centre may stay away before the
	// wave stops there.
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
