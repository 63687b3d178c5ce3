package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"amberway/platform"
)

// ID names a job. Callers choose it.
type ID string

// idLength is the length of an ID, in hexadecimal digits.
const idLength = 16

// ParseID returns the id in s, or false where s is none.
func ParseID(s string) (ID, bool) {
	if len(s) != idLength || strings.Trim(s, "0123456789abcdefABCDEF") != "" {
		return "", false
	}
	return ID(s), true
}

// Keys of jobs in the store.
const (
	// jobsPrefix begins what entry hosts write and the owner follows.
	jobsPrefix = "jobs/"
	// recordPrefix begins the records of accepted jobs that are not final.
	recordPrefix = "jobs/new/"
	// cancelPrefix begins the marks of jobs that a caller has cancelled.
	cancelPrefix = "jobs/cancel/"
	// progressPrefix begins what the owner keeps of a job.
	progressPrefix = "progress/"
)

func recordKey(id ID) string   { return recordPrefix + string(id) }
func cancelKey(id ID) string   { return cancelPrefix + string(id) }
func progressKey(id ID) string { return progressPrefix + string(id) }

// Record is an accepted job as the store keeps it. What it holds of its queue
// is used only while the configuration does not have the queue.
type Record struct {
	Queue    string  `json:"q"`
	Service  string  `json:"s"`
	Priority int     `json:"p,omitempty"`
	Attempts int     `json:"r,omitempty"`
	Stretch  float64 `json:"x,omitempty"`
	// Goal is added to the stretched chain of work.
	Goal time.Duration `json:"g,omitempty"`
	// Team is the team whose caller handed the job in, "" for none.
	Team string `json:"m,omitempty"`
	// DataCentre is where that was.
	DataCentre string `json:"l,omitempty"`
	// ReceivedAt is when the first entry host read the job.
	ReceivedAt time.Time       `json:"t"`
	Spec       string          `json:"c"`
	Steps      []platform.Step `json:"w"`
	Times      int             `json:"n,omitempty"`
	First      time.Time       `json:"f,omitzero"`
	Every      time.Duration   `json:"e,omitempty"`
}

// NewRecord returns the record of a job that was handed in to a queue.
func NewRecord(q platform.Queue, s platform.Submission, now time.Time) Record {
	return Record{
		Queue:      q.Name,
		Service:    q.Service,
		Priority:   q.Priority,
		Attempts:   q.Attempts,
		Stretch:    q.Stretch,
		Goal:       q.Goal,
		ReceivedAt: now,
		Spec:       s.Spec,
		Steps:      s.Steps,
		Times:      s.Times,
		First:      s.First,
		Every:      s.Every,
	}
}

// Bounds of what a job may hold. The largest of the users' jobs has some
// hundred tasks.
const (
	maxSteps = 256
	maxTasks = 20000
	maxTimes = 10000
)

// Check returns the first fault of the job as its caller should read it.
func (r *Record) Check() error {
	switch {
	case len(r.Spec) > platform.MaxSpec:
		return fmt.Errorf("spec has %d bytes, more than %d", len(r.Spec), platform.MaxSpec)
	case len(r.Steps) == 0 || len(r.Steps) > maxSteps:
		return fmt.Errorf("%d steps, not 1 to %d", len(r.Steps), maxSteps)
	case r.Times < 0 || r.Times > maxTimes:
		return fmt.Errorf("%d times, not 0 to %d", r.Times, maxTimes)
	case r.Times > 1 && r.Every <= 0:
		return fmt.Errorf("interval of %s between times", r.Every)
	}
	n := 0
	for i, s := range r.Steps {
		if err := checkStep(i, s, len(r.Steps)); err != nil {
			return err
		}
		n += s.Count
	}
	if n > maxTasks {
		return fmt.Errorf("%d tasks, more than %d", n, maxTasks)
	}
	return r.checkCycle()
}

func checkStep(i int, s platform.Step, steps int) error {
	if s.Count <= 0 || s.Count > maxTasks {
		return fmt.Errorf("step %d: %d tasks, not 1 to %d", i, s.Count, maxTasks)
	}
	if s.MilliCores < 0 || s.MemoryMB < 0 || s.GPUs < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.Estimate < 0 {
		return fmt.Errorf("step %d: a negative number", i)
	}
	for _, a := range s.After {
		if a < 0 || a >= steps || a == i {
			return fmt.Errorf("step %d: comes after step %d, which cannot be", i, a)
		}
	}
	return nil
}

// checkCycle reports steps that wait for each other.
func (r *Record) checkCycle() error {
	done := make([]bool, len(r.Steps))
	for range r.Steps {
		for i, s := range r.Steps {
			ready := true
			for _, a := range s.After {
				ready = ready && done[a]
			}
			done[i] = done[i] || ready
		}
	}
	for i, d := range done {
		if !d {
			return fmt.Errorf("step %d: waits for itself", i)
		}
	}
	return nil
}

func encodeRecord(r Record) ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("job: record: %w", err)
	}
	return b, nil
}

// decodeRecord reads the record of a job. What no entry host would have written is an
// error: an entry may come from another writer.
func decodeRecord(e platform.Entry) (ID, Record, error) {
	id, ok := ParseID(strings.TrimPrefix(e.Key, recordPrefix))
	if !ok {
		return id, Record{}, fmt.Errorf("job: %.80q is no key of a record", e.Key)
	}
	var r Record
	err := json.Unmarshal(e.Value, &r)
	if err == nil && (r.Queue == "" || r.Service == "") {
		err = errors.New("no queue or no service")
	}
	if err == nil {
		err = r.Check()
	}
	if err != nil {
		return id, r, fmt.Errorf("job: record %s: %w", id, err)
	}
	return id, r, nil
}
