package common

import "encoding/json"

// ElementCount is the length of a JSON array, counted without memory for each element. If the
// array occurs several times, it is that of the longest.
type ElementCount int

// UnmarshalJSON implements json.Unmarshaler.
func (n *ElementCount) UnmarshalJSON(b []byte) error {
	var l []ignoredElement
	// A value that is no array has no elements.
	_ = json.Unmarshal(b, &l)
	*n = max(*n, ElementCount(len(l)))
	return nil
}

// ignoredElement is an element of any kind.
type ignoredElement struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (*ignoredElement) UnmarshalJSON([]byte) error { return nil }
