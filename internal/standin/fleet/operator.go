package fleet

import (
	"fmt"
	"time"
)

// JobsHost is the host of every queue, and QueuePrefix begins its path.
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
	// Weight is its share; Cap bounds what it may have running.
	Weight int
	Cap    Capacity
}

// Config is a configuration as the operator declares it.
type Config struct {
	Version int64
	Pools   []string
	Queues  []Queue
	// Teams are left out where they are nil, and callers need no keys.
	Teams []Team
}

// Document returns the configuration as the operator writes it, with the spare pool.
func (c Config) Document(spare string) any {
	type row = map[string]any
	services := []row{{"name": spare, "headroom": true, "rejects_overload": true}}
	for _, p := range c.Pools {
		services = append(services, row{"name": p, "rejects_overload": true})
	}
	routes := []row{}
	for _, q := range c.Queues {
		routes = append(routes, row{
			"name": "r-" + q.Name, "host": JobsHost, "prefix": QueuePrefix + q.Name + "/", "service": q.Pool,
			"timeout_ms": 3000, "goal_ms": 1000, "stretch": 2, "retries": 3,
		})
	}
	all := row{
		"version": c.Version, "routes": routes, "services": services,
		"limits": row{"max_header_bytes": 16384, "max_body_bytes": 65536},
	}
	if c.Teams == nil {
		return all
	}
	teams := []row{}
	for _, t := range c.Teams {
		teams = append(teams, row{"name": t.Name, "api_keys": t.Keys, "weight": t.Weight, "cap": t.Cap})
	}
	all["tenants"] = teams
	return all
}

// Configure puts a configuration in force.
func (f *Fleet) Configure(c Config) error {
	return f.Store.Put("op/config", c.Document(f.Spare))
}

// RequestWave asks for the upkeep of the machines.
func (f *Fleet) RequestWave(number int64, machines []string, within time.Duration, most int) error {
	return f.Store.Put(fmt.Sprint("op/wave/", number), map[string]any{
		"wave": number, "machines": machines, "within_s": within.Seconds(), "cap": most,
	})
}

// WaveState returns what the system says of a wave.
func (f *Fleet) WaveState(number int64) string {
	b, _ := f.Store.Value(fmt.Sprint("status/wave/", number))
	return string(b)
}

// Step is a step of a job as callers write it.
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

// Job is a job as callers write it. What a task does is read from the spec: a
// time, "lasts" or "fails".
type Job struct {
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
}
