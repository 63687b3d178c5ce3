package job

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/standin/fleet"
	"amberway/platform"
)

// seenValues holds the values of one key that a follower has read.
type seenValues struct {
	mu     sync.Mutex
	values []string
}

func (s *seenValues) add(e platform.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = append(s.values, string(e.Value))
}

// count returns the number of values, and the last one.
func (s *seenValues) count() (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.values) == 0 {
		return 0, ""
	}
	return len(s.values), s.values[len(s.values)-1]
}

// Operators may change the configuration a dozen times a second. Each version is a whole
// document, some 80 kB with 250 queues, and a watch returns all of them: over 2 Mbit/s 25
// versions took eight seconds, during which jobs for new queues were refused because the
// queue was unknown. Only the newest version matters.
func TestSupersededVersionsAreNotRead(t *testing.T) {
	const versions, storeDelay = 40, 100 * time.Millisecond
	s := newStoreFixture(t)
	require.NoError(t, s.Put(platform.ConfigKey, 0))
	var got seenValues
	f := &follower{kv: s.kv, prefix: platform.OperatorPrefix, watchTimes: configWatch(DefaultConfigWithin), newestOnly: true}
	f.onList = func(l []platform.Entry, _ platform.Revision) {
		for _, e := range l {
			got.add(e)
		}
	}
	f.onChange = func(l []platform.Event, _ platform.Revision) {
		for _, e := range l {
			got.add(e.Entry)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s.SetFault(fleet.StoreFault{Delay: storeDelay})
	go f.run(ctx)
	require.Eventually(t, func() bool { n, _ := got.count(); return n > 0 }, time.Second, time.Millisecond)
	for v := range versions {
		require.NoError(t, s.Put(platform.ConfigKey, v+1))
		time.Sleep(storeDelay / 10)
	}
	last := fmt.Sprint(versions)
	require.Eventually(t, func() bool { _, v := got.count(); return strings.TrimSpace(v) == last }, 10*storeDelay, time.Millisecond)
	n, _ := got.count()
	require.Less(t, n, versions/2, "number of values read")
}

// If a watch that timed out is repeated from the same revision, its answer grows with each
// change, until none is read in time any more: over 2 Mbit/s three of 16 entry hosts stayed
// behind for twenty seconds, until the store compacted its history.
func TestFailedWatchIsFollowedByAList(t *testing.T) {
	s := newStoreFixture(t)
	require.NoError(t, s.Put(platform.ConfigKey, 0))
	lists := make(chan int, 100)
	f := &follower{kv: s.kv, prefix: platform.OperatorPrefix, watchTimes: watchTimes{wait: 20 * time.Millisecond, timeout: 60 * time.Millisecond}, newestOnly: true}
	f.onList = func(l []platform.Entry, _ platform.Revision) { lists <- len(l) }
	f.onChange = func([]platform.Event, platform.Revision) {}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.run(ctx)
	<-lists
	s.SetFault(fleet.StoreFault{Delay: 100 * time.Millisecond})
	for range 3 {
		select {
		case <-lists:
		case <-time.After(2 * time.Second):
			t.Fatal("the follower repeats the watch instead of listing")
		}
	}
}
