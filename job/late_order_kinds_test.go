package job

import (
	"fmt"
	"time"

	"amberway/platform"
)

func isPoll(a Action) bool { _, ok := a.(PollWorker); return ok }
func isStop(a Action) bool { _, ok := a.(StopRun); return ok }

// isAck reports whether the order is a poll that has a worker forget ends.
func isAck(a Action) bool {
	p, ok := a.(PollWorker)
	return ok && p.Order.LastAcked > 0
}

func recipientOf(a Action) (platform.WorkerName, bool) {
	switch a := a.(type) {
	case PollWorker:
		return a.Worker.ID.Name(), true
	case StartRun:
		return a.Worker.ID.Name(), true
	case StopRun:
		return a.Worker.ID.Name(), true
	}
	return "", false
}

func timeoutOf(a Action) time.Duration {
	if p, ok := a.(PollWorker); ok {
		return pollSlack + p.Order.Wait
	}
	return orderTimeout
}

func describeOrder(a Action) string {
	switch a := a.(type) {
	case PollWorker:
		return fmt.Sprintf("poll of %s, fence %d, last acked %d, until %d", a.Worker.ID, a.Order.Fence, a.Order.LastAcked, a.Order.LeaseUntil)
	case StartRun:
		return fmt.Sprintf("start of %s run %d on %s, fence %d, until %d", a.Order.Task, a.Order.Run, a.Worker.ID, a.Order.Fence, a.Order.LeaseUntil)
	case StopRun:
		return fmt.Sprintf("stop of %s run %d on %s, fence %d", a.Task, a.Run, a.Worker.ID, a.Fence)
	}
	return ""
}

// fenceOf returns the fence of an order.
func fenceOf(a Action) platform.Fence {
	switch a := a.(type) {
	case PollWorker:
		return a.Order.Fence
	case StartRun:
		return a.Order.Fence
	case StopRun:
		return a.Fence
	}
	return 0
}

// startsB reports whether the order is a start of taskB.
func startsB(a Action) bool {
	s, ok := a.(StartRun)
	return ok && s.Order.Task == taskB
}

// renewsLease reports whether the order is a poll that extends the lease.
func renewsLease(a Action) bool {
	p, ok := a.(PollWorker)
	return ok && p.Order.LeaseUntil > 0
}
