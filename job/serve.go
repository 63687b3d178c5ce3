package job

import (
	"context"
	"errors"
	"time"

	"amberway/common"
	"amberway/platform"
)

// localState returns the state of a job and whether the job is known. The last result is
// false unless the owner runs on this host and has loaded all jobs.
func (n *Node) localState(id ID) (platform.JobState, bool, bool) {
	o := n.localOwner()
	if o == nil || !o.loaded.Load() {
		return "", false, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s, known := o.core.StateOf(id)
	return s, known, true
}

// localWaiting returns how many jobs of a queue have not started, or false unless the owner
// runs on this host and has loaded all jobs.
func (n *Node) localWaiting(queue string) (int, bool) {
	o := n.localOwner()
	if o == nil || !o.loaded.Load() {
		// An owner that is still loading would count too few.
		return 0, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.Waiting(queue), true
}

// state returns a job's state from the owner, or from the store.
func (n *Node) state(ctx context.Context, id ID) (platform.JobState, bool, error) {
	if s, known, owns := n.localState(id); owns && known {
		return s, true, nil
	}
	if o, ok := n.election.otherOwner(); ok {
		s, known, err := n.peers.state(ctx, o, id)
		if err == nil && known {
			return s, true, nil
		}
	}
	return n.storedState(ctx, id)
}

// storedState returns a job's state as the store has it. It reads the record before the
// progress: the write that makes the progress final deletes the record, so that a job which
// ends meanwhile is found either way.
func (n *Node) storedState(ctx context.Context, id ID) (platform.JobState, bool, error) {
	_, err := n.KV.Get(ctx, recordKey(id))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return "", false, err
	}
	recorded := err == nil
	e, err := n.KV.Get(ctx, progressKey(id))
	if errors.Is(err, platform.ErrNotFound) {
		return platform.StateQueued, recorded, nil
	}
	if err != nil {
		return "", false, err
	}
	_, p, err := decodeProgress(e)
	return p.State, true, err
}

// waiting returns how many jobs of a queue have not started, which only the owner knows.
func (n *Node) waiting(ctx context.Context, queue string) (int, error) {
	if c, owns := n.localWaiting(queue); owns {
		return c, nil
	}
	o, ok := n.election.otherOwner()
	if !ok {
		return 0, errNotOwner
	}
	return n.peers.waiting(ctx, o, queue)
}

// accept writes a job to the store from here or, if this host cannot, through the owner.
func (n *Node) accept(ctx context.Context, id ID, r Record) common.Verdict {
	deadline, _ := ctx.Deadline()
	v, err := n.intake.accept(ctx, id, r, deadline)
	n.metrics.intake.Add(ctx, 1, label("verdict", v.String()))
	if err != nil {
		n.log.Write(LogLine{What: "job not accepted", Job: id, Why: err.Error()})
	}
	if v != common.NotRun {
		return v
	}
	o, ok := n.election.otherOwner()
	if !ok {
		return v
	}
	v, err = n.relay(ctx, o, id, r)
	if err != nil {
		n.log.Write(LogLine{What: "job not relayed", Job: id, Why: err.Error(), Fields: []any{"to", o.Name}})
	}
	return v
}

// refusedUntil returns when the caller of a job may retry, or false unless the job is refused
// because its queue is full. A job that was accepted before is not refused: this may be a
// retry of the same request.
func (n *Node) refusedUntil(ctx context.Context, id ID, c caller, r Record) (time.Time, bool) {
	v, full := n.election.reject(id, c, r)
	if !full {
		return time.Time{}, false
	}
	_, known, err := n.storedState(ctx, id)
	if err != nil || known {
		return time.Time{}, false
	}
	n.metrics.intake.Add(ctx, 1, label("verdict", "full"))
	n.refusals.add(Refusal{ID: id, Why: v.why, At: n.now()}, c.team.Name)
	n.log.Write(LogLine{What: "job refused", Job: id, Why: v.why, Fields: []any{
		"queue", c.queue.Name, "team", c.team.Name, "back_ms", v.retryAt.Sub(n.now()).Milliseconds(),
		"cause", string(v.limit.Cause), "fraction", v.limit.Fraction, "age_ms", v.policyAge.Milliseconds(),
	}})
	return v.retryAt, true
}

// cancel cancels a job from here or, if this host cannot, through the owner. It reports
// whether the job is known.
func (n *Node) cancel(ctx context.Context, id ID) (bool, error) {
	known, err := n.cancelHere(ctx, id)
	o, ok := n.election.otherOwner()
	if err == nil || !ok {
		return known, err
	}
	return n.peers.cancel(ctx, o.Peer, id)
}

// cancelHere writes a job's cancel mark, unless the job is final. It reports whether the job is known.
// One that is not gets the mark as well: its write may still be under way, and the store may carry it
// out seconds after the caller has been told that there is no such job.
func (n *Node) cancelHere(ctx context.Context, id ID) (bool, error) {
	for {
		e, err := n.KV.Get(ctx, recordKey(id))
		known := err == nil
		conditions := []platform.Condition{{Key: recordKey(id), Revision: e.Revision}}
		if errors.Is(err, platform.ErrNotFound) {
			if _, err = n.KV.Get(ctx, progressKey(id)); err == nil {
				return true, nil
			}
			conditions = append(conditions, platform.Condition{Key: progressKey(id)})
		}
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return false, err
		}
		_, _, err = n.KV.Commit(ctx, platform.Txn{
			Conditions: conditions,
			Puts:       []platform.Put{{Key: cancelKey(id), Value: []byte("1")}},
		})
		if errors.Is(err, platform.ErrConflict) || (errors.Is(err, common.ErrSilent) && ctx.Err() == nil) {
			// Retry: if the mark was written and only the answer lost, the same mark is
			// written again.
			continue
		}
		if err == nil {
			n.log.Write(LogLine{What: "cancel", Job: id, Fields: []any{"known", known}})
		}
		return err == nil && known, err
	}
}
