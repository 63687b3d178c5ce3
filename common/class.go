package common

import "fmt"

// Class is how urgent a request is.
type Class int

const (
	// Quick requests have somebody waiting for them.
	Quick Class = iota
	// Patient requests may wait in a queue.
	Patient
)

// NumClasses is the number of classes.
const NumClasses = 2

// String returns the class's name as it stands in the configuration.
func (c Class) String() string {
	if c == Patient {
		return "patient"
	}
	return "quick"
}

// ParseClass returns the class with the given name, or an error that names the
// value that is none.
func ParseClass(s string) (Class, error) {
	switch s {
	case "quick":
		return Quick, nil
	case "patient":
		return Patient, nil
	}
	return Quick, fmt.Errorf("class: %q is neither quick nor patient", s)
}

// MarshalText writes the class's name.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText reads the class's name.
func (c *Class) UnmarshalText(b []byte) error {
	p, err := ParseClass(string(b))
	if err != nil {
		return err
	}
	*c = p
	return nil
}

// UnmarshalYAML reads the class's name. The YAML library would else format the
// whole document anew for each text that it hands to UnmarshalText.
func (c *Class) UnmarshalYAML(decode func(any) error) error {
	var s string
	if err := decode(&s); err != nil {
		return err
	}
	return c.UnmarshalText([]byte(s))
}
