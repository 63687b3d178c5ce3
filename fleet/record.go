package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// State is the state of a host.
type State string

// The states of a host. Only a host in service gets work.
const (
	InService State = "in service"
	// Draining hosts get no new requests and finish the running ones.
	Draining State = "draining"
	// Drained hosts have no requests in flight from any entry host.
	Drained State = "drained"
	// Rebooting hosts have been ordered to reboot.
	Rebooting State = "rebooting"
	// Overdue hosts have not returned from a reboot before its deadline.
	Overdue State = "away"
)

// HostStatus is the stored status of one host.
type HostStatus struct {
	Pool  string `json:"pool"`
	State State  `json:"state"`
	// Term is a fencing token. It is raised with each drain, each reboot order and
	// each return to service, and makes earlier orders and idle reports void.
	Term int64 `json:"term"`
	// OrderDeadline is the time until which the reboot order may be sent, or sent
	// again: the platform carries out an order once per term.
	OrderDeadline time.Time `json:"order_by,omitzero"`
	// RebootDeadline is the time after which a rebooting host is overdue.
	RebootDeadline time.Time `json:"return_by,omitzero"`
	// Wave is the wave that the host is in maintenance for.
	Wave string `json:"wave,omitempty"`
	// Done are the waves of the configuration that have rebooted the host.
	Done []string `json:"done,omitempty"`
	// Held says that an operator wants the host drained and kept drained.
	Held bool `json:"held,omitempty"`
	// Moving says that the host is drained because another pool, or none,
	// selects it.
	Moving bool `json:"moving,omitempty"`
	// Boot is the host's boot count from before the reboot.
	Boot int64 `json:"boot,omitempty"`
	// RemoveAt is when a host that is missing from the host list is removed.
	RemoveAt time.Time `json:"gone_at,omitzero"`
}

// Record is the stored state of one data centre.
type Record struct {
	// Version is raised with each write.
	Version int64 `json:"version"`
	// WriteID is the id of the write that stored this record.
	WriteID string `json:"write"`
	// Generation is the generation of the configuration that the record was made
	// under. A coordinator with an older configuration does not write.
	Generation int64                 `json:"generation"`
	Hosts      map[string]HostStatus `json:"hosts"`
	// Placement gives the hosts of each job that has a number of replicas. Other
	// jobs are on all hosts of their pools.
	Placement Placement `json:"placement,omitempty"`
	// Unplaced gives the reason for each job that lacks replicas.
	Unplaced map[string]string `json:"unplaced,omitempty"`
	// Moves counts all moves of replicas so far.
	Moves int64 `json:"moves,omitempty"`
}

// Clone returns a copy whose Hosts can be changed independently.
func (r Record) Clone() Record {
	r.Hosts = maps.Clone(r.Hosts)
	if r.Hosts == nil {
		r.Hosts = map[string]HostStatus{}
	}
	return r
}

// hasDraining reports whether any host is draining. That such a host has become idle
// is learned only by asking the entry hosts.
func (r Record) hasDraining() bool {
	for _, w := range r.Hosts {
		if w.State == Draining {
			return true
		}
	}
	return false
}

// Names returns the sorted names of the hosts.
func (r Record) Names() []string {
	return slices.Sorted(maps.Keys(r.Hosts))
}

// RecordKey returns the store key of a data centre's record.
func RecordKey(dc string) string {
	return "fleet/" + dc
}

// DecodeRecord decodes a record from JSON.
func DecodeRecord(b []byte) (Record, error) {
	r := Record{}
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, merry.Prepend(err, "fleet: record")
	}
	return r, nil
}
