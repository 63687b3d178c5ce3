package job

import (
	"net"
	"strings"

	"amberway/platform"
)

// routes finds the queue of a request.
type routes struct {
	config *platform.Deployed
	byHost map[string][]platform.Queue
}

func newRoutes(d *platform.Deployed) *routes {
	r := &routes{config: d, byHost: map[string][]platform.Queue{}}
	for _, q := range d.Queues {
		h := strings.ToLower(q.Host)
		r.byHost[h] = append(r.byHost[h], q)
	}
	return r
}

// find returns the queue with the longest prefix that begins the path, and the
// rest of the path.
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
