package admin

import (
	"time"

	"amberway/config"
	"amberway/fleet"
	"amberway/peers"
)

// Status is the state of one entry host and what it knows of the others.
type Status struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Version    string `json:"version"`
	Ready      bool   `json:"ready"`
	Generation int64  `json:"generation"`
	// ConfirmedAt is when the platform last confirmed the configuration.
	ConfirmedAt time.Time `json:"confirmed_at,omitzero"`
	// ListAsOf is the time as of which the host list is current.
	ListAsOf time.Time `json:"list_as_of,omitzero"`
	// JobMoves counts the jobs moved in the data centre so far.
	JobMoves int64          `json:"job_moves"`
	Members  []peers.Member `json:"members"`
	// Generations is the generation in force on each live entry host that answered.
	Generations map[string]int64 `json:"generations"`
}

// ApplyResult is the answer to a change of the configuration.
type ApplyResult struct {
	Generation int64 `json:"generation"`
}

// ActiveConfig is the configuration in force.
type ActiveConfig struct {
	Generation int64            `json:"generation"`
	Document   *config.Document `json:"document"`
}

// Pool is one pool in the data centre of the entry host that was asked.
type Pool struct {
	Name string `json:"name"`
	Team string `json:"team"`
	fleet.PoolCapacity
	Buffer int `json:"buffer"`
}

// Host is one host in the data centre of the entry host that was asked.
type Host struct {
	Name string `json:"name"`
	fleet.HostStatus
	Rack    string `json:"rack"`
	Live    bool   `json:"live"`
	Leaving bool   `json:"leaving"`
	// Blocked is the reason if its addition, drain, reboot or move has to wait.
	Blocked string `json:"blocked,omitempty"`
}

// Job is one job and where it is in the data centre of the entry host that was
// asked.
type Job struct {
	Service string `json:"service"`
	config.Job
	// Hosts are the hosts that it is placed on; empty if it may run on all of its pool.
	Hosts []string `json:"hosts"`
	// Unplaced is the reason if it lacks replicas.
	Unplaced string `json:"unplaced,omitempty"`
}

// Wave is the progress of one wave in the data centre of the entry host that was asked.
type Wave struct {
	config.Wave
	Hosts       int      `json:"hosts"`
	Done        int      `json:"done"`
	Maintenance []string `json:"maintenance"`
	// Overdue lists the hosts that have not returned from their reboot in time.
	Overdue []string `json:"away"`
}

// Change is the body of a request that drains or releases a host, or that sets the state
// of a wave.
type Change struct {
	Held  bool             `json:"held"`
	State config.WaveState `json:"state"`
}

// Failure is the body of every error answer.
type Failure struct {
	Error string `json:"error"`
	// Violations lists what is wrong with a document.
	Violations config.ValidationError `json:"faults,omitempty"`
	// Current is set if the base of a change is stale: it is the generation in force.
	// Changed names the sections in which that differs from the change.
	Current int64    `json:"current,omitempty"`
	Changed []string `json:"changed,omitempty"`
}
