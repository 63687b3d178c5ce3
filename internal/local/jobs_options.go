package local

import "time"

// JobsOptions configure a deployment that serves jobs.
type JobsOptions struct {
	Entries int
	// Workers is the number of machines in each pool.
	Workers map[string]int
	// SpareMachines is the number of machines in the spare pool, which are switched off.
	SpareMachines int
	// NoSparePool leaves the spare pool out.
	NoSparePool bool
	// Profile has entry hosts serve profiles on the listener of their metrics.
	Profile bool
	// KeysWithin, if not zero, requires callers to have a team key, and is how long a
	// revoked key may still be accepted.
	KeysWithin time.Duration
	// EvacuationWithin, if not zero, is how long an evacuation may take to be in force.
	EvacuationWithin time.Duration
	// Downtime is how long a move or maintenance takes, 300 milliseconds by default.
	Downtime time.Duration
	// MemoryMB, if not zero, is what each entry host may take of its machine's memory, in megabytes.
	MemoryMB int
	// MaxDescriptors, if not zero, is the most descriptors that each entry host may have open.
	MaxDescriptors int
	// MaxBodyBytes is the configuration's limit on bodies, 65,536 by default.
	MaxBodyBytes int
	// ProxyAddress returns the address at which an entry host reaches an address of the
	// platform. By default it is the same address.
	ProxyAddress func(entry, address string) (string, error)
}
