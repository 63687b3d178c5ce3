package request

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/metric/noop"
	"pgregory.net/rapid"

	"amberway/common"
	"amberway/config"
	"amberway/peers"
)

// verdictModel is several entry hosts that take copies of the same requests, with targets
// and claims that fail in every way. It counts the runs of each id and records the
// verdicts that its callers got.
type verdictModel struct {
	t          *rapid.T
	servers    []*Server
	claimed    map[uuid.UUID]bool
	runs       map[string]int
	verdicts   map[string][]common.Verdict
	atMostOnce map[string]bool
	ids        []string
	depth      int
	// peerDead says that the first entry host considers the second dead.
	peerDead bool
	mu       sync.Mutex
	// removed are the targets that are currently removed.
	removed map[string]bool
}

// entryAddress is where the second entry host listens for callers.
var entryAddress = netip.MustParseAddrPort("127.0.0.1:2")

func newVerdictModel(t *rapid.T) *verdictModel {
	m := &verdictModel{
		t: t, claimed: map[uuid.UUID]bool{}, runs: map[string]int{},
		verdicts: map[string][]common.Verdict{}, atMostOnce: map[string]bool{}, removed: map[string]bool{},
	}
	for n := range 2 {
		m.servers = append(m.servers, m.newServer(n))
	}
	return m
}

// live returns the members that the first entry host considers alive.
func (m *verdictModel) live() []peers.Member {
	if m.peerDead {
		return nil
	}
	return []peers.Member{{Name: "e1", Incarnation: 1, Caller: entryAddress, DataCentre: "north"}}
}

func (m *verdictModel) newServer(n int) *Server {
	doc := &config.Document{
		Pools: []config.Pool{{Name: "p"}},
		Services: []config.Service{{Name: "s", Pool: "p", Weight: 1, Jobs: []config.Job{
			{Name: "free", Repeatable: true, Timeout: time.Minute},
			{Name: "once", Class: common.Patient, Timeout: time.Minute},
		}}},
	}
	s := NewScheduler(DefaultPolicy(), rand.New(rand.NewPCG(1, 2)))
	s.SetServices([]ServiceSpec{{Name: "s", Pool: "p", Weight: 1}})
	s.SetTargets(verdictTargets)
	metrics, err := NewMetrics(noop.NewMeterProvider().Meter("test"))
	if err != nil {
		m.t.Fatal(err)
	}
	return NewServer(common.NopDeps(), ServerOptions{
		Config:        func() *config.Snapshot { return &config.Snapshot{Document: doc} },
		Dispatcher:    NewDispatcher(s, time.Now),
		Claims:        m,
		Runner:        m,
		Hosts:         m,
		Relay:         NewRelay("north", "hop", m.live, m),
		HopToken:      "hop",
		Issuer:        NewIssuer(fmt.Sprint("e", n), 1),
		Metrics:       metrics,
		PauseDetector: common.NewPauseDetector(func() time.Time { return time.Now().Add(time.Hour) }),
	})
}

// verdictTargets are the targets of each entry host.
var verdictTargets = []TargetSpec{{Name: "a", Pool: "p", Slots: 4}, {Name: "b", Pool: "p", Slots: 4}}

// Address implements Hosts: now and then a target is removed, and returns with the next
// update.
func (m *verdictModel) Address(name string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.removed[name] && rapid.IntRange(0, 9).Draw(m.t, "left") == 0 {
		m.removed[name] = true
		time.AfterFunc(time.Millisecond, func() { m.returnTarget(name) })
	}
	return netip.MustParseAddrPort("127.0.0.1:1"), !m.removed[name]
}

// returnTarget brings the target back and updates the schedulers.
func (m *verdictModel) returnTarget(name string) {
	m.mu.Lock()
	delete(m.removed, name)
	m.mu.Unlock()
	for _, s := range m.servers {
		s.Dispatcher.Update(func(c *Scheduler) { c.SetTargets(verdictTargets) })
	}
}

// Claim implements Claims: its answer may be lost before or after the claim is recorded.
func (m *verdictModel) Claim(_ context.Context, id uuid.UUID) ClaimOutcome {
	m.interleave()
	fate := rapid.IntRange(0, 5).Draw(m.t, "claim")
	if fate == 0 {
		return ClaimUnknown
	}
	if m.claimed[id] {
		return ClaimTaken
	}
	m.claimed[id] = true
	if fate == 1 {
		return ClaimUnknown
	}
	return ClaimGranted
}

var errConnCut = errors.New("cut")

// Run implements Runner: the target is not reached, or it may run the request and loses
// the answer, or it answers with a failure or a success.
func (m *verdictModel) Run(_ context.Context, a netip.AddrPort, c Call) (*Reply, error) {
	m.interleave()
	if a == entryAddress {
		return m.relay(c)
	}
	switch rapid.IntRange(0, 5).Draw(m.t, "run") {
	case 0:
		return nil, &AttemptError{Cause: errConnCut}
	case 1:
		return nil, &AttemptError{Sent: true, Cause: errConnCut}
	case 2:
		m.runs[c.ID]++
		return nil, &AttemptError{Sent: true, Cause: errConnCut}
	case 3:
		m.runs[c.ID]++
		return &Reply{Status: http.StatusInternalServerError, Header: http.Header{}}, nil
	default:
		m.runs[c.ID]++
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Buffered: []byte(c.ID)}, nil
	}
}

// relay passes a call on to the second entry host, whose answer may be lost.
func (m *verdictModel) relay(c Call) (*Reply, error) {
	fate := rapid.IntRange(0, 4).Draw(m.t, "relay")
	if fate == 0 {
		return nil, &AttemptError{Cause: errConnCut}
	}
	r := httptest.NewRequest(c.Method, c.Path, bytes.NewReader(c.Body))
	r.Header = c.Header
	w := httptest.NewRecorder()
	m.servers[1].ServeHTTP(w, r)
	if fate == 1 {
		return nil, &AttemptError{Sent: true, Cause: errConnCut}
	}
	return &Reply{Status: w.Code, Header: w.Header(), Buffered: w.Body.Bytes()}, nil
}

// interleave sends another copy in the middle of a call.
func (m *verdictModel) interleave() {
	if m.depth < 2 && rapid.IntRange(0, 3).Draw(m.t, "meanwhile") == 0 {
		m.depth++
		m.send()
		m.depth--
	}
}

// send sends a new request or a copy through one of the entry hosts.
func (m *verdictModel) send() {
	id := ""
	m.peerDead = rapid.IntRange(0, 3).Draw(m.t, "gone") == 0
	once := rapid.Bool().Draw(m.t, "once")
	if len(m.ids) > 0 && rapid.Bool().Draw(m.t, "copy") {
		id = rapid.SampledFrom(m.ids).Draw(m.t, "id")
		once = m.atMostOnce[id]
	} else if once || rapid.Bool().Draw(m.t, "keyed") {
		id = uuid.Must(uuid.NewV7()).String()
		if once && rapid.Bool().Draw(m.t, "issued") {
			id = rapid.SampledFrom(m.servers).Draw(m.t, "issuer").Issuer.New().String()
		}
		m.ids = append(m.ids, id)
		m.atMostOnce[id] = once
	}
	path := "/s/free"
	if once {
		path = "/s/once"
	}
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
	if id != "" {
		r.Header.Set(common.HeaderIdempotencyKey, id)
	}
	w := httptest.NewRecorder()
	start := time.Now()
	defer func() {
		if d := time.Since(start); d > 10*time.Second {
			m.t.Fatalf("an answer took %s with slots free", d)
		}
	}()
	rapid.SampledFrom(m.servers).Draw(m.t, "entry").ServeHTTP(w, r)
	m.check(id, w)
}

// check checks the answer and records its verdict. A request that was sent without an id
// is identified by the one in its answer.
func (m *verdictModel) check(id string, w *httptest.ResponseRecorder) {
	v, err := common.ParseVerdict(w.Header().Get(common.HeaderVerdict))
	if err != nil {
		m.t.Fatalf("answer without a verdict: %v", err)
	}
	got := w.Header().Get(common.HeaderRequestID)
	if id == "" {
		id = got
	}
	if v, ok := ParseIssued(id); ok {
		m.atMostOnce[v.ID.String()] = true
		id = v.ID.String()
	}
	if id != "" {
		m.verdicts[id] = append(m.verdicts[id], v)
	}
	if v == common.Ran && m.runs[id] == 0 {
		m.t.Fatalf("%s got the verdict ran but did not run", id)
	}
	if w.Code == http.StatusOK && w.Body.String() != got {
		m.t.Fatalf("%s got the answer to %s", got, w.Body.String())
	}
	if w.Code >= http.StatusTooManyRequests && w.Code != http.StatusInternalServerError && w.Header().Get("Retry-After") == "" {
		m.t.Fatalf("status %d without Retry-After", w.Code)
	}
}

// end checks the recorded verdicts against the final counts of runs.
func (m *verdictModel) end() {
	for id, l := range m.verdicts {
		for _, v := range l {
			if v == common.NotRun && m.runs[id] > 0 {
				m.t.Fatalf("%s got the verdict not-run but ran", id)
			}
		}
		if m.atMostOnce[id] && m.runs[id] > 1 {
			m.t.Fatalf("%s ran %d times", id, m.runs[id])
		}
	}
}

// TestVerdictsAreTrue checks that "not run" is never said of a request that runs, before
// or after, through any entry host, and that a request that may not be repeated runs at
// most once.
func TestVerdictsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newVerdictModel(t)
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			m.send()
		}
		m.end()
	})
}

// TestUncleanPathsAreAnsweredWithAVerdict checks that a path with doubled slashes goes to
// its target unchanged, and is not redirected without a verdict.
func TestUncleanPathsAreAnsweredWithAVerdict(t *testing.T) {
	got := make(chan string, 1)
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.URL.Path }))
	defer target.Close()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/s/job//a/../b", strings.NewReader("body"))
	benchServer(t, netip.MustParseAddrPort(strings.TrimPrefix(target.URL, "http://"))).ServeHTTP(w, r)
	if w.Code != http.StatusOK || w.Header().Get(common.HeaderVerdict) != common.Ran.String() {
		t.Fatalf("status %d, verdict %q", w.Code, w.Header().Get(common.HeaderVerdict))
	}
	if p := <-got; p != "/s/job//a/../b" {
		t.Fatalf("the target got %s", p)
	}
}
