package job

import (
	"time"

	"amberway/platform"
)

// Event is an input of Core: something that the owner has learned.
type Event interface {
	apply(c *Core)
}

// Accepted reports that the store holds a new job.
type Accepted struct {
	ID      ID
	Record  Record
	Created platform.Revision
}

// CancelRequested reports that a caller has cancelled a job.
type CancelRequested struct {
	ID ID
}

// ConfigChanged reports a configuration that is in force.
type ConfigChanged struct {
	Config *platform.Config
}

// WorkerListed reports that the store holds a worker's record.
type WorkerListed struct {
	Worker platform.Worker
}

// WorkerUnlisted reports that the record under a worker's name was deleted from the store.
type WorkerUnlisted struct {
	Name platform.WorkerName
}

// WorkerList reports all workers that have a record in the store.
type WorkerList []platform.Worker

// PollResult is the outcome of a PollWorker.
type PollResult struct {
	Worker    platform.WorkerID
	SentAt    time.Time
	Acked     int64
	Fence     platform.Fence
	Poll      platform.PollReply
	Rejection platform.Rejection
	Err       error
}

// StartResult is the outcome of a StartRun.
type StartResult struct {
	Worker    platform.WorkerID
	Run       int64
	Task      string
	Fence     platform.Fence
	Rejection platform.Rejection
	Clock     platform.WorkerClock
	Err       error
}

// StopResult is the outcome of a StopRun.
type StopResult struct {
	Worker    platform.WorkerID
	Run       int64
	Task      string
	Fence     platform.Fence
	Rejection platform.Rejection
	Clock     platform.WorkerClock
	Err       error
}

// WriteResult is the outcome of a WriteStore.
type WriteResult struct {
	Number int64
	// Revision is the revision of the write if it succeeded.
	Revision platform.Revision
	Err      error
}

// WriteSlow reports that the store has not answered the write in flight.
type WriteSlow struct{}

// LeaseRenewed reports that the store has renewed the owner's lease. The renewal was sent
// at SentAt: up to then nobody else can have been the owner.
type LeaseRenewed struct {
	SentAt time.Time
}

// Tick reports the passing of time.
type Tick struct{}

// Woken reports that the time of a WakeAt has come.
type Woken struct{}

// Batch holds several events, to be applied in order.
type Batch []Event

// Action is an output of Core: something for the owner to do.
type Action interface {
	action()
}

// PollWorker asks a worker which runs are running or have ended there.
type PollWorker struct {
	Worker platform.Worker
	Order  platform.PollOrder
}

// StartRun orders a worker to start a run.
type StartRun struct {
	Worker platform.Worker
	Order  platform.StartOrder
}

// StopRun orders a worker to stop a run.
type StopRun struct {
	Worker platform.Worker
	Task   string
	Run    int64
	Fence  platform.Fence
}

// PaceRun sets the percentage of its full speed at which a run works.
type PaceRun struct {
	Worker  platform.Worker
	Task    string
	Run     int64
	Percent int
	Fence   platform.Fence
}

// WriteStore writes to the store, on condition that the owner has not been replaced.
type WriteStore struct {
	Number  int64
	Puts    []platform.Put
	Deletes []string
}

// WakeAt requests a Woken event at a time.
type WakeAt struct {
	At time.Time
}

// StepDown ends the ownership.
type StepDown struct {
	Why string
}

// LogLine is a line of the log.
type LogLine struct {
	What   string
	Job    ID
	Task   string
	Run    int64
	Worker platform.WorkerID
	Why    string
	// Fields holds the values behind the decision, as alternating names and values.
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
