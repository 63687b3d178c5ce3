package config

import (
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
)

// Decode reads a document from YAML. Unknown fields are refused, and the error
// shows the line. The document is not checked yet.
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

// Parse reads a document, fills in what may be left out and checks it.
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
