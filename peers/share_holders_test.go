package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/internal/standin"
)

func newMember(name string, peer uint16, dc string, s State) Member {
	a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), peer)
	return Member{Name: name, Incarnation: 1, State: s, DataCentre: dc, Peer: a, Caller: a}
}

// TestSilentMemberHoldsItsShare checks among whom shared limits are divided: a member
// that is only silent counts, one that has left, ended or been replaced does not.
func TestSilentMemberHoldsItsShare(t *testing.T) {
	now := time.Unix(1e9, 0)
	self := newMember("a", 1, "north", Alive)
	b := NewTable(self, DefaultOptions(), rand.New(rand.NewPCG(1, 2)))
	merge := func(m Member) {
		alive := m
		alive.State = Alive
		b.Merge(now, []Member{alive, m})
	}
	merge(newMember("b", 2, "north", Alive))
	merge(newMember("c", 3, "north", Suspect))
	merge(newMember("d", 4, "north", Dead))
	merge(newMember("e", 5, "north", Left))
	merge(newMember("f", 6, "south", Alive))
	require.Equal(t, []string{"a", "b", "c", "d"}, b.ShareHolders("north"))
	require.Equal(t, []Member{newMember("d", 4, "north", Dead)}, b.Silent("north"))

	b.MarkEnded(newMember("d", 4, "north", Dead))
	require.Equal(t, []string{"a", "b", "c"}, b.ShareHolders("north"))
	require.Empty(t, b.Silent("north"))

	again := newMember("d", 4, "north", Dead)
	again.Incarnation = 2
	merge(again)
	require.Equal(t, []string{"a", "b", "c", "d"}, b.ShareHolders("north"), "a later process of the same name counts again")
	b.MarkEnded(newMember("d", 4, "north", Dead))
	require.Equal(t, []string{"a", "b", "c", "d"}, b.ShareHolders("north"), "the end of the process before it changes nothing")

	merge(newMember("g", 4, "north", Alive))
	require.Equal(t, []string{"a", "b", "c", "g"}, b.ShareHolders("north"), "another process has its address")

	for range 3 {
		now = now.Add(DefaultOptions().ForgetAfter)
		b.Tick(now)
	}
	require.NotContains(t, b.ShareHolders("north"), "d")
}

// TestOnlyARefusedConnectionShowsThatAProcessHasEnded checks the listener of a silent
// member while it is open but accepts nothing, as that of a paused process, and once it
// is closed.
func TestOnlyARefusedConnectionShowsThatAProcessHasEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := newMember("b", 0, "north", Alive)
	m.Peer = netip.MustParseAddrPort(l.Addr().String())
	d := NewDialer("token")
	defer d.Close()
	s := New(common.NopDeps(), Settings{Self: newMember("a", 1, "north", Alive), Options: DefaultOptions()}, d, standin.NewFaultyStore())
	s.table.Merge(time.Now(), []Member{m})
	m.State = Dead
	s.table.Merge(time.Now(), []Member{m})
	s.checkListener(context.Background(), m)
	require.Equal(t, []string{"a", "b"}, s.ShareHolders("north"))
	require.NoError(t, l.Close())
	s.checkListener(context.Background(), m)
	require.Equal(t, []string{"a"}, s.ShareHolders("north"))
}

// TestMemberIsContactedOnceItAnswers checks that a member counts as contacted once it has
// answered, and that a later process of its name does not.
func TestMemberIsContactedOnceItAnswers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	other := newMember("b", 0, "north", Alive)
	other.Peer = netip.MustParseAddrPort(l.Addr().String())
	d := NewDialer("token")
	defer d.Close()
	service := func(m Member) *Service {
		return New(common.NopDeps(), Settings{Self: m, Options: DefaultOptions(), Generation: func() int64 { return 0 }}, d, standin.NewFaultyStore())
	}
	g := NewServer("token")
	b := service(other)
	b.Register(g)
	go func() { _ = g.Serve(l) }()
	defer g.Stop()

	a := service(newMember("a", 1, "north", Alive))
	require.True(t, a.ContactedAll("north"), "there is no other member")
	a.table.Merge(time.Now(), []Member{other})
	a.publish()
	require.False(t, a.ContactedAll("north"))
	require.True(t, a.ContactedAll("south"))
	a.PullTables(t.Context())
	require.True(t, a.ContactedAll("north"))
	require.Contains(t, b.ShareHolders("north"), "a", "a member that has answered knows of this process")

	other.Incarnation++
	a.table.Merge(time.Now(), []Member{other})
	require.False(t, a.ContactedAll("north"))
}
