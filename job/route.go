package job

import (
	"net"
	"strings"

	"amberway/platform"
)

// routes maps requests to queues and keys to teams, according to one version of the
// configuration.
type routes struct {
	config *platform.Config
	// raw is the configuration as the operator wrote it. Other entry hosts get it in
	// this form.
	raw    []byte
	byHost map[string][]platform.Queue
	keys   keyIndex
}

func newRoutes(d *platform.Config) *routes {
	r := &routes{config: d, byHost: map[string][]platform.Queue{}, keys: newKeyIndex(d.Teams)}
	for _, q := range d.Queues {
		h := strings.ToLower(q.Host)
		r.byHost[h] = append(r.byHost[h], q)
	}
	return r
}

// find returns the queue of the host whose prefix is the longest that matches the path, and
// the rest of the path.
func (r *routes) find(host, path string) (platform.Queue, string, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	var best platform.Queue
	found := false
	for _, q := range r.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best = q
			found = true
		}
	}
	if !found {
		return best, "", false
	}
	return best, path[len(best.Prefix):], true
}
