package job

import (
	"time"

	"amberway/platform"
)

// Event is something that the owner has learned.
type Event interface {
	apply(c *Core)
}

// JobAccepted says that the store holds a new job.
type JobAccepted struct {
	ID      ID
	Record  Record
	Created platform.Revision
}

// CancelRequested says that a caller has cancelled a job.
type CancelRequested struct {
	ID ID
}

// ConfigChanged says that a configuration is in force.
type ConfigChanged struct {
	Config *platform.Deployed
}

// WorkerListed says that the store holds a worker's record.
type WorkerListed struct {
	Worker platform.Worker
}

// WorkerUnlisted says that the record under a worker's name has gone from the store.
type WorkerUnlisted struct {
	Name platform.WorkerName
}

// WorkerList is the whole list of workers.
type WorkerList []platform.Worker

// PollResult is the outcome of a LookAt.
type PollResult struct {
	Worker    platform.WorkerID
	SentAt    time.Time
	Acked     int64
	Poll      platform.PollReply
	Rejection platform.Rejection
	Err       error
}

// StartResult is the outcome of a StartRun.
type StartResult struct {
	Worker    platform.WorkerID
	Run       int64
	Task      string
	Rejection platform.Rejection
	Clock     platform.WorkerClock
	Err       error
}

// StopResult is the outcome of a StopRun.
type StopResult struct {
	Worker    platform.WorkerID
	Run       int64
	Task      string
	Rejection platform.Rejection
	Clock     platform.WorkerClock
	Err       error
}

// WriteResult says whether the store has taken what a Keep holds.
type WriteResult struct {
	Number int64
	// Revision is the revision of the write, unless it failed.
	Revision platform.Revision
	Err      error
}

// WriteSlow says that the store has not answered the write under way.
type WriteSlow struct{}

// LeaseRenewed says that the store has renewed the owner's lease at a call that was
// sent at the time: until then nobody else has owned.
type LeaseRenewed struct {
	SentAt time.Time
}

// Tick says only that time has passed.
type Tick struct{}

// Woken says that the time of a WakeAt has come.
type Woken struct{}

// Batch is some events in order.
type Batch []Event

// Action is something that the owner is to do.
type Action interface {
	action()
}

// PollWorker asks a worker what runs and has ended there.
type PollWorker struct {
	Worker platform.Worker
	Order  platform.PollOrder
}

// StartRun orders a run.
type StartRun struct {
	Worker platform.Worker
	Order  platform.StartOrder
}

// StopRun orders the end of a run.
type StopRun struct {
	Worker platform.Worker
	Task   string
	Run    int64
	Fence  platform.Fence
}

// PaceRun sets the share at which a run works.
type PaceRun struct {
	Worker  platform.Worker
	Task    string
	Run     int64
	Percent int
	Fence   platform.Fence
}

// WriteStore writes to the store, under the condition that the owner is still the
// owner.
type WriteStore struct {
	Number  int64
	Puts    []platform.Put
	Deletes []string
}

// WakeAt asks for a Woken event at the time.
type WakeAt struct {
	At time.Time
}

// StepDown ends the ownership, since another owner has come.
type StepDown struct {
	Why string
}

// LogLine is a line for the log.
type LogLine struct {
	What   string
	Job    ID
	Task   string
	Run    int64
	Worker platform.WorkerID
	Why    string
	// Fields are the figures that decided, as name and value by turns.
	Fields []any
}

func (PollWorker) action() {}
func (StartRun) action()   {}
func (StopRun) action()    {}
func (PaceRun) action()    {}
func (WriteStore) action() {}
func (WakeAt) action()     {}
func (StepDown) action()   {}
func (LogLine) action()    {}
