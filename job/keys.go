package job

import (
	"net/http"
	"time"

	"amberway/platform"
)

// keyIndex finds the team of a key.
type keyIndex map[platform.KeyHash]platform.Team

// newKeyIndex returns the keys of the teams. A key that stands in two teams is that of the
// first: callers who hold a key in force are let in, whatever else is wrong with it.
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

// access says whether a caller is let in.
type access int

const (
	// granted: the caller needs no key, or holds one that is in force.
	granted access = iota
	// unknownKey: the caller has no key, or one that is in force nowhere.
	unknownKey
	// notCurrent: it is not known whether the key is in force, as the configuration may
	// have changed since this host last heard of it.
	notCurrent
)

// String returns why a caller is not let in.
func (a access) String() string {
	if a == notCurrent {
		return refusedOutdated
	}
	return refusedKey
}

// authorizer decides who is let in.
type authorizer struct {
	// required says that callers need keys, whatever the configuration says.
	required bool
	// keysWithin is how long a key that was taken away may go on working; zero is no
	// bound. newWithin is the time in which a new one has to be in force.
	keysWithin, newKeysWithin time.Duration
}

// keyMarginDivisor divides the bounds on keys: a fifth of each is left for how long the answer was
// on its way by which the configuration is known to be current.
const keyMarginDivisor = 5

// authorize returns the team of a caller of the queue, the zero team for none, and whether the
// caller is let in by what the routes hold, which were last known to be current at the time.
func (a authorizer) authorize(r *routes, q platform.Queue, h http.Header, currentAt, now time.Time) (platform.Team, access) {
	key, given := platform.Key(h)
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
