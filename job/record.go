package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
	"unsafe"

	"amberway/platform"
)

// ID names a job. Callers choose it.
type ID string

// idLength is the length of an ID, in hexadecimal digits.
const idLength = 16

// ParseID returns the id in s, or false if s is not a valid id.
func ParseID(s string) (ID, bool) {
	if len(s) != idLength || strings.Trim(s, "0123456789abcdefABCDEF") != "" {
		return "", false
	}
	return ID(s), true
}

// Keys of jobs in the store.
const (
	// jobsPrefix is the prefix of the keys that entry hosts write and the owner follows.
	jobsPrefix = "jobs/"
	// recordPrefix is the prefix of the records of accepted jobs that are not final.
	recordPrefix = "jobs/new/"
	// cancelPrefix is the prefix of the cancel marks of jobs.
	cancelPrefix = "jobs/cancel/"
	// progressPrefix is the prefix of the progress of jobs, which the owner writes.
	progressPrefix = "progress/"
)

func recordKey(id ID) string   { return recordPrefix + string(id) }
func cancelKey(id ID) string   { return cancelPrefix + string(id) }
func progressKey(id ID) string { return progressPrefix + string(id) }

// Record is an accepted job as the store holds it. Its copies of the queue's settings are
// used only while the configuration does not have the queue.
type Record struct {
	Queue    string  `json:"q"`
	Service  string  `json:"s"`
	Priority int     `json:"p,omitempty"`
	Attempts int     `json:"r,omitempty"`
	Stretch  float64 `json:"x,omitempty"`
	// Goal is added to Stretch times the critical path of an instance: the instance is to be
	// done within that time.
	Goal time.Duration `json:"g,omitempty"`
	// Advice is set if the queue carried advice: the starts of the job's tasks need tickets.
	Advice *platform.AdviceTimes `json:"v,omitempty"`
	// Team is the team whose caller submitted the job, "" for none.
	Team string `json:"m,omitempty"`
	// DataCentre is where the job was submitted.
	DataCentre string `json:"l,omitempty"`
	// ReceivedAt is when the first entry host received the job.
	ReceivedAt time.Time       `json:"t"`
	Spec       string          `json:"c"`
	Steps      []platform.Step `json:"w"`
	Times      int             `json:"n,omitempty"`
	First      time.Time       `json:"f,omitzero"`
	Every      time.Duration   `json:"e,omitempty"`
}

// NewRecord returns the record of a job that was submitted to a queue.
func NewRecord(q platform.Queue, s platform.Submission, now time.Time) Record {
	return Record{
		Queue:      q.Name,
		Service:    q.Service,
		Priority:   q.Priority,
		Attempts:   q.Attempts,
		Stretch:    q.Stretch,
		Goal:       q.Goal,
		Advice:     q.Advice,
		ReceivedAt: now,
		Spec:       s.Spec,
		Steps:      s.Steps,
		Times:      s.Times,
		First:      s.First,
		Every:      s.Every,
	}
}

// Limits of a job. The largest jobs of users have some hundred tasks.
const (
	maxSteps = platform.MaxSteps
	maxTasks = 20000
	maxTimes = 10000
)

// Check returns the first fault of the job, in words for its caller.
func (r *Record) Check() error {
	switch {
	case len(r.Spec) > platform.MaxSpecBytes:
		return fmt.Errorf("spec has %d bytes, more than %d", len(r.Spec), platform.MaxSpecBytes)
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

// memoryBytes estimates the memory of the record and of its encoding for the store.
func (r *Record) memoryBytes() int {
	n := len(r.Spec) + len(r.Steps)*int(unsafe.Sizeof(platform.Step{}))
	for _, s := range r.Steps {
		n += len(s.After)*int(unsafe.Sizeof(0)) + len(s.Requires) + len(s.NearRack) + len(s.Image)
	}
	return 2 * n
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

// checkCycle returns an error if steps wait for each other.
func (r *Record) checkCycle() error {
	order := stepOrder(r.Steps)
	if len(order) == len(r.Steps) {
		return nil
	}
	for i := range r.Steps {
		if !slices.Contains(order, i) {
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

// decodeRecord decodes the record of a job. A record that no entry host would have written
// is an error: others may write to the store.
func decodeRecord(e platform.Entry) (ID, Record, error) {
	id, ok := ParseID(strings.TrimPrefix(e.Key, recordPrefix))
	if !ok {
		return id, Record{}, fmt.Errorf("job: %.80q is not the key of a record", e.Key)
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
