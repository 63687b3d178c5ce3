package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"amberway/platform"
)

// Keys in the platform's store.
const (
	// HeadKey holds the Head in force.
	HeadKey = "config/head"
	// SectionPrefix is the prefix of the keys of sections; their hashes follow.
	SectionPrefix = "config/sections/"
)

// StaleError says that another generation than the base of a change is in force. The
// change was not put in force.
type StaleError struct {
	Base    int64
	Current int64
	// Changed names the sections that differ between the change and the
	// configuration in force.
	Changed []string
}

// Error names both generations and the sections that differ.
func (e *StaleError) Error() string {
	return fmt.Sprintf("config: base generation %d is stale, %d is in force; it differs from this document in: %s",
		e.Base, e.Current, strings.Join(e.Changed, ", "))
}

// ErrUnknownOutcome says that it is not known whether a publication took effect. The
// same document can safely be published again from the same base.
var ErrUnknownOutcome = errors.New("config: the platform's answer was lost and the head could not be read back; the change may be in force")

// Publisher writes documents to the platform.
type Publisher struct {
	store platform.Store
	// retryDelay is the delay before the first retry.
	retryDelay time.Duration
}

// NewPublisher returns a publisher that writes to the store.
func NewPublisher(s platform.Store) *Publisher {
	return &Publisher{store: s, retryDelay: publishRetryDelay}
}

// ReadHead returns the head in force and its revision, or an empty head and zero if
// nothing was published yet.
func ReadHead(ctx context.Context, s platform.Store) (*Head, platform.Revision, error) {
	e, err := s.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return &Head{Sections: map[string]Hash{}}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	h, err := DecodeHead(e.Value)
	return h, e.Revision, err
}

// DecodeHead decodes a head from JSON.
func DecodeHead(b []byte) (*Head, error) {
	var h Head
	if err := json.Unmarshal(b, &h); err != nil {
		return nil, merry.Prepend(err, "config: head")
	}
	return &h, nil
}

// Publish puts the document in force as the generation after base, by one
// compare-and-swap of the head. It returns *StaleError if another generation than base
// is in force, and ErrUnknownOutcome if the outcome is still unknown when the retries or
// the context end. A document that changes nothing is not published: the head in force is
// returned.
func (p *Publisher) Publish(ctx context.Context, d *Document, base int64) (*Head, error) {
	old, rev, err := ReadHead(ctx, p.store)
	if err != nil {
		return nil, merry.Prepend(err, "config: publish")
	}
	id := uuid.NewString()
	next, blobs, err := old.next(d, id)
	if err != nil {
		return nil, err
	}
	if old.Generation != base {
		return nil, &StaleError{Base: base, Current: old.Generation, Changed: Changes(old, next)}
	}
	if len(Changes(old, next)) == 0 {
		return old, nil
	}
	if err := p.putSections(ctx, old, next, blobs); err != nil {
		return nil, err
	}
	if err := p.swapHead(ctx, next, rev, base); err != nil {
		return nil, err
	}
	p.removeUnused(ctx, old, next)
	return next, nil
}

// putSections writes every section that the old head does not refer to. It also
// rewrites sections that are already in the store, to raise their revision: a concurrent
// publisher that deletes a section at its old revision then fails.
func (p *Publisher) putSections(ctx context.Context, old, next *Head, blobs map[Hash][]byte) error {
	stored := map[Hash]bool{}
	for _, h := range old.Sections {
		stored[h] = true
	}
	for _, n := range next.Order {
		h := next.Sections[n]
		if stored[h] {
			continue
		}
		stored[h] = true
		if err := p.putSection(ctx, h, blobs[h]); err != nil {
			return merry.Prepend(err, "config: section "+n)
		}
	}
	return nil
}

func (p *Publisher) putSection(ctx context.Context, h Hash, b []byte) error {
	key := SectionPrefix + string(h)
	put := func() (struct{}, error) {
		e, err := p.store.Get(ctx, key)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return struct{}{}, err
		}
		_, err = p.store.Swap(ctx, key, b, e.Revision)
		return struct{}{}, err
	}
	_, err := backoff.Retry(ctx, put, p.retryOptions()...)
	return err
}

// swapHead writes the head. Unless the write is known not to have been sent, a failure is
// resolved by reading the head back.
func (p *Publisher) swapHead(ctx context.Context, next *Head, rev platform.Revision, base int64) error {
	b, err := json.Marshal(next)
	if err != nil {
		return merry.Prepend(err, "config: head")
	}
	_, err = p.store.Swap(ctx, HeadKey, b, rev)
	if err == nil {
		return nil
	}
	if errors.Is(err, platform.ErrNotSent) {
		return merry.Prepend(err, "config: publish")
	}
	return p.resolveWrite(ctx, next, base)
}

// resolveWrite reads the head until it shows whether the write took effect. A head that
// is still the base shows nothing, since the write may arrive late. In that case the same
// head is written again: the compare-and-swap lets only one of the two writes take effect.
func (p *Publisher) resolveWrite(ctx context.Context, next *Head, base int64) error {
	attempt := func() (struct{}, error) {
		cur, rev, err := ReadHead(ctx, p.store)
		if err != nil {
			return struct{}{}, err
		}
		if cur.HasWrite(next.WriteID) {
			return struct{}{}, nil
		}
		if cur.Generation != base {
			stale := &StaleError{Base: base, Current: cur.Generation, Changed: Changes(cur, next)}
			return struct{}{}, backoff.Permanent(stale)
		}
		b, err := json.Marshal(next)
		if err != nil {
			return struct{}{}, backoff.Permanent(err)
		}
		_, err = p.store.Swap(ctx, HeadKey, b, rev)
		return struct{}{}, err
	}
	_, err := backoff.Retry(ctx, attempt, p.retryOptions()...)
	var stale *StaleError
	if err == nil || errors.As(err, &stale) {
		return err
	}
	return errors.Join(ErrUnknownOutcome, err)
}

// removeUnused deletes the sections that only the old head refers to. It ignores errors,
// as sections that are left behind do no harm.
func (p *Publisher) removeUnused(ctx context.Context, old, next *Head) {
	used := map[Hash]bool{}
	for _, h := range next.Sections {
		used[h] = true
	}
	for _, h := range old.Sections {
		if used[h] {
			continue
		}
		used[h] = true
		p.removeSection(ctx, SectionPrefix+string(h), next)
	}
}

// removeSection deletes a section, unless the head has changed. It deletes at the
// revision that it read before the head: a later publisher that uses the section has
// rewritten it at a new revision, so that the deletion fails.
func (p *Publisher) removeSection(ctx context.Context, key string, next *Head) {
	e, err := p.store.Get(ctx, key)
	if err != nil {
		return
	}
	cur, _, err := ReadHead(ctx, p.store)
	if err != nil || cur.WriteID != next.WriteID {
		return
	}
	_ = p.store.Delete(ctx, key, e.Revision)
}

// Limits of the retries within one publication.
const (
	maxPublishTries   = 8
	maxPublishTime    = 15 * time.Second
	publishRetryDelay = 50 * time.Millisecond
)

func (p *Publisher) retryOptions() []backoff.RetryOption {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = p.retryDelay
	return []backoff.RetryOption{
		backoff.WithBackOff(b),
		backoff.WithMaxTries(maxPublishTries),
		backoff.WithMaxElapsedTime(maxPublishTime),
	}
}
