package common

import (
	"errors"
	"io"
	"slices"
)

// ReadAll reads until the end. Unlike io.ReadAll, it returns nothing with an error, so that
// large bodies that break off are not copied.
func ReadAll(r io.Reader) ([]byte, error) {
	const firstBytes, nextBytes = 512, 256
	var parts [][]byte
	b := make([]byte, 0, firstBytes)
	for next := nextBytes; ; {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case errors.Is(err, io.EOF) && len(parts) == 0:
			return b, nil
		case errors.Is(err, io.EOF):
			return slices.Concat(append(parts, b)...), nil
		case err != nil:
			return nil, err
		case cap(b)-len(b) < cap(b)/16:
			parts = append(parts, b)
			b = make([]byte, 0, next)
			next += next / 2
		}
	}
}
