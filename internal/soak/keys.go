package soak

import (
	"net/http"
	"time"

	"amberway/internal/local"
)

// Parameters of the key checks.
const (
	// keysWithin is how long a revoked key may still be accepted on any entry host, even on
	// one that is partitioned. The daemons get it as a setting.
	keysWithin = 5 * time.Second
	// keyCallInterval is the pause between two calls with invalid keys.
	keyCallInterval = 200 * time.Millisecond
)

// checkInvalidKeys calls an entry host with a key that no team has ever had and with a revoked
// one, until the watch is over. Neither may be accepted.
func (r *Run) checkInvalidKeys(index int) {
	for !r.watchIsOver() {
		time.Sleep(keyCallInterval)
		x := r.entry(index)
		if r.acceptsKey(x, "of-nobody") {
			r.violationf("%s accepted a key that no team has ever had", x.Name)
		}
		if n := r.lastRevoked(); n >= 0 && r.acceptsKey(x, local.KeyForQueues(extraQueue(n))) {
			r.violationf("%s accepted the key of configuration %d, which was revoked more than %s ago", x.Name, n, keysWithin)
		}
	}
}

// acceptsKey reports whether a call with the key succeeds.
func (r *Run) acceptsKey(x *local.JobsEntry, key string) bool {
	code, _, err := x.CallWithKey(key, http.MethodGet, queues[0], "", nil)
	if err == nil && code == http.StatusOK {
		return true
	}
	if err == nil && code == http.StatusUnauthorized {
		r.count("turned away")
	}
	return false
}

// lastRevoked returns the newest configuration whose key was revoked more than keysWithin ago,
// or -1.
func (r *Run) lastRevoked() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.configs) - 1; i > 0; i-- {
		if v := r.configs[i]; !v.acceptedAt.IsZero() && time.Since(v.acceptedAt) > keysWithin {
			return i - 1
		}
	}
	return -1
}
