package peers

import (
	"cmp"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"amberway/peers/peerspb"
)

// State is a member's state. A higher state supersedes a lower one of the same version.
type State uint32

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
	// Left is the state of a member that announced that it stops.
	Left
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText reads the state's name.
func (s *State) UnmarshalText(b []byte) error {
	for i, n := range stateNames {
		if n == string(b) {
			*s = State(i)
			return nil
		}
	}
	return merry.Errorf("peers: unknown member state %q", b)
}

// Member is one entry host.
type Member struct {
	// Name is the host's name from its settings.
	Name string `json:"name"`
	// Incarnation distinguishes the starts of a process; a later one is higher.
	Incarnation uint64 `json:"incarnation"`
	// Peer is the address of its listener for peers.
	Peer netip.AddrPort `json:"peer"`
	// Caller is the address of its listener for callers.
	Caller netip.AddrPort `json:"caller"`
	// DataCentre is where it runs.
	DataCentre string `json:"data_centre"`
	// Version is raised by the member itself to refute a suspicion.
	Version uint64 `json:"version"`
	State   State  `json:"state"`
}

// Supersedes reports whether m is newer than o, a member of the same name: it has the
// later incarnation, then the later version, then the higher state.
func (m Member) Supersedes(o Member) bool {
	if c := cmp.Compare(m.Incarnation, o.Incarnation); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(m.Version, o.Version); c != 0 {
		return c > 0
	}
	return m.State > o.State
}

func (m Member) proto() *peerspb.Member {
	return &peerspb.Member{
		Name:          m.Name,
		Incarnation:   m.Incarnation,
		PeerAddress:   m.Peer.String(),
		CallerAddress: m.Caller.String(),
		DataCentre:    m.DataCentre,
		Version:       m.Version,
		State:         uint32(m.State),
	}
}

func memberOf(p *peerspb.Member) (Member, error) {
	a, err := netip.ParseAddrPort(p.GetPeerAddress())
	if err != nil {
		return Member{}, merry.Prepend(err, "peers: member "+p.GetName())
	}
	c, err := netip.ParseAddrPort(p.GetCallerAddress())
	if err != nil {
		return Member{}, merry.Prepend(err, "peers: member "+p.GetName())
	}
	return Member{
		Name:        p.GetName(),
		Incarnation: p.GetIncarnation(),
		Peer:        a,
		Caller:      c,
		DataCentre:  p.GetDataCentre(),
		Version:     p.GetVersion(),
		State:       State(p.GetState()),
	}, nil
}
