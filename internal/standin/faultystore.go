package standin

import (
	"context"
	"errors"

	"amberway/platform"
)

// Outcome is what becomes of one call to a Memory.
type Outcome int

// The fates of a call.
const (
	// Succeeds does what is asked and answers.
	Succeeds Outcome = iota
	// NotSent does nothing and says so.
	NotSent
	// RequestLost does nothing and loses the answer.
	RequestLost
	// AnswerLost does what is asked and loses the answer.
	AnswerLost
	// Delayed loses the answer and does what is asked at the next Deliver.
	Delayed
)

// FaultyStore is a platform.Store without a network. Decide is called before each
// call and may itself make calls, which is how a pause between two steps of a
// process is played.
type FaultyStore struct {
	Store   *Store
	Decide  func(write bool) Outcome
	delayed []platform.WireTxn
}

// NewFaultyStore returns an empty store where every call is fine.
func NewFaultyStore() *FaultyStore {
	return &FaultyStore{Store: NewStore(), Decide: func(bool) Outcome { return Succeeds }}
}

// DeliverDelayed does what late calls asked for.
func (m *FaultyStore) DeliverDelayed() {
	l := m.delayed
	m.delayed = nil
	for _, t := range l {
		m.Store.Txn(t)
	}
}

func readError(f Outcome) error {
	switch f {
	case Succeeds, AnswerLost, Delayed:
		return nil
	case NotSent:
		return platform.ErrNotSent
	default:
		return platform.ErrUnknown
	}
}

// Get is part of platform.Store.
func (m *FaultyStore) Get(_ context.Context, key string) (platform.Entry, error) {
	if err := readError(m.Decide(false)); err != nil {
		return platform.Entry{}, err
	}
	l, _ := m.Store.Range(key, "")
	if len(l) == 0 {
		return platform.Entry{Key: key}, platform.ErrNotFound
	}
	return platform.Entry{Key: key, Value: l[0].Value, Revision: platform.Revision(l[0].ModRevision)}, nil
}

// GetAfter is part of platform.Store.
func (m *FaultyStore) GetAfter(ctx context.Context, key string, after platform.Revision) (platform.Entry, bool, error) {
	e, err := m.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return e, false, nil
	}
	return e, err == nil && e.Revision > after, err
}

// List is part of platform.Store.
func (m *FaultyStore) List(_ context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	if err := readError(m.Decide(false)); err != nil {
		return nil, 0, err
	}
	l, rev := m.Store.Range(prefix, string(platform.PrefixEnd(prefix)))
	var out []platform.Entry
	for _, k := range l {
		out = append(out, platform.Entry{Key: string(k.Key), Value: k.Value, Revision: platform.Revision(k.ModRevision)})
	}
	return out, platform.Revision(rev), nil
}

// Swap is part of platform.Store.
func (m *FaultyStore) Swap(_ context.Context, key string, value []byte, base platform.Revision) (platform.Revision, error) {
	return m.txn(key, base, platform.WireOp{Put: &platform.WirePut{Key: []byte(key), Value: value}})
}

// Delete is part of platform.Store.
func (m *FaultyStore) Delete(_ context.Context, key string, base platform.Revision) error {
	_, err := m.txn(key, base, platform.WireOp{Delete: &platform.WireDelete{Key: []byte(key)}})
	return err
}

func (m *FaultyStore) txn(key string, base platform.Revision, op platform.WireOp) (platform.Revision, error) {
	c := platform.WireCompare{Key: []byte(key), ModRevision: int64(base)}
	t := platform.WireTxn{Compare: []platform.WireCompare{c}, Success: []platform.WireOp{op}}
	switch m.Decide(true) {
	case NotSent:
		return 0, platform.ErrNotSent
	case RequestLost:
		return 0, platform.ErrUnknown
	case Delayed:
		m.delayed = append(m.delayed, t)
		return 0, platform.ErrUnknown
	case AnswerLost:
		m.Store.Txn(t)
		return 0, platform.ErrUnknown
	default:
		ok, rev := m.Store.Txn(t)
		if !ok {
			return 0, platform.ErrConflict
		}
		return platform.Revision(rev), nil
	}
}

// DeleteRange is part of platform.Store.
func (m *FaultyStore) DeleteRange(_ context.Context, from, to string) error {
	f := m.Decide(true)
	if f == NotSent {
		return platform.ErrNotSent
	}
	if f == RequestLost {
		return platform.ErrUnknown
	}
	l, _ := m.Store.Range(from, to)
	for _, k := range l {
		m.Store.Txn(platform.WireTxn{Success: []platform.WireOp{{Delete: &platform.WireDelete{Key: k.Key}}}})
	}
	if f != Succeeds {
		return platform.ErrUnknown
	}
	return nil
}

// Watch is part of platform.Store. It only waits.
func (m *FaultyStore) Watch(ctx context.Context, _ string, _ platform.Revision, _ func([]platform.Event)) error {
	<-ctx.Done()
	return ctx.Err()
}
