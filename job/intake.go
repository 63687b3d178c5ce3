package job

import (
	"context"
	"errors"
	"time"

	"amberway/common"
	"amberway/platform"
)

// Figures of taking in jobs.
const (
	// gatherFor is how long the first of some jobs waits for others, so that
	// one write takes them all.
	gatherFor = 3 * time.Millisecond
	// intakeBatch is the most jobs of one write: each takes two conditions and
	// one entry.
	intakeBatch = platform.MaxTxn / 3
	// intakeRetry is the pause before a write is repeated whose answer was lost.
	intakeRetry = 100 * time.Millisecond
)

// application is one job that waits to be written.
type application struct {
	id    ID
	value []byte
	// deadline is when its caller has to have an answer.
	deadline time.Time
	// unsure says that a write of it may still be carried out.
	unsure  bool
	outcome chan common.Verdict
}

// intake writes accepted jobs to the store, several at a time.
type intake struct {
	kv    *platform.KV
	log   *Journal
	now   func() time.Time
	queue chan *application
	reach reach
}

func newIntake(kv *platform.KV, log *Journal, now func() time.Time) *intake {
	return &intake{kv: kv, log: log, now: now, queue: make(chan *application, 1024)}
}

// errAway says that the store has not answered for a while.
var errAway = errors.New("the store is away")

// accept writes a job. Its verdict is Ran where the store holds the job, NotRun
// where it certainly never will, and MayHaveRun where that is not known by the
// deadline.
func (i *intake) accept(ctx context.Context, id ID, r Record, deadline time.Time) (common.Verdict, error) {
	b, err := encodeRecord(r)
	if err != nil {
		return common.NotRun, err
	}
	if i.reach.refuses(i.now()) {
		return common.NotRun, errAway
	}
	a := &application{id: id, value: b, deadline: deadline, outcome: make(chan common.Verdict, 1)}
	select {
	case i.queue <- a:
	default:
		return common.NotRun, errors.New("too many jobs wait to be written")
	}
	select {
	case v := <-a.outcome:
		return v, nil
	case <-ctx.Done():
		return common.MayHaveRun, ctx.Err()
	}
}

// run writes until the context ends.
func (i *intake) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-i.queue:
			go i.write(ctx, i.gather(ctx, a))
		}
	}
}

func (i *intake) gather(ctx context.Context, a *application) []*application {
	l := []*application{a}
	t := time.NewTimer(gatherFor)
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

// write settles all applications of the batch.
func (i *intake) write(ctx context.Context, l []*application) {
	for len(l) > 0 {
		sent := i.now()
		at, found, err := i.kv.Commit(ctx, intakeTxn(l))
		i.noteReach(sent, err)
		switch {
		case err == nil:
			i.tell(l, common.Ran, "written", int64(at))
			return
		case errors.Is(err, platform.ErrConflict):
			l = i.known(l, found)
			continue
		case errors.Is(err, platform.ErrUnknown):
			for _, a := range l {
				a.unsure = true
			}
		}
		l = i.unanswered(l, err)
		common.Sleep(ctx, intakeRetry)
	}
}

// noteReach notes whether a write was answered, and logs when the store goes away
// or is back.
func (i *intake) noteReach(sent time.Time, err error) {
	now := i.now()
	gone, back := i.reach.note(sent, now, err == nil || errors.Is(err, platform.ErrConflict))
	switch {
	case gone:
		i.log.Write(Note{What: "store away", Why: err.Error(), Inputs: []any{"since_ms", now.Sub(sent).Milliseconds()}})
	case back:
		i.log.Write(Note{What: "store back"})
	}
}

// intakeTxn creates the jobs unless they are there or have been: the owner
// removes the record of a job that has ended, and its progress stays.
func intakeTxn(l []*application) platform.Txn {
	var t platform.Txn
	for _, a := range l {
		t.Guards = append(t.Guards, platform.Guard{Key: newKey(a.id)}, platform.Guard{Key: progressKey(a.id)})
		t.Puts = append(t.Puts, platform.Put{Key: newKey(a.id), Value: a.value})
	}
	return t
}

// known settles the applications whose job the store holds already, and
// returns the others.
func (i *intake) known(l []*application, found []platform.Entry) []*application {
	there := make(map[string]bool, len(found))
	for _, e := range found {
		there[e.Key] = true
	}
	var rest, done []*application
	for _, a := range l {
		if there[newKey(a.id)] || there[progressKey(a.id)] {
			done = append(done, a)
			continue
		}
		rest = append(rest, a)
	}
	i.tell(done, common.Ran, "there already", 0)
	if len(done) == 0 {
		// Two of the batch are the same job: write them one after the other.
		for _, a := range l[1:] {
			i.queue <- a
		}
		return l[:1]
	}
	return rest
}

// unanswered settles the applications that can wait no longer after a failed
// write: what was refused at once and never sent has not run. It returns the
// others.
func (i *intake) unanswered(l []*application, err error) []*application {
	var rest []*application
	now := i.now()
	for _, a := range l {
		switch {
		case !a.unsure:
			i.tell([]*application{a}, common.NotRun, err.Error(), 0)
		case now.Add(intakeRetry).After(a.deadline):
			i.tell([]*application{a}, common.MayHaveRun, err.Error(), 0)
		default:
			rest = append(rest, a)
		}
	}
	return rest
}

func (i *intake) tell(l []*application, v common.Verdict, why string, at int64) {
	for _, a := range l {
		i.log.Write(Note{What: "intake", Job: a.id, Why: why, Inputs: []any{"verdict", v.String(), "revision", at}})
		a.outcome <- v
	}
}
