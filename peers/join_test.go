package peers

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/internal/standin"
)

// TestAddressesOfGoneProcessesAreRemoved shows that an address of no live member
// goes after some reads, and that a process writes its own again if it is gone.
func TestAddressesOfGoneProcessesAreRemoved(t *testing.T) {
	m := standin.NewMemory()
	d := NewDialer("token")
	defer d.Close()
	s := New(common.Quiet(), Settings{
		Self: Member{Name: "here"}, Options: DefaultOptions(), Generation: func() int64 { return 0 },
	}, d, m)
	b, err := json.Marshal(Member{Name: "gone"})
	require.NoError(t, err)
	_, err = m.Swap(context.Background(), MemberPrefix+"gone", b, 0)
	require.NoError(t, err)
	for range pruneAfter - 1 {
		s.registered(t.Context())
	}
	require.Equal(t, []string{"members/gone", "members/here"}, keys(t, m))
	s.registered(t.Context())
	require.Equal(t, []string{"members/here"}, keys(t, m))
}

func keys(t *testing.T, m *standin.Memory) []string {
	t.Helper()
	l, _, err := m.List(context.Background(), MemberPrefix)
	require.NoError(t, err)
	var out []string
	for _, e := range l {
		out = append(out, e.Key)
	}
	return out
}
