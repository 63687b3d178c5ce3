package fleet

import (
	"fmt"
	"time"
)

// JobsHost is the HTTP host of every queue, and QueuePrefix begins its path.
const (
	JobsHost    = "jobs.example"
	QueuePrefix = "/queues/"
)

// Queue is a queue as the operator declares it.
type Queue struct {
	Name string
	Pool string
}

// Team is a team as the operator declares it.
type Team struct {
	Name string
	Keys []string
	// Weight is its share relative to other teams; Cap bounds what it may have running.
	Weight int
	Cap    Capacity
}

// Config is a configuration as the operator declares it.
type Config struct {
	Version int64
	Pools   []string
	Queues  []Queue
	// Teams is left out of the document if nil; callers then need no keys.
	Teams []Team
	// MaxBodyBytes is the limit on the bodies of callers, 65,536 if zero.
	MaxBodyBytes int
}

// Document returns the configuration as the operator writes it, with the spare pool if there is one.
func (c Config) Document(spare string) any {
	type object = map[string]any
	services := []object{}
	if spare != "" {
		services = append(services, object{"name": spare, "headroom": true, "rejects_overload": true})
	}
	for _, p := range c.Pools {
		services = append(services, object{"name": p, "rejects_overload": true})
	}
	routes := []object{}
	for _, q := range c.Queues {
		routes = append(routes, object{
			"name": "r-" + q.Name, "host": JobsHost, "prefix": QueuePrefix + q.Name + "/", "service": q.Pool,
			"timeout_ms": 3000, "goal_ms": 1000, "stretch": 2, "retries": 3,
		})
	}
	maxBody := c.MaxBodyBytes
	if maxBody == 0 {
		maxBody = 65536
	}
	doc := object{
		"version": c.Version, "routes": routes, "services": services,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": maxBody},
	}
	if c.Teams == nil {
		return doc
	}
	teams := []object{}
	for _, t := range c.Teams {
		teams = append(teams, object{"name": t.Name, "api_keys": t.Keys, "weight": t.Weight, "cap": t.Cap})
	}
	doc["tenants"] = teams
	return doc
}

// Configure writes a configuration as the operator does.
func (f *Fleet) Configure(c Config) error {
	return f.Store.Put("op/config", c.Document(f.Spare))
}

// RequestWave requests maintenance of the machines as the operator does, with at most
// maxDown of them down at once.
func (f *Fleet) RequestWave(number int64, machines []string, timeLimit time.Duration, maxDown int) error {
	return f.Store.Put(fmt.Sprint("op/wave/", number), map[string]any{
		"wave": number, "machines": machines, "within_s": timeLimit.Seconds(), "cap": maxDown,
	})
}

// WaveState returns the state of a wave that amberway has written to the store.
func (f *Fleet) WaveState(number int64) string {
	b, _ := f.Store.Value(fmt.Sprint("status/wave/", number))
	return string(b)
}

// Step is a step of a job as callers submit it.
type Step struct {
	Count          int   `json:"count"`
	CPU            int   `json:"cpu"`
	MemMB          int   `json:"mem_mb"`
	After          []int `json:"after,omitempty"`
	EstimateMs     int   `json:"estimate_ms,omitempty"`
	Daemon         bool  `json:"daemon,omitempty"`
	MaxUnavailable int   `json:"may_miss,omitempty"`
	AntiAffinity   int   `json:"anti_affinity,omitempty"`
}

// Job is a job as callers submit it. The spec says how its tasks behave, see
// parseBehaviour.
type Job struct {
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Times is how often the steps run, zero once. The first time is due at InitialMs since 1970.
	Times      int   `json:"times,omitempty"`
	InitialMs  int64 `json:"initial_ms,omitempty"`
	IntervalMs int64 `json:"interval_ms,omitempty"`
}
