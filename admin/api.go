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
	// ConfirmedAt is when the platform last told its configuration.
	ConfirmedAt time.Time `json:"confirmed_at,omitzero"`
	// ListAsOf is the age of the host list.
	ListAsOf time.Time `json:"list_as_of,omitzero"`
	// JobMoves counts the jobs moved in the data centre so far.
	JobMoves int64          `json:"job_moves"`
	Members  []peers.Member `json:"members"`
	// Generations gives the generation in force on each live entry host that
	// answered.
	Generations map[string]int64 `json:"generations"`
}

// ApplyResult answers the application of a document.
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
	// Blocked says why its drain waits.
	Blocked string `json:"blocked,omitempty"`
}

// Job is one job and where it is in the data centre of the entry host that was
// asked.
type Job struct {
	Service string `json:"service"`
	config.Job
	// Hosts are those that hold it; none are named where all of the pool do.
	Hosts []string `json:"hosts"`
	// Unplaced says why it lacks replicas.
	Unplaced string `json:"unplaced,omitempty"`
}

// Wave is how far one wave is in the data centre of the entry host that was
// asked.
type Wave struct {
	config.Wave
	Hosts       int      `json:"hosts"`
	Done        int      `json:"done"`
	Maintenance []string `json:"maintenance"`
	Overdue     []string `json:"away"`
}

// Change asks for a host to be held or a wave to be set to a state.
type Change struct {
	Held  bool             `json:"held"`
	State config.WaveState `json:"state"`
}

// Failure is the body of every answer that is an error.
type Failure struct {
	Error string `json:"error"`
	// Violations are what is wrong with a document.
	Violations config.ValidationError `json:"faults,omitempty"`
	// Current and Changed tell what a stale base missed.
	Current int64    `json:"current,omitempty"`
	Changed []string `json:"changed,omitempty"`
}
