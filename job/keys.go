package job

import (
	"net/http"
	"time"

	"amberway/platform"
)

// keyIndex maps each key to its team.
type keyIndex map[platform.KeyHash]platform.Team

// newKeyIndex returns the index of the teams' keys. A key that is listed for two teams
// belongs to the first: this mistake must not lock out callers whose key is in force.
func newKeyIndex(teams []platform.Team) keyIndex {
	r := make(keyIndex, len(teams))
	for _, t := range teams {
		for _, k := range t.Keys {
			if _, there := r[k]; !there {
				r[k] = t
			}
		}
	}
	return r
}

// access is the result of an authorization.
type access int

const (
	// granted: the caller needs no key or has one that is in force.
	granted access = iota
	// unknownKey: the caller has no key or one of no team.
	unknownKey
	// notCurrent: this host cannot tell whether the key is in force, because its
	// configuration may be outdated.
	notCurrent
)

// String returns the reason of a refusal.
func (a access) String() string {
	if a == notCurrent {
		return refusedOutdated
	}
	return refusedKey
}

// authorizer checks callers' keys.
type authorizer struct {
	// required says that callers need keys even if the configuration has no teams.
	required bool
	// keysWithin is how long a revoked key may still be accepted; zero is no limit.
	// newKeysWithin is how soon a new key has to be accepted.
	keysWithin, newKeysWithin time.Duration
}

// keyMarginDivisor sets the margin on the limits of authorizer: a fifth of each is reserved
// for the transit time of the answer that showed the configuration to be current.
const keyMarginDivisor = 5

// authorize returns the team of a caller of the queue, or the zero team, and whether the
// caller has access. currentAt is when the routes were last known to be current.
func (a authorizer) authorize(r *routes, q platform.Queue, h http.Header, currentAt, now time.Time) (platform.Team, access) {
	key, given := platform.CallerKey(h)
	team, known := r.keys[key]
	age := now.Sub(currentAt)
	switch {
	case q.Public, r.config.Teams == nil && !a.required:
		return team, granted
	case !given:
		return platform.Team{}, unknownKey
	case known && a.keysWithin > 0 && age > a.keysWithin-a.keysWithin/keyMarginDivisor:
		return platform.Team{}, notCurrent
	case known:
		return team, granted
	case age > a.newKeysWithin-a.newKeysWithin/keyMarginDivisor:
		return platform.Team{}, notCurrent
	}
	return platform.Team{}, unknownKey
}
