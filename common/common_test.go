package common

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestPauseDetectorRecoversOnceStateIsReloaded(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := NewPauseDetector(func() time.Time { return now })
	require.False(t, p.Heartbeat(now.Add(heartbeatInterval)))
	require.False(t, p.Recovering(now.Add(2*heartbeatInterval)))
	now = now.Add(time.Minute)
	require.True(t, p.Recovering(now), "before the first heartbeat after the pause")
	require.True(t, p.Heartbeat(now))
	require.True(t, p.Recovering(now), "after the first heartbeat")
	p.reload(t.Context(), func(context.Context) error { return nil })
	require.False(t, p.Recovering(now))
	require.True(t, p.Heartbeat(now.Add(time.Minute)))
	later := now.Add(time.Minute).Add(maxRecovery)
	p.lastHeartbeat.Store(later.UnixNano())
	require.False(t, p.Recovering(later), "if reloading fails, recovery ends after maxRecovery")
}

// heapModel drives a Heap and records the entries that are in it.
type heapModel struct {
	heap    *Heap[int]
	entries map[*HeapEntry[int]]bool
}

func (m *heapModel) push(t *rapid.T) {
	m.entries[m.heap.Push(rapid.IntRange(0, 20).Draw(t, "value"))] = true
}

func (m *heapModel) remove(t *rapid.T) {
	for e := range m.entries {
		if !m.heap.Remove(e) || m.heap.Remove(e) {
			t.Fatal("Remove did not find an item in the heap, or removed it twice")
		}
		delete(m.entries, e)
		return
	}
}

func (m *heapModel) pop(t *rapid.T) {
	v, ok := m.heap.Pop()
	if ok == (len(m.entries) == 0) {
		t.Fatalf("Pop returned an item: %t, with %d in the heap", ok, len(m.entries))
	}
	for e := range m.entries {
		if e.Value < v {
			t.Fatalf("Pop returned %d before %d", v, e.Value)
		}
	}
	maps.DeleteFunc(m.entries, func(e *HeapEntry[int], _ bool) bool { return e.index < 0 })
}

func TestHeapRemovesFromTheMiddle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &heapModel{heap: NewHeap(func(a, b int) bool { return a < b }), entries: map[*HeapEntry[int]]bool{}}
		t.Repeat(map[string]func(*rapid.T){"push": m.push, "remove": m.remove, "pop": m.pop})
	})
}

func TestRankKeepsOrderOfRemainingNames(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for _, k := range []string{"1", "2", "3", "4", "5"} {
		r := Rank(k, names)
		require.Equal(t, r[0], RankFirst(k, names))
		require.Equal(t, r[1:], Rank(k, r[1:]), "removing the first keeps the order of the others")
	}
	require.Empty(t, RankFirst("1", nil))
}

func TestVerdictsAndClassesRoundTrip(t *testing.T) {
	for _, v := range []Verdict{Ran, NotRun, MayHaveRun} {
		got, err := ParseVerdict(v.String())
		require.NoError(t, err)
		require.Equal(t, v, got)
	}
	_, err := ParseVerdict("perhaps")
	require.Error(t, err)
	for _, c := range []Class{Quick, Patient} {
		var got Class
		b, err := c.MarshalText()
		require.NoError(t, errors.Join(err, got.UnmarshalText(b)))
		require.Equal(t, c, got)
	}
	var zero Verdict
	require.Equal(t, MayHaveRun, zero, "the zero verdict rules nothing out")
}

func TestProblemSetsRetryAfter(t *testing.T) {
	now := time.Unix(1e9, 0)
	w := httptest.NewRecorder()
	p := &ProblemError{Type: "about:blank", Title: "refused", Status: http.StatusServiceUnavailable, Verdict: NotRun, RetryAt: now.Add(1500 * time.Millisecond)}
	p.Write(w, now)
	require.Equal(t, "2", w.Header().Get("Retry-After"))
	require.Equal(t, "not-run", w.Header().Get(HeaderVerdict))
	require.JSONEq(t, `{"type":"about:blank","title":"refused","status":503,"verdict":"not-run"}`, w.Body.String())
}
