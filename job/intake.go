package job

import (
	"context"
	"errors"
	"time"

	"amberway/common"
	"amberway/platform"
)

// Parameters of the intake.
const (
	// intakeBatchDelay is how long the first job of a batch waits for others to be written
	// with it.
	intakeBatchDelay = 3 * time.Millisecond
	// intakeBatch is the maximum number of jobs in one write. Each takes two conditions
	// and one entry of a transaction.
	intakeBatch = platform.MaxTxn / 3
	// intakeRetry is the delay before a write whose answer was lost is retried.
	intakeRetry = 100 * time.Millisecond
)

// pendingJob is a job that waits to be written to the store.
type pendingJob struct {
	id    ID
	value []byte
	// deadline is when its caller needs an answer.
	deadline time.Time
	// mayBeStored says that a write of it was not answered and may still be carried out.
	mayBeStored bool
	outcome     chan common.Verdict
}

// intake writes submitted jobs to the store in batches.
type intake struct {
	kv          *platform.KV
	log         *Logger
	now         func() time.Time
	queue       chan *pendingJob
	storeHealth storeHealth
	// heardAt is when the store last answered anything here.
	heardAt common.Instant
}

func newIntake(kv *platform.KV, log *Logger, now func() time.Time) *intake {
	return &intake{kv: kv, log: log, now: now, queue: make(chan *pendingJob, 1024)}
}

// errStoreUnreachable is returned without a write once the store has stopped answering.
var errStoreUnreachable = errors.New("the store is unreachable")

// accept writes a job. The verdict is Ran if the store holds the job, NotRun if it
// certainly never will, and MayHaveRun if this is not known by the deadline.
func (i *intake) accept(ctx context.Context, id ID, r Record, deadline time.Time) (common.Verdict, error) {
	b, err := encodeRecord(r)
	if err != nil {
		return common.NotRun, err
	}
	if i.storeHealth.rejects(i.now()) {
		return common.NotRun, errStoreUnreachable
	}
	if err := i.ask(ctx, id); err != nil {
		return common.NotRun, err
	}
	a := &pendingJob{id: id, value: b, deadline: deadline, outcome: make(chan common.Verdict, 1)}
	select {
	case i.queue <- a:
	default:
		return common.NotRun, errors.New("too many jobs are waiting to be written")
	}
	select {
	case v := <-a.outcome:
		return v, nil
	case <-ctx.Done():
		return common.MayHaveRun, ctx.Err()
	}
}

// run writes batches until the context ends.
func (i *intake) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-i.queue:
			go i.write(ctx, i.collectBatch(ctx, a))
		}
	}
}

func (i *intake) collectBatch(ctx context.Context, a *pendingJob) []*pendingJob {
	l := []*pendingJob{a}
	t := time.NewTimer(intakeBatchDelay)
	defer t.Stop()
	for len(l) < intakeBatch {
		select {
		case <-ctx.Done():
			return l
		case <-t.C:
			return l
		case b := <-i.queue:
			l = append(l, b)
		}
	}
	return l
}

// write writes a batch, and retries until every job of it has a verdict.
func (i *intake) write(ctx context.Context, l []*pendingJob) {
	for len(l) > 0 {
		sent := i.now()
		at, found, err := i.kv.Commit(ctx, intakeTxn(l))
		i.recordStoreHealth(sent, err)
		switch {
		case err == nil:
			i.settle(l, common.Ran, "written", int64(at))
			return
		case errors.Is(err, platform.ErrConflict):
			l = i.settleStored(l, found)
			continue
		case errors.Is(err, platform.ErrUnknownOutcome):
			for _, a := range l {
				a.mayBeStored = true
			}
		}
		l = i.settleFailed(l, err)
		common.Sleep(ctx, intakeRetry)
	}
}

// recordStoreHealth records whether a write was answered, and logs when the store becomes
// unreachable or reachable again.
func (i *intake) recordStoreHealth(sent time.Time, err error) {
	now := i.now()
	ok := err == nil || errors.Is(err, platform.ErrConflict)
	if ok {
		i.heardAt.Set(now)
	}
	gone, back := i.storeHealth.record(sent, now, ok)
	switch {
	case gone:
		i.logUnreachable(sent, err)
	case back:
		i.log.Write(LogLine{What: "store reachable again"})
	}
}

// logUnreachable logs that a call which was sent at the time has shown the store to be unreachable.
func (i *intake) logUnreachable(sent time.Time, err error) {
	i.log.Write(LogLine{What: "store unreachable", Why: err.Error(), Fields: []any{"since_ms", i.now().Sub(sent).Milliseconds()}})
}

// intakeTxn returns the transaction that creates the jobs unless one of them exists or has
// existed: the owner deletes the record of a job that has ended, but its progress stays.
func intakeTxn(l []*pendingJob) platform.Txn {
	var t platform.Txn
	for _, a := range l {
		t.Conditions = append(t.Conditions, platform.Condition{Key: recordKey(a.id)}, platform.Condition{Key: progressKey(a.id)})
		t.Puts = append(t.Puts, platform.Put{Key: recordKey(a.id), Value: a.value})
	}
	return t
}

// settleStored answers the jobs of a conflicting batch that the store holds already, and
// returns the others.
func (i *intake) settleStored(l []*pendingJob, found []platform.Entry) []*pendingJob {
	exists := make(map[string]bool, len(found))
	for _, e := range found {
		exists[e.Key] = true
	}
	var rest, done []*pendingJob
	for _, a := range l {
		if exists[recordKey(a.id)] || exists[progressKey(a.id)] {
			done = append(done, a)
			continue
		}
		rest = append(rest, a)
	}
	i.settle(done, common.Ran, "there already", 0)
	if len(done) == 0 {
		// The conflict is within the batch: two entries are the same job. Write them one
		// after the other.
		for _, a := range l[1:] {
			i.queue <- a
		}
		return l[:1]
	}
	return rest
}

// settleFailed answers, after a failed write, the jobs that certainly are not stored and
// those whose callers cannot wait for a retry. It returns the others.
func (i *intake) settleFailed(l []*pendingJob, err error) []*pendingJob {
	var rest []*pendingJob
	now := i.now()
	for _, a := range l {
		switch {
		case !a.mayBeStored:
			i.settle([]*pendingJob{a}, common.NotRun, err.Error(), 0)
		case now.Add(intakeRetry).After(a.deadline):
			i.settle([]*pendingJob{a}, common.MayHaveRun, err.Error(), 0)
		default:
			rest = append(rest, a)
		}
	}
	return rest
}

func (i *intake) settle(l []*pendingJob, v common.Verdict, why string, at int64) {
	for _, a := range l {
		i.log.Write(LogLine{What: "intake", Job: a.id, Why: why, Fields: []any{"verdict", v.String(), "revision", at}})
		a.outcome <- v
	}
}
