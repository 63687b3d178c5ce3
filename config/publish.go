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

// Keys of the platform's service.
const (
	// HeadKey holds the Head in force.
	HeadKey = "config/head"
	// SectionPrefix begins the key of every section.
	SectionPrefix = "config/sections/"
)

// StaleError says that the configuration moved on from the base that a change
// was made from. Nothing was written.
type StaleError struct {
	Base    int64
	Current int64
	// Changed names the sections that differ between the change and what is in
	// force now.
	Changed []string
}

// Error names both generations and what differs.
func (e *StaleError) Error() string {
	return fmt.Sprintf("config: base generation %d is stale, %d is in force; it differs from this document in: %s",
		e.Base, e.Current, strings.Join(e.Changed, ", "))
}

// ErrUnknownOutcome says that it could not be learned whether a publication took effect.
// The same document can be published again from the same base.
var ErrUnknownOutcome = errors.New("config: the platform's answer was lost and the head could not be read back; the change may be in force")

// Publisher writes documents to the platform.
type Publisher struct {
	store platform.Store
	// retryDelay is the pause before the first retry.
	retryDelay time.Duration
}

// NewPublisher returns a publisher to the store.
func NewPublisher(s platform.Store) *Publisher {
	return &Publisher{store: s, retryDelay: publishRetryDelay}
}

// ReadHead returns the head in force and its revision; an empty head where
// there is none.
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

// DecodeHead reads a head from its JSON.
func DecodeHead(b []byte) (*Head, error) {
	var h Head
	if err := json.Unmarshal(b, &h); err != nil {
		return nil, merry.Prepend(err, "config: head")
	}
	return &h, nil
}

// Publish puts the document in force as the generation after base, by one swap
// of the head. It returns *StaleError where another generation is in force, and
// ErrOpen where the outcome could not be learned before the context ended.
func (p *Publisher) Publish(ctx context.Context, d *Document, base int64) (*Head, error) {
	old, rev, err := ReadHead(ctx, p.store)
	if err != nil {
		return nil, merry.Prepend(err, "config: publish")
	}
	write := uuid.NewString()
	next, blobs, err := old.next(d, write)
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

// putSections writes every section that the old head does not hold. One that
// is there already is written again, so that a removal by its old revision
// fails.
func (p *Publisher) putSections(ctx context.Context, old, next *Head, blobs map[Hash][]byte) error {
	held := map[Hash]bool{}
	for _, h := range old.Sections {
		held[h] = true
	}
	for _, n := range next.Order {
		h := next.Sections[n]
		if held[h] {
			continue
		}
		held[h] = true
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

// swapHead writes the head and, where the answer is lost, reads back whether
// it took effect.
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

// resolveWrite reads the head until it tells whether the write took effect. A head
// that is still the base tells nothing, since the write may yet arrive; it is
// settled by a swap of the same head, which can take effect once only.
func (p *Publisher) resolveWrite(ctx context.Context, next *Head, base int64) error {
	settle := func() (struct{}, error) {
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
	_, err := backoff.Retry(ctx, settle, p.retryOptions()...)
	var stale *StaleError
	if err == nil || errors.As(err, &stale) {
		return err
	}
	return errors.Join(ErrUnknownOutcome, err)
}

// removeUnused deletes the sections that only the old head held. A failure
// leaves them behind, which does no harm.
func (p *Publisher) removeUnused(ctx context.Context, old, next *Head) {
	keep := map[Hash]bool{}
	for _, h := range next.Sections {
		keep[h] = true
	}
	for _, h := range old.Sections {
		if keep[h] {
			continue
		}
		keep[h] = true
		p.removeSection(ctx, SectionPrefix+string(h), next)
	}
}

// removeSection deletes by the revision read before the head was found
// unchanged: a publisher that has taken the section up since has given it a
// new revision.
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

// Limits of the retries of one publication.
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
