package common

import "time"

// ErrOverload reports that a request was given up before it was read completely, because
// requests hold all the memory that the server has for them. It is a net.Error.
var ErrOverload error = overloadError{}

type overloadError struct{}

// Error implements error.
func (overloadError) Error() string { return "no memory is left for requests" }

// Timeout implements net.Error. It is true so that http.Server closes the connection without
// an answer of its own.
func (overloadError) Timeout() bool { return true }

// Temporary implements net.Error.
func (overloadError) Temporary() bool { return true }

// Holder is implemented by the bodies of requests whose bytes count against the memory of a
// server.
type Holder interface {
	// Hold counts n more bytes until the request is answered. It returns ErrOverload if
	// there is no room for them.
	Hold(n int) error
}

// DeadlineReader is implemented by the bodies of requests whose reads can be bounded in time.
type DeadlineReader interface {
	// ReadBy has reads fail with os.ErrDeadlineExceeded from the given time on.
	ReadBy(t time.Time)
}
