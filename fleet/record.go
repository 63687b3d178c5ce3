package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// State is where a host stands.
type State string

// The states of a host. Only one that is in service gets work.
const (
	InService State = "in service"
	// Draining hosts get nothing new and finish what they run.
	Draining State = "draining"
	// Drained hosts have nothing in flight from any entry host.
	Drained State = "drained"
	// Rebooting hosts have been ordered to reboot.
	Rebooting State = "rebooting"
	// Overdue hosts have not come back from a reboot in time.
	Overdue State = "away"
)

// HostStatus is what holds of one host.
type HostStatus struct {
	Pool  string `json:"pool"`
	State State  `json:"state"`
	// Term is raised with each drain and each order, and fences the ones
	// before.
	Term int64 `json:"term"`
	// OrderDeadline is until when the order to reboot may be sent, each time with the
	// same term, which the platform takes once.
	OrderDeadline time.Time `json:"order_by,omitzero"`
	// RebootDeadline is by when a host that is rebooting has to be back.
	RebootDeadline time.Time `json:"return_by,omitzero"`
	// Wave is the wave that the host is in maintenance for.
	Wave string `json:"wave,omitempty"`
	// Done are the waves of the configuration that the host has been through.
	Done []string `json:"done,omitempty"`
	// Held says that an operator wants the host drained and kept so.
	Held bool `json:"held,omitempty"`
	// Moving says that the host is drained because another pool, or none,
	// selects it.
	Moving bool `json:"moving,omitempty"`
	// Boot is the host's boot count before the reboot.
	Boot int64 `json:"boot,omitempty"`
	// RemoveAt is when a host that is off the list loses its row.
	RemoveAt time.Time `json:"gone_at,omitzero"`
}

// Record is the rows of one data centre.
type Record struct {
	// Version only grows.
	Version int64 `json:"version"`
	// WriteID is the id of the write that made it.
	WriteID string `json:"write"`
	// Generation is the configuration that it was made under. A coordinator
	// with an older one does not write.
	Generation int64                 `json:"generation"`
	Hosts      map[string]HostStatus `json:"hosts"`
	// Placement gives the hosts of each job that is not on all hosts of its
	// pool.
	Placement Placement `json:"placement,omitempty"`
	// Unplaced says why a job lacks replicas.
	Unplaced map[string]string `json:"unplaced,omitempty"`
	// Moves counts the jobs moved so far.
	Moves int64 `json:"moves,omitempty"`
}

// Clone returns a copy that shares nothing that is changed.
func (r Record) Clone() Record {
	r.Hosts = maps.Clone(r.Hosts)
	if r.Hosts == nil {
		r.Hosts = map[string]HostStatus{}
	}
	return r
}

// hasDraining reports whether any host waits for entry hosts to say that it is
// idle, which nothing but asking them tells.
func (r Record) hasDraining() bool {
	for _, w := range r.Hosts {
		if w.State == Draining {
			return true
		}
	}
	return false
}

// Names returns the names of the hosts in order.
func (r Record) Names() []string {
	return slices.Sorted(maps.Keys(r.Hosts))
}

// RecordKey returns the key of a data centre's record.
func RecordKey(dc string) string {
	return "fleet/" + dc
}

// DecodeRecord reads a record from its JSON.
func DecodeRecord(b []byte) (Record, error) {
	r := Record{}
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, merry.Prepend(err, "fleet: record")
	}
	return r, nil
}
