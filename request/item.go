package request

import (
	"time"

	"amberway/common"
	"amberway/config"
)

// Item is one request in the scheduler.
type Item struct {
	Service  string
	Job      string
	Class    common.Class
	Deadline time.Time
	// Target is where the item runs or last ran; empty before its first start.
	Target string

	estimate  time.Duration
	heapEntry *common.HeapEntry[*Item]
	target    *target
	pool      *pool
	queue     *queue
	startedAt time.Time
	// probe says that the attempt probes whether a quarantined target works again.
	probe bool
	// outcomeRecorded says that the outcome of the attempt was recorded.
	outcomeRecorded bool
}

// QueueName returns the name under which the scheduler queues the job's requests: the
// service's, or the job's own if it runs on its own targets.
func QueueName(s config.Service, j config.Job) string {
	if j.Replicas > 0 {
		return s.Name + "/" + j.Name
	}
	return s.Name
}

// key returns the key under which the scheduler keeps what it learns about the item's
// job.
func (i *Item) key() jobKey {
	return jobKey{service: i.Service, job: i.Job}
}

// jobKey identifies one job of one service.
type jobKey struct {
	service string
	job     string
}

// Reason says why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	// ReasonLate says that the answer could not be there by the deadline.
	ReasonLate Reason = "the answer cannot be there by the deadline"
	// ReasonFull says that the queue has reached its limit.
	ReasonFull Reason = "the queue is full"
	// ReasonNoTarget says that the service has no target here.
	ReasonNoTarget Reason = "no target serves this service here"
	// ReasonUnknown says that the service is not known here.
	ReasonUnknown Reason = "the service is not known here"
)

// Refusal says why a request was refused and when to retry.
type Refusal struct {
	Reason  Reason
	RetryAt time.Time
}
