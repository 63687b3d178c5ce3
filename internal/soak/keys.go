package soak

import (
	"net/http"
	"time"

	"amberway/internal/local"
)

// Figures of the keys.
const (
	// keysWithin is how long a key that was taken away may go on working, at any entry
	// host, whatever has cut it off: the daemons are told so.
	keysWithin = 5 * time.Second
	// keyCallInterval is the pause between two calls with keys that are not in force.
	keyCallInterval = 200 * time.Millisecond
)

// checkInvalidKeys calls an entry host with a key that no team has ever had, and with one that was
// taken away, until what lasts was watched for long enough. Neither may be let in.
func (r *Run) checkInvalidKeys(index int) {
	for !r.watchIsOver() {
		time.Sleep(keyCallInterval)
		x := r.entry(index)
		if r.acceptsKey(x, "of-nobody") {
			r.violationf("%s let in a caller with a key that no team has had", x.Name)
		}
		if n := r.lastRevoked(); n >= 0 && r.acceptsKey(x, local.KeyForQueues(extraQueue(n))) {
			r.violationf("%s let in a caller with the key of configuration %d, which was taken away more than %s ago", x.Name, n, keysWithin)
		}
	}
}

// acceptsKey reports whether a call with the key is answered with success.
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

// lastRevoked returns the newest configuration whose key has been gone for longer than it
// may work, or -1.
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
