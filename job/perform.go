package job

import (
	"context"
	"errors"
	"time"

	"amberway/platform"
)

// Timeouts of calls to workers.
const (
	// orderTimeout is the timeout of a start, stop or pace: a fifth of a worker's lease, so
	// that a start whose answer was lost is settled well before the lease expires. Workers
	// answer within a few milliseconds.
	orderTimeout = leaseFor / 5
	// pollSlack is how much longer than its wait a poll may take. A silent kept-alive
	// connection has half of it, and a new one the rest. The poll after one that took
	// this long still extends a lease of leaseFor within its first half.
	pollSlack = 700 * time.Millisecond
)

// errLeaseNotRenewed says that an order was not sent, as another owner may have taken over.
var errLeaseNotRenewed = errors.New("not sent: the owner's lease has not been renewed in time")

// perform carries out one action. What may block runs in a goroutine of its own, so that it
// does not hold up the event loop.
func (o *owner) perform(ctx context.Context, a Action) {
	switch a := a.(type) {
	case LogLine:
		o.metrics.record(a)
		o.log.Write(a)
	case StepDown:
		o.resign(a.Why)
	case PollWorker:
		go o.poll(ctx, a, o.now())
	case StartRun:
		go o.startRun(ctx, a)
	case StopRun:
		go o.stopRun(ctx, a)
	case PaceRun:
		go o.paceRun(ctx, a)
	case WriteStore:
		go o.writeStore(ctx, a)
	case WakeAt:
		time.AfterFunc(a.At.Sub(o.now()), func() { o.send(ctx, Woken{}) })
	case ListMachines:
		go o.listMachines(ctx, o.now())
	case MoveMachine:
		go o.orderMachine(ctx, a.Machine, func(ctx context.Context) (platform.MachineVerdict, error) {
			return o.Machines.Move(ctx, a.Holder, a.Machine, a.Pool)
		})
	case MaintainMachine:
		go o.orderMachine(ctx, a.Machine, func(ctx context.Context) (platform.MachineVerdict, error) {
			return o.Machines.Maintain(ctx, a.Holder, a.Machine, a.Wave)
		})
	case RequestAdvice:
		go o.askAdvice(ctx, a)
	}
}

func (o *owner) poll(ctx context.Context, a PollWorker, sentAt time.Time) {
	call, cancel := context.WithTimeout(ctx, a.Order.Wait+pollSlack)
	defer cancel()
	reply, rejection, err := o.Workers.Poll(call, a.Worker, a.Order)
	o.metrics.countOrder("look", orderOutcome(string(rejection), err))
	o.send(ctx, PollResult{Worker: a.Worker.ID, SentAt: sentAt, Acked: a.Order.LastAcked, Fence: a.Order.Fence, Poll: reply, Rejection: rejection, Err: err})
}

func (o *owner) startRun(ctx context.Context, a StartRun) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	rejection, clock, err := o.Workers.Start(call, a.Worker, a.Order)
	o.metrics.countOrder("start", orderOutcome(string(rejection), err))
	o.send(ctx, StartResult{Worker: a.Worker.ID, Run: a.Order.Run, Task: a.Order.Task, Fence: a.Order.Fence, Rejection: rejection, Clock: clock, Err: err})
}

func (o *owner) stopRun(ctx context.Context, a StopRun) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	rejection, clock, err := o.Workers.Stop(call, a.Worker, a.Task, a.Run, a.Fence)
	o.metrics.countOrder("stop", orderOutcome(string(rejection), err))
	o.send(ctx, StopResult{Worker: a.Worker.ID, Run: a.Run, Task: a.Task, Fence: a.Fence, Rejection: rejection, Clock: clock, Err: err})
}

func (o *owner) paceRun(ctx context.Context, a PaceRun) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	rejection, _, err := o.Workers.Pace(call, a.Worker, a.Task, a.Run, a.Percent, a.Fence)
	o.send(ctx, PaceResult{Worker: a.Worker.ID, Run: a.Run, Task: a.Task, Fence: a.Fence, Rejection: rejection, Err: err})
}

func (o *owner) writeStore(ctx context.Context, a WriteStore) {
	err := o.writer.write(ctx, a, func() { o.send(ctx, WriteSlow{}) })
	if errors.Is(err, errDeposed) {
		o.resign(err.Error())
		return
	}
	o.send(ctx, WriteResult{Number: a.Number, Revision: o.writer.last, Err: err})
}

func (o *owner) listMachines(ctx context.Context, sentAt time.Time) {
	machines, err := o.Machines.List(ctx)
	o.send(ctx, MachineList{SentAt: sentAt, Machines: machines, Err: err})
}

func (o *owner) orderMachine(ctx context.Context, machine string, order func(context.Context) (platform.MachineVerdict, error)) {
	if o.sinceRenewal() > ownerTTL {
		// Another owner may have taken over, and machines do not compare fences.
		o.send(ctx, MachineOrderResult{Machine: machine, Err: errLeaseNotRenewed})
		return
	}
	verdict, err := order(ctx)
	o.metrics.machineOrders.Add(ctx, 1, label("outcome", orderOutcome(string(verdict), err)))
	o.send(ctx, MachineOrderResult{Machine: machine, Verdict: verdict, Err: err})
}

func (o *owner) askAdvice(ctx context.Context, a RequestAdvice) {
	tickets, valid, err := o.Advice.Ask(ctx, a.Step, a.Workers, a.Times)
	o.send(ctx, AdviceResult{Key: a.Key, Asked: a.Workers, Tickets: tickets, Valid: valid, Err: err})
}
