package job

import (
	"context"
	"errors"
	"time"

	"amberway/common"
)

// A write whose answer is lost leaves open whether its job was taken, so that the caller has to
// wait and is told no more than that in the end. An entry host that has not heard from the store
// for a moment asks it first: a question that is not answered leaves nothing behind, and the job
// is refused at once. The more entry hosts there are, the fewer jobs each of them gets, and the
// more often the first job of an outage is the only one that its host sees.
const (
	// storeHeardWithin is how long after an answer of the store a job is written without a
	// question.
	storeHeardWithin = 500 * time.Millisecond
	// storeQuestionTimeout bounds the question. A reused connection has half of it, which is
	// more than the quarter of a second that a slow store takes to answer.
	storeQuestionTimeout = 700 * time.Millisecond
)

// ask reports whether the store can be written to, and asks it for the job's record if it has not
// been heard lately. A refusal is an answer: a write is refused as quickly.
func (i *intake) ask(ctx context.Context, id ID) error {
	if i.now().Sub(i.heardAt.Get()) < storeHeardWithin {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeQuestionTimeout)
	defer cancel()
	sent := i.now()
	_, err := i.kv.Get(ctx, recordKey(id))
	if !isUnanswered(err) {
		i.heardAt.Set(i.now())
		return nil
	}
	if i.storeHealth.unanswered(i.now()) {
		i.logUnreachable(sent, err)
	}
	return err
}

// isUnanswered reports whether the error says that the other side may not have been reached.
func isUnanswered(err error) bool {
	return errors.Is(err, common.ErrNotSent) || errors.Is(err, common.ErrUnknownOutcome) || errors.Is(err, context.DeadlineExceeded)
}

// relay has the owner accept a job that this host could not write. It asks the owner for the
// job's state first, for the same reason.
func (n *Node) relay(ctx context.Context, o Owner, id ID, r Record) (common.Verdict, error) {
	_, known, err := n.peers.state(ctx, o, id)
	switch {
	case isUnanswered(err):
		return common.NotRun, err
	case err == nil && known:
		return common.Ran, nil
	}
	return n.peers.accept(ctx, o.Peer, id, r)
}

// unanswered records that a question was not answered: jobs are refused at once from here on,
// but for one now and then. It reports whether this shows that the store has become unreachable.
func (r *storeHealth) unanswered(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = max(r.failures, minStoreFailures)
	r.failingSince = now.Add(-storeOutageAfter)
	r.probeAt = now.Add(storeProbeEvery)
	gone := !r.reported
	r.reported = true
	return gone
}
