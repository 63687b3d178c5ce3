package job

import (
	"time"

	"amberway/platform"
)

// Event is something that the owner has learned.
type Event interface {
	apply(c *Core)
}

// Accepted says that the store holds a new job.
type Accepted struct {
	ID      ID
	Record  Record
	Created platform.Revision
}

// CancelAsked says that a caller has cancelled a job.
type CancelAsked struct {
	ID ID
}

// ConfigTaken says that a configuration is in force.
type ConfigTaken struct {
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

// WorkersListed is the whole list of workers.
type WorkersListed []platform.Worker

// Looked is the outcome of a LookAt.
type Looked struct {
	Worker    platform.WorkerID
	SentAt    time.Time
	Acked     int64
	Look      platform.Look
	Rejection platform.Rejection
	Err       error
}

// Started is the outcome of a StartRun.
type Started struct {
	Worker    platform.WorkerID
	Run       int64
	Task      string
	Rejection platform.Rejection
	Clock     platform.WorkerClock
	Err       error
}

// Stopped is the outcome of a StopRun.
type Stopped struct {
	Worker    platform.WorkerID
	Run       int64
	Task      string
	Rejection platform.Rejection
	Clock     platform.WorkerClock
	Err       error
}

// Kept says whether the store has taken what a Keep holds.
type Kept struct {
	Number int64
	// At is the revision of the write, unless it failed.
	At  platform.Revision
	Err error
}

// KeepSlow says that the store has not answered the write under way.
type KeepSlow struct{}

// Renewed says that the store has renewed the owner's lease at a call that was
// sent at the time: until then nobody else has owned.
type Renewed struct {
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

// LookAt asks a worker what runs and has ended there.
type LookAt struct {
	Worker platform.Worker
	Order  platform.LookOrder
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

// Keep writes to the store, under the condition that the owner is still the
// owner.
type Keep struct {
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

// Note is a line for the log.
type Note struct {
	What   string
	Job    ID
	Task   string
	Run    int64
	Worker platform.WorkerID
	Why    string
	// Inputs are the figures that decided, as name and value by turns.
	Inputs []any
}

func (LookAt) action()   {}
func (StartRun) action() {}
func (StopRun) action()  {}
func (PaceRun) action()  {}
func (Keep) action()     {}
func (WakeAt) action()   {}
func (StepDown) action() {}
func (Note) action()     {}
