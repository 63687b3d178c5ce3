package job

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sirupsen/logrus"

	"amberway/platform"
)

// slowStore is a store behind a slow link. Its watches return one change.
type slowStore struct {
	lists, watches atomic.Int64
	// takes is how long it takes to send the change, stalls whether its second half is
	// never sent.
	takes  time.Duration
	stalls bool
}

func (s *slowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/kv-range") {
		s.lists.Add(1)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": []any{}, "more": false, "at": 1})
		return
	}
	s.watches.Add(1)
	if r.URL.Query().Get("after") != "1" {
		<-r.Context().Done()
		return
	}
	b, _ := json.Marshal(map[string]any{"at": 2, "events": []any{map[string]any{"key": "op/config", "rev": 2, "value": strings.Repeat("YWFh", 10000)}}})
	const parts = 20
	for n := range parts {
		if s.stalls && n >= parts/2 {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write(b[n*len(b)/parts : (n+1)*len(b)/parts])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(s.takes / parts)
	}
}

// followSlow follows the store until a change arrives, and returns how long that took, or
// zero if none arrives.
func followSlow(t *testing.T, s *slowStore) time.Duration {
	t.Helper()
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	at := netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://"))
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	began := time.Now()
	var took time.Duration
	f := &follower{
		kv: platform.NewKV(at, &platform.Calls{}), prefix: "op/", newestOnly: true,
		watchTimes: watchTimes{wait: 100 * time.Millisecond, timeout: 500 * time.Millisecond},
		log:        NewLogger(logrus.New(), time.Now, ctx.Done()),
		onList:     func([]platform.Entry, platform.Revision) {},
		onChange: func([]platform.Event, platform.Revision) {
			took = time.Since(began)
			cancel()
		},
	}
	f.run(ctx)
	return took
}

// A configuration of 1,163 queues takes longer over 2 Mbit/s than the timeout of a watch. If
// the watch is cut off in the middle and the configuration read again from its beginning, the
// link stays full. Answers of workers and of renewals are then late: an owner lost its lease
// and most workers, and had the configuration in force five seconds after other entry hosts.
func TestSlowlyReadConfigurationIsReadOnce(t *testing.T) {
	s := &slowStore{takes: time.Second}
	require.Positive(t, followSlow(t, s), "no change was read")
	require.EqualValues(t, 1, s.lists.Load(), "lists")
	require.EqualValues(t, 1, s.watches.Load(), "watches")
}

// A watch whose answer stops arriving times out all the same.
func TestStalledWatchTimesOut(t *testing.T) {
	s := &slowStore{takes: 200 * time.Millisecond, stalls: true}
	require.Zero(t, followSlow(t, s))
	require.Greater(t, s.watches.Load(), int64(1))
}
