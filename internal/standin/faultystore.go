package standin

import (
	"context"
	"errors"

	"amberway/platform"
)

// Outcome is the outcome of a call to a FaultyStore.
type Outcome int

// The outcomes of a call.
const (
	// Succeeds executes the call and answers.
	Succeeds Outcome = iota
	// NotSent does not execute the call and says so (platform.ErrNotSent).
	NotSent
	// RequestLost does not execute the call and gives no answer.
	RequestLost
	// AnswerLost executes the call and loses the answer.
	AnswerLost
	// Delayed loses the answer and executes the call at the next DeliverDelayed.
	Delayed
)

// FaultyStore is a platform.Store in memory whose calls fail on demand. Decide is
// called before each call. It may itself make calls, which simulates a process that
// is paused between two steps.
type FaultyStore struct {
	Store   *Store
	Decide  func(write bool) Outcome
	delayed []platform.WireTxn
}

// NewFaultyStore returns an empty store where every call succeeds.
func NewFaultyStore() *FaultyStore {
	return &FaultyStore{Store: NewStore(), Decide: func(bool) Outcome { return Succeeds }}
}

// DeliverDelayed executes the delayed calls.
func (s *FaultyStore) DeliverDelayed() {
	l := s.delayed
	s.delayed = nil
	for _, t := range l {
		s.Store.Txn(t)
	}
}

// readError returns the error of a read with the outcome. AnswerLost and Delayed concern
// writes only: a read succeeds.
func readError(f Outcome) error {
	switch f {
	case Succeeds, AnswerLost, Delayed:
		return nil
	case NotSent:
		return platform.ErrNotSent
	default:
		return platform.ErrUnknownOutcome
	}
}

// Get is part of platform.Store.
func (s *FaultyStore) Get(_ context.Context, key string) (platform.Entry, error) {
	if err := readError(s.Decide(false)); err != nil {
		return platform.Entry{}, err
	}
	l, _ := s.Store.Range(key, "")
	if len(l) == 0 {
		return platform.Entry{Key: key}, platform.ErrNotFound
	}
	return platform.Entry{Key: key, Value: l[0].Value, Revision: platform.Revision(l[0].ModRevision)}, nil
}

// GetAfter is part of platform.Store.
func (s *FaultyStore) GetAfter(ctx context.Context, key string, after platform.Revision) (platform.Entry, bool, error) {
	e, err := s.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return e, false, nil
	}
	return e, err == nil && e.Revision > after, err
}

// List is part of platform.Store.
func (s *FaultyStore) List(_ context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	if err := readError(s.Decide(false)); err != nil {
		return nil, 0, err
	}
	l, rev := s.Store.Range(prefix, string(platform.PrefixEnd(prefix)))
	var out []platform.Entry
	for _, k := range l {
		out = append(out, platform.Entry{Key: string(k.Key), Value: k.Value, Revision: platform.Revision(k.ModRevision)})
	}
	return out, platform.Revision(rev), nil
}

// Swap is part of platform.Store.
func (s *FaultyStore) Swap(_ context.Context, key string, value []byte, base platform.Revision) (platform.Revision, error) {
	return s.txn(key, base, platform.WireOp{Put: &platform.WirePut{Key: []byte(key), Value: value}})
}

// Delete is part of platform.Store.
func (s *FaultyStore) Delete(_ context.Context, key string, base platform.Revision) error {
	_, err := s.txn(key, base, platform.WireOp{Delete: &platform.WireDelete{Key: []byte(key)}})
	return err
}

func (s *FaultyStore) txn(key string, base platform.Revision, op platform.WireOp) (platform.Revision, error) {
	c := platform.WireCompare{Key: []byte(key), ModRevision: int64(base)}
	t := platform.WireTxn{Compare: []platform.WireCompare{c}, Success: []platform.WireOp{op}}
	switch s.Decide(true) {
	case NotSent:
		return 0, platform.ErrNotSent
	case RequestLost:
		return 0, platform.ErrUnknownOutcome
	case Delayed:
		s.delayed = append(s.delayed, t)
		return 0, platform.ErrUnknownOutcome
	case AnswerLost:
		s.Store.Txn(t)
		return 0, platform.ErrUnknownOutcome
	default:
		ok, rev := s.Store.Txn(t)
		if !ok {
			return 0, platform.ErrConflict
		}
		return platform.Revision(rev), nil
	}
}

// DeleteRange is part of platform.Store.
func (s *FaultyStore) DeleteRange(_ context.Context, from, to string) error {
	f := s.Decide(true)
	if f == NotSent {
		return platform.ErrNotSent
	}
	if f == RequestLost {
		return platform.ErrUnknownOutcome
	}
	l, _ := s.Store.Range(from, to)
	for _, k := range l {
		s.Store.Txn(platform.WireTxn{Success: []platform.WireOp{{Delete: &platform.WireDelete{Key: k.Key}}}})
	}
	if f != Succeeds {
		return platform.ErrUnknownOutcome
	}
	return nil
}

// Watch is part of platform.Store. It reports no events.
func (s *FaultyStore) Watch(ctx context.Context, _ string, _ platform.Revision, _ func([]platform.Event)) error {
	<-ctx.Done()
	return ctx.Err()
}
