package request

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"amberway/platform"
	"amberway/request/requestpb"
)

// ClaimPrefix is the key prefix of all claim segments.
const ClaimPrefix = "claims/"

// shardPrefix returns the key prefix of one shard's segments.
func shardPrefix(shard uint32) string {
	return fmt.Sprintf("%s%03d/", ClaimPrefix, shard)
}

// segmentKey returns the key of one segment. Numbers are zero-padded, so that keys sort
// by number.
func segmentKey(shard uint32, n int64) string {
	return fmt.Sprintf("%s%016d", shardPrefix(shard), n)
}

func segmentNumber(key string) (int64, error) {
	return strconv.ParseInt(key[strings.LastIndex(key, "/")+1:], 10, 64)
}

func encodeSegment(s Segment) ([]byte, error) {
	p := &requestpb.Segment{Write: s.Write, Committed: timestamppb.New(s.Committed)}
	for _, c := range s.Claims {
		p.Claims = append(p.Claims, &requestpb.Claim{Id: c.ID[:], Attempt: c.Attempt})
	}
	return proto.Marshal(p)
}

func decodeSegment(b []byte) (Segment, error) {
	var p requestpb.Segment
	if err := proto.Unmarshal(b, &p); err != nil {
		return Segment{}, merry.Prepend(err, "claims: decoding a segment")
	}
	s := Segment{Write: p.GetWrite(), Committed: p.GetCommitted().AsTime()}
	for _, c := range p.GetClaims() {
		id, err := uuid.FromBytes(c.GetId())
		if err != nil {
			return Segment{}, merry.Prepend(err, "claims: decoding a segment")
		}
		s.Claims = append(s.Claims, Claim{ID: id, Attempt: c.GetAttempt()})
	}
	return s, nil
}

// claimStore reads and writes one shard's segments.
type claimStore struct {
	store platform.Store
	shard uint32
}

// load reads the whole log.
func (c claimStore) load(ctx context.Context) (map[int64]Segment, error) {
	l, _, err := c.store.List(ctx, shardPrefix(c.shard))
	if err != nil {
		return nil, err
	}
	m := map[int64]Segment{}
	for _, e := range l {
		n, err := segmentNumber(e.Key)
		if err != nil {
			return nil, merry.Prepend(err, "claims: bad segment key "+e.Key)
		}
		m[n], err = decodeSegment(e.Value)
		if err != nil {
			return nil, err
		}
	}
	return m, nil
}

// get reads one segment. It returns false if there is none.
func (c claimStore) get(ctx context.Context, n int64) (Segment, bool, error) {
	e, err := c.store.Get(ctx, segmentKey(c.shard, n))
	if errors.Is(err, platform.ErrNotFound) {
		return Segment{}, false, nil
	}
	if err != nil {
		return Segment{}, false, err
	}
	s, err := decodeSegment(e.Value)
	return s, err == nil, err
}

// create writes the segment unless there is one with the number.
func (c claimStore) create(ctx context.Context, n int64, s Segment) error {
	b, err := encodeSegment(s)
	if err != nil {
		return err
	}
	_, err = c.store.Swap(ctx, segmentKey(c.shard, n), b, 0)
	return err
}

// remove deletes the segments with numbers below to.
func (c claimStore) remove(ctx context.Context, to int64) error {
	return c.store.DeleteRange(ctx, segmentKey(c.shard, 0), segmentKey(c.shard, to))
}
