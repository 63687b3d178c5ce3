package config

// Matcher finds the pool of a host. The time of a lookup does not grow with the number of
// pools if all selectors share a key for which each pool has its own values.
type Matcher struct {
	key    string
	groups map[string][]Pool
}

// NewMatcher returns a matcher for the document's pools.
func NewMatcher(d *Document) *Matcher {
	m := &Matcher{key: commonKey(d.Pools), groups: map[string][]Pool{}}
	for v, l := range groupPools(d.Pools, m.key) {
		for _, i := range l {
			m.groups[v] = append(m.groups[v], d.Pools[i])
		}
	}
	return m
}

// PoolOf returns the pool whose selector matches the labels, or the empty
// string. A valid document has at most one.
func (m *Matcher) PoolOf(labels map[string]string) string {
	for _, p := range m.groups[labels[m.key]] {
		if p.Select.Matches(labels) {
			return p.Name
		}
	}
	return ""
}

// groupPools groups the indexes of the pools by the values that their selectors have
// for the key. Without a key, all are in one group.
func groupPools(l []Pool, key string) map[string][]int {
	g := map[string][]int{}
	if key == "" {
		for i := range l {
			g[""] = append(g[""], i)
		}
		return g
	}
	for i, p := range l {
		for _, v := range p.Select[key] {
			g[v] = append(g[v], i)
		}
	}
	return g
}

// commonKey returns, of the keys that all selectors have, the one with the most
// distinct values, or the empty string.
func commonKey(l []Pool) string {
	values := map[string]map[string]bool{}
	count := map[string]int{}
	for _, p := range l {
		for k, vs := range p.Select {
			if values[k] == nil {
				values[k] = map[string]bool{}
			}
			count[k]++
			for _, v := range vs {
				values[k][v] = true
			}
		}
	}
	best := ""
	for k, n := range count {
		if n != len(l) {
			continue
		}
		if best == "" || len(values[k]) > len(values[best]) || (len(values[k]) == len(values[best]) && k < best) {
			best = k
		}
	}
	return best
}
