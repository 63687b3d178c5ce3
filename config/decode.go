package config

import (
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
)

// Decode decodes a document from YAML, without validating it. Unknown fields are
// errors, and errors show the line.
func Decode(b []byte) (*Document, error) {
	var d Document
	y := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict())
	err := y.Decode(&d)
	if errors.Is(err, io.EOF) {
		return nil, merry.New("config: the document is empty")
	}
	if err != nil {
		return nil, merry.Prepend(err, "config: decode")
	}
	return &d, nil
}

// Parse decodes a document, sets defaults and validates it.
func Parse(b []byte) (*Document, error) {
	d, err := Decode(b)
	if err != nil {
		return nil, err
	}
	d.setDefaults()
	if err := d.Check(); err != nil {
		return nil, err
	}
	return d, nil
}
