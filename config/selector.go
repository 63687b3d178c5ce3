package config

import (
	"slices"
	"sort"
	"strings"
)

// Selector picks hosts by their labels: every key has to be there with one of
// its values. A selector without keys picks nothing.
type Selector map[string][]string

// Matches reports whether the selector picks a host with the labels.
func (s Selector) Matches(labels map[string]string) bool {
	if len(s) == 0 {
		return false
	}
	for k, l := range s {
		v, ok := labels[k]
		if !ok || !slices.Contains(l, v) {
			return false
		}
	}
	return true
}

// Disjoint reports whether no host, whatever its labels, is picked by both.
func (s Selector) Disjoint(o Selector) bool {
	if len(s) == 0 || len(o) == 0 {
		return true
	}
	for k, l := range s {
		m, ok := o[k]
		if ok && !intersect(l, m) {
			return true
		}
	}
	return false
}

// String returns the selector with its keys in order.
func (s Selector) String() string {
	var p []string
	for k, l := range s {
		p = append(p, k+" in ("+strings.Join(l, ", ")+")")
	}
	sort.Strings(p)
	return strings.Join(p, " and ")
}

func intersect(a, b []string) bool {
	for _, v := range a {
		if slices.Contains(b, v) {
			return true
		}
	}
	return false
}
