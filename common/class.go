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

// String returns the class's name as written in the configuration.
func (c Class) String() string {
	if c == Patient {
		return "patient"
	}
	return "quick"
}

// ParseClass returns the class with the given name, or an error for any other name.
func ParseClass(s string) (Class, error) {
	switch s {
	case "quick":
		return Quick, nil
	case "patient":
		return Patient, nil
	}
	return Quick, fmt.Errorf("class: %q is neither quick nor patient", s)
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Class) UnmarshalText(b []byte) error {
	p, err := ParseClass(string(b))
	if err != nil {
		return err
	}
	*c = p
	return nil
}

// UnmarshalYAML reads the class's name. Without it, the YAML library would format the
// whole document again for each text that it passes to UnmarshalText.
func (c *Class) UnmarshalYAML(decode func(any) error) error {
	var s string
	if err := decode(&s); err != nil {
		return err
	}
	return c.UnmarshalText([]byte(s))
}
