package job

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/internal/standin/fleet"
	"amberway/platform"
)

// Keys of the teams of keyedConfig, and one of no team.
const (
	keyA, keyB, keyShared = "key-of-paint", "key-of-tint", "key-of-both"
	unknown               = "key-of-nobody"
)

// keyedConfig returns testConfig with teams and a public queue.
func keyedConfig(version int64) *platform.Config {
	d := testConfig()
	d.Version = version
	d.Queues = append(d.Queues, platform.Queue{Name: "open", Host: "h", Prefix: "/o/", Service: "blue", Public: true})
	d.Teams = []platform.Team{
		{Name: "paint", Keys: []platform.KeyHash{platform.HashKey(keyA), platform.HashKey(keyShared)}},
		{Name: "tint", Keys: []platform.KeyHash{platform.HashKey(keyB), platform.HashKey(keyShared)}},
		{Name: "keyless"},
	}
	return d
}

func newKeyedNode(t *testing.T) *Node {
	n := newTestNode(t, newStoreFixture(t))
	n.authorizer = authorizer{required: true, keysWithin: 5 * time.Second, newKeysWithin: 3 * time.Second}
	n.routes.Store(newRoutes(keyedConfig(1)))
	n.configCurrentAt.Set(time.Now())
	return n
}

// callWith serves a caller's request with the key, or without one if it is "".
func callWith(n *Node, method, path, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://h"+path, strings.NewReader(`{"spec":"s","steps":[{"count":1,"cpu":100}]}`))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	n.Callers().ServeHTTP(w, r)
	return w
}

// Every call was accepted, whatever its key: 21 of 2,592 jobs of a quiet day were run with
// keys of no team, and revoked keys worked forever.
func TestCallsNeedAKeyOfATeam(t *testing.T) {
	n := newKeyedNode(t)
	go n.intake.run(t.Context())
	for _, path := range []string{"/q/" + idA, "/q/"} {
		for _, m := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			for _, key := range []string{"", unknown, keyA + "x", strings.ToUpper(keyA)} {
				w := callWith(n, m, path, key)
				require.Equal(t, http.StatusUnauthorized, w.Code, "%s %s with %q", m, path, key)
				require.Equal(t, "Bearer", w.Header().Get("WWW-Authenticate"))
				require.Equal(t, "not-run", w.Header().Get(common.HeaderVerdict))
			}
		}
	}
	_, err := n.KV.Get(t.Context(), recordKey(idA))
	require.ErrorIs(t, err, platform.ErrNotFound, "nothing is written")
	require.Equal(t, http.StatusOK, callWith(n, http.MethodPost, "/q/"+idA, keyB).Code)
	require.Equal(t, "tint", recordOf(t, n, idA).Team)
	require.Equal(t, http.StatusOK, callWith(n, http.MethodGet, "/q/"+idA, keyA).Code)
	require.Equal(t, http.StatusOK, callWith(n, http.MethodPost, "/o/"+idB, "").Code, "the queue is public")
	require.Empty(t, recordOf(t, n, idB).Team)
	require.Equal(t, http.StatusOK, callWith(n, http.MethodPost, "/o/00000000000000cc", unknown).Code)
}

// A key that is listed for two teams belongs to the first of them.
func TestKeyOfTwoTeamsIsThatOfTheFirst(t *testing.T) {
	n := newKeyedNode(t)
	go n.intake.run(t.Context())
	require.Equal(t, http.StatusOK, callWith(n, http.MethodPost, "/q/"+idA, keyShared).Code)
	require.Equal(t, "paint", recordOf(t, n, idA).Team)
}

func recordOf(t *testing.T, n *Node, id ID) Record {
	e, err := n.KV.Get(t.Context(), recordKey(id))
	require.NoError(t, err)
	_, r, err := decodeRecord(e)
	require.NoError(t, err)
	return r
}

// Without teams in the configuration callers need no keys, unless the settings require them:
// then nobody has access.
func TestCallersNeedNoKeysWhereThereAreNoTeams(t *testing.T) {
	n := newKeyedNode(t)
	n.routes.Store(newRoutes(testConfig()))
	require.Equal(t, http.StatusUnauthorized, callWith(n, http.MethodGet, "/q/", keyA).Code)
	n.authorizer = authorizer{newKeysWithin: 2 * time.Second}
	require.NotEqual(t, http.StatusUnauthorized, callWith(n, http.MethodGet, "/q/", "").Code)
	d := testConfig()
	d.Teams = []platform.Team{}
	n.routes.Store(newRoutes(d))
	require.Equal(t, http.StatusUnauthorized, callWith(n, http.MethodGet, "/q/", keyA).Code, "the list of teams is there but empty")
}

// A host whose configuration may be outdated does not know which keys are revoked or new. It
// answers 503, so that callers try another host, instead of rejecting a key that may be new.
func TestHostWithStaleKeysRefusesCallers(t *testing.T) {
	n := newKeyedNode(t)
	statusAt := func(age time.Duration) (known, unknownCode int) {
		n.configCurrentAt.Set(time.Now().Add(-age))
		return callWith(n, http.MethodGet, "/q/"+idA, keyA).Code, callWith(n, http.MethodGet, "/q/"+idA, unknown).Code
	}
	known, other := statusAt(2 * time.Second)
	require.Equal(t, http.StatusGone, known)
	require.Equal(t, http.StatusUnauthorized, other)
	known, other = statusAt(3 * time.Second)
	require.Equal(t, http.StatusGone, known, "a revoked key may be accepted for five seconds")
	require.Equal(t, http.StatusServiceUnavailable, other, "the key may be new")
	known, other = statusAt(4500 * time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, known, "the key may have been revoked")
	require.Equal(t, http.StatusServiceUnavailable, other)
}

// putTeamKeys stores a configuration with one team and its keys.
func putTeamKeys(t *testing.T, s storeFixture, version int64, keys ...string) {
	require.NoError(t, s.Put(platform.ConfigKey, fleet.Config{
		Version: version,
		Pools:   []string{"blue"},
		Queues:  []fleet.Queue{{Name: "quick", Pool: "blue"}},
		Teams:   []fleet.Team{{Name: "paint", Keys: keys, Weight: 1}},
	}.Document("spare")))
}

// isolatedHost is an entry host that the store refuses to serve, beside an owner that it
// serves.
type isolatedHost struct {
	*Node
	store storeFixture
	owner *Node
}

func newIsolatedHost(t *testing.T) isolatedHost {
	s := newStoreFixture(t)
	putTeamKeys(t, s, 3, keyA)
	owner := newTestNode(t, s)
	go owner.followOperator(t.Context())
	h := httptest.NewServer(owner.Peers())
	t.Cleanup(h.Close)
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	t.Cleanup(refusing.Close)
	kv := platform.NewKV(netip.MustParseAddrPort(strings.TrimPrefix(refusing.URL, "http://")), &platform.Calls{})
	n := newTestNode(t, storeFixture{kv: kv})
	n.authorizer = authorizer{required: true, keysWithin: 5 * time.Second, newKeysWithin: 3 * time.Second}
	n.settings.Name = "turned-away"
	n.election.setOwner(Owner{Name: "owner", Peer: netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://")), Fence: 7})
	go n.followOperator(t.Context())
	go n.followOwnerConfig(t.Context())
	return isolatedHost{Node: n, store: s, owner: owner}
}

// decision returns the host's present decision about a key.
func (n isolatedHost) decision(key string) access {
	r := n.routes.Load()
	if r == nil {
		return notCurrent
	}
	h := http.Header{"Authorization": {"Bearer " + key}}
	_, e := n.authorizer.authorize(r, r.config.Queues[0], h, n.configCurrentAt.Get(), time.Now())
	return e
}

// The store refused to serve single hosts for nine seconds while keys changed. These hosts went
// on accepting revoked keys and refused new ones. Such a host has to get the configuration from
// the owner instead.
func TestHostWithoutStoreGetsKeysFromTheOwner(t *testing.T) {
	n := newIsolatedHost(t)
	const within = 3 * time.Second
	require.Eventually(t, func() bool { return n.decision(keyA) == granted && n.decision(keyB) == unknownKey }, within, 20*time.Millisecond)
	putTeamKeys(t, n.store, 9, keyB)
	require.Eventually(t, func() bool { return n.decision(keyA) == unknownKey && n.decision(keyB) == granted }, within, 20*time.Millisecond)
	require.Less(t, time.Since(n.configCurrentAt.Get()), within, "the host knows that its configuration is current")
}

// The configuration from another host is as old as that host's last confirmation by the
// store. A host without any confirmation provides none.
func TestConfigurationOfAnotherHostKeepsItsAge(t *testing.T) {
	n := newKeyedNode(t)
	n.routes.Load().raw = []byte("text")
	n.configCurrentAt.Set(time.Now().Add(-4 * time.Second))
	h := httptest.NewServer(n.Peers())
	t.Cleanup(h.Close)
	o := Owner{Name: "another", Peer: netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://"))}
	p := newPeers()
	c, err := p.config(t.Context(), o, 0, time.Now)
	require.NoError(t, err)
	require.Equal(t, "text", string(c.raw))
	require.WithinDuration(t, time.Now().Add(-4*time.Second), c.currentAt, time.Second)
	require.False(t, c.currentAt.After(n.configCurrentAt.Get()), "never newer than at the host it comes from")
	c, err = p.config(t.Context(), o, 1, time.Now)
	require.NoError(t, err)
	require.Nil(t, c.raw, "the asking host has this version")
	n.configCurrentAt = common.Instant{}
	_, err = p.config(t.Context(), o, 0, time.Now)
	require.ErrorIs(t, err, errNoConfig)
}

// Keys appear in log lines as short hashes only.
func TestKeysAreNotLogged(t *testing.T) {
	key, given := platform.CallerKey(http.Header{"Authorization": {"bearer  " + unknown}})
	require.True(t, given)
	b, err := json.Marshal([]any{key.String(), fmt.Sprint(key), fmt.Sprintf("%v", platform.Team{Keys: []platform.KeyHash{key}})})
	require.NoError(t, err)
	require.NotContains(t, string(b), unknown)
	require.Len(t, key.String(), 8)
}

// BenchmarkKeys measures the authorization of one call: hashing its key and finding the
// team. It takes the same time with 20 keys and with 10,000.
func BenchmarkKeys(b *testing.B) {
	for _, n := range []int{20, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := keyedConfig(1)
			for i := range n {
				d.Teams = append(d.Teams, platform.Team{Name: fmt.Sprint("team-", i/2), Keys: []platform.KeyHash{platform.HashKey(fmt.Sprint("key-", i))}})
			}
			r := newRoutes(d)
			a := authorizer{required: true, keysWithin: 5 * time.Second, newKeysWithin: 3 * time.Second}
			h := http.Header{"Authorization": {"Bearer key-7"}}
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				if _, e := a.authorize(r, d.Queues[0], h, now, now); e != granted {
					b.Fatal("a key in force is rejected")
				}
			}
		})
	}
}
