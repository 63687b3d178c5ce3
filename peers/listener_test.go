package peers

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"amberway/peers/peerspb"
)

func TestMostSilentConnectionIsChosen(t *testing.T) {
	for want, l := range map[string]map[string]lastRead{
		"b": {"a": {at: 3}, "b": {at: 1}, "c": {at: 2}},
		"d": {"a": {authorized: true, at: 3}, "d": {authorized: true, at: 1}, "c": {authorized: true, at: 2}},
		"a": {"a": {at: 3}, "b": {authorized: true, at: 1}},
		"":  {},
	} {
		got, found := chooseClosed(maps.All(l))
		require.Equal(t, want, got)
		require.Equal(t, want != "", found)
	}
}

// TestSilentConnectionsDoNotCloseThoseOfPeers guards against clients without a token that end the calls of entry hosts.
func TestSilentConnectionsDoNotCloseThoseOfPeers(t *testing.T) {
	const most = 8
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := BoundConnections(l, most)
	bounded, ok := b.(*boundedListener)
	require.True(t, ok)
	g := NewServer("token")
	peerspb.RegisterPeersServer(g, &countedPeer{})
	go func() { _ = g.Serve(b) }()
	t.Cleanup(g.Stop)
	d := NewDialer("token")
	t.Cleanup(d.Close)
	at := netip.MustParseAddrPort(l.Addr().String())
	require.NoError(t, probe(t, d, at, 5*time.Second))
	bounded.mu.Lock()
	before := slices.Collect(maps.Keys(bounded.open))
	bounded.mu.Unlock()
	require.Len(t, before, 1)
	for range 4 * most {
		c, err := net.Dial("tcp", at.String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = c.Write([]byte("x"))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		bounded.mu.Lock()
		defer bounded.mu.Unlock()
		return len(bounded.open) == most
	}, 30*time.Second, time.Millisecond)
	bounded.mu.Lock()
	defer bounded.mu.Unlock()
	require.Contains(t, bounded.open, before[0])
}

// TestSilentConnectionsLeaveRoomForPeers guards against clients without a token whose connections
// take all descriptors.
func TestSilentConnectionsLeaveRoomForPeers(t *testing.T) {
	const most = 8
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := BoundConnections(l, most)
	g := NewServer("token")
	peerspb.RegisterPeersServer(g, &countedPeer{})
	go func() { _ = g.Serve(b) }()
	t.Cleanup(g.Stop)
	d := NewDialer("token")
	t.Cleanup(d.Close)
	at := netip.MustParseAddrPort(l.Addr().String())
	for range 4 * most {
		c, err := net.Dial("tcp", at.String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
	}
	require.NoError(t, probe(t, d, at, 5*time.Second))
	bounded, ok := b.(*boundedListener)
	require.True(t, ok)
	bounded.mu.Lock()
	defer bounded.mu.Unlock()
	require.LessOrEqual(t, len(bounded.open), most)
}

// TestCallWithoutTokenIsRefusedBeforeItsMessage guards against messages of clients without a token
// that take memory.
func TestCallWithoutTokenIsRefusedBeforeItsMessage(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := NewServer("token")
	peerspb.RegisterPeersServer(g, &countedPeer{})
	go func() { _ = g.Serve(l) }()
	t.Cleanup(g.Stop)
	c, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s, err := c.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true}, peerspb.Peers_Probe_FullMethodName)
	require.NoError(t, err)
	require.Equal(t, codes.Unauthenticated, status.Code(s.RecvMsg(&peerspb.ProbeReply{})))
}
