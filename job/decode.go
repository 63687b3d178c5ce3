package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"amberway/common"
)

const (
	// largeBody is the size from which the decoding of a body counts against maxDecoding.
	largeBody = 16 << 10
	// maxDecoding is how many large bodies are decoded at once: a decoded body takes several
	// times the memory of its text.
	maxDecoding = 4
	// maxRecordBytes is the size of the largest record that another entry host relays.
	maxRecordBytes = 1 << 20
)

// decodeJob decodes a body with the function. It returns common.ErrOverload if the context ends before a
// large one has its turn.
func decodeJob[T any](ctx context.Context, n *Node, b []byte, decode func([]byte) (T, error)) (T, error) {
	if len(b) < largeBody {
		return decode(b)
	}
	select {
	case n.decoding <- struct{}{}:
	case <-ctx.Done():
		var none T
		return none, common.ErrOverload
	}
	defer func() { <-n.decoding }()
	return decode(b)
}

// relayedRecord reads and checks the record of a job that another entry host relays.
func (n *Node) relayedRecord(w http.ResponseWriter, r *http.Request) (Record, error) {
	b, err := common.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		return Record{}, err
	}
	rec, err := decodeJob(r.Context(), n, b, decodeRelayed)
	if err != nil {
		return Record{}, err
	}
	if err := rec.Check(); err != nil {
		return Record{}, err
	}
	return rec, holdRecord(r.Body, &rec)
}

// decodeRelayed decodes a record, whose steps are counted first: small ones take many times their text.
func decodeRelayed(b []byte) (Record, error) {
	var w struct {
		Steps common.ElementCount `json:"w"`
	}
	// The record is decoded again, which reports its other faults.
	_ = json.Unmarshal(b, &w)
	if w.Steps > maxSteps {
		return Record{}, fmt.Errorf("%d steps, not 1 to %d", w.Steps, maxSteps)
	}
	var rec Record
	err := json.Unmarshal(b, &rec)
	return rec, err
}

// holdRecord counts the memory of a decoded record until the request is answered.
func holdRecord(body io.Reader, rec *Record) error {
	if l, ok := body.(common.Holder); ok {
		return l.Hold(rec.memoryBytes())
	}
	return nil
}

// unreadWhy returns why a job was not taken whose request could not be read in time or for lack of memory, or "" for
// any other error.
func unreadWhy(err error) string {
	switch {
	case errors.Is(err, common.ErrOverload):
		return "the job was not taken: too many requests are held"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "the job was not taken: its body did not arrive in time"
	}
	return ""
}
