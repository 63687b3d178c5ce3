package peers

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/internal/standin"
)

// TestAddressesOfGoneProcessesAreRemoved checks that an address that belongs to no live
// member is removed after some reads, and that a process writes its own address again if
// it is missing.
func TestAddressesOfGoneProcessesAreRemoved(t *testing.T) {
	m := standin.NewFaultyStore()
	d := NewDialer("token")
	defer d.Close()
	s := New(common.NopDeps(), Settings{
		Self: Member{Name: "here"}, Options: DefaultOptions(), Generation: func() int64 { return 0 },
	}, d, m)
	b, err := json.Marshal(Member{Name: "gone"})
	require.NoError(t, err)
	_, err = m.Swap(context.Background(), MemberPrefix+"gone", b, 0)
	require.NoError(t, err)
	for range pruneAfterReads - 1 {
		s.registeredAddresses(t.Context())
	}
	require.Equal(t, []string{"members/gone", "members/here"}, memberKeys(t, m))
	s.registeredAddresses(t.Context())
	require.Equal(t, []string{"members/here"}, memberKeys(t, m))
}

func memberKeys(t *testing.T, m *standin.FaultyStore) []string {
	t.Helper()
	l, _, err := m.List(context.Background(), MemberPrefix)
	require.NoError(t, err)
	var out []string
	for _, e := range l {
		out = append(out, e.Key)
	}
	return out
}
