package config

import (
	"slices"
	"sort"
	"strings"
)

// Selector selects hosts by their labels. A host must have a label for every key, with
// one of the key's values. A selector without keys selects nothing.
type Selector map[string][]string

// Matches reports whether the selector selects a host with the labels.
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

// Disjoint reports whether no host can be selected by both selectors.
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

// String formats the selector, sorted by key.
func (s Selector) String() string {
	var p []string
	for k, l := range s {
		p = append(p, k+" in ("+strings.Join(l, ", ")+")")
	}
	sort.Strings(p)
	return strings.Join(p, " and ")
}

// intersect reports whether a and b have a value in common.
func intersect(a, b []string) bool {
	for _, v := range a {
		if slices.Contains(b, v) {
			return true
		}
	}
	return false
}
