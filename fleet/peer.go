package fleet

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"

	"amberway/fleet/fleetpb"
	"amberway/peers"
	"amberway/platform"
)

// IdleChecker knows the requests that this process runs.
type IdleChecker interface {
	// Idle reports whether nothing runs on the host and nothing new can start.
	Idle(host string) bool
}

// PeerServer answers coordinators that ask for idle hosts, and processes that cannot
// reach the platform and ask for the record and the host list.
type PeerServer struct {
	fleetpb.UnimplementedFleetServer
	dc          string
	view        *View
	idleChecker IdleChecker
}

// NewPeerServer returns the server of a process in the data centre.
func NewPeerServer(dc string, v *View, r IdleChecker) *PeerServer {
	return &PeerServer{dc: dc, view: v, idleChecker: r}
}

// Register registers the service with a gRPC server.
func (p *PeerServer) Register(g *grpc.Server) {
	fleetpb.RegisterFleetServer(g, p)
}

// Idle returns those of the hosts that are idle here in the requested term.
func (p *PeerServer) Idle(_ context.Context, q *fleetpb.IdleRequest) (*fleetpb.IdleReply, error) {
	r := &fleetpb.IdleReply{}
	for _, h := range q.GetHosts() {
		if p.isIdle(q.GetDataCentre(), h) {
			r.Idle = append(r.Idle, h.GetHost())
		}
	}
	return r, nil
}

// isIdle returns false if the record known here is older than the term: requests may
// still be started on the host then.
func (p *PeerServer) isIdle(dc string, h *fleetpb.HostTerm) bool {
	w := p.view.Current().Record.Hosts[h.GetHost()]
	if dc != p.dc || w.Term < h.GetTerm() {
		return false
	}
	return p.idleChecker.Idle(h.GetHost())
}

// View returns the record and the host list known here.
func (p *PeerServer) View(_ context.Context, q *fleetpb.ViewRequest) (*fleetpb.ViewReply, error) {
	if q.GetDataCentre() != p.dc {
		return &fleetpb.ViewReply{}, nil
	}
	r, h, err := p.view.Current().encode(q.GetVersion())
	return &fleetpb.ViewReply{Record: r, Hosts: h}, err
}

// peerCallTimeout bounds one call to a peer.
const peerCallTimeout = time.Second

// askIdle asks one member which of the hosts are idle there, each in its term.
func askIdle(ctx context.Context, l *peers.Dialer, m peers.Member, dc string, terms map[string]int64) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	c, err := l.Conn(m.Peer)
	if err != nil {
		return nil, err
	}
	q := &fleetpb.IdleRequest{DataCentre: dc}
	for h, t := range terms {
		q.Hosts = append(q.Hosts, &fleetpb.HostTerm{Host: h, Term: t})
	}
	r, err := fleetpb.NewFleetClient(c).Idle(ctx, q)
	if err != nil {
		return nil, err
	}
	idle := map[string]bool{}
	for _, h := range r.GetIdle() {
		idle[h] = true
	}
	return idle, nil
}

// FetchView updates the view with the record and the host list of a peer in the same
// data centre.
func FetchView(ctx context.Context, c grpc.ClientConnInterface, v *View) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	cur := v.Current()
	r, err := fleetpb.NewFleetClient(c).View(ctx, &fleetpb.ViewRequest{DataCentre: v.dc, Version: cur.Record.Version})
	if err != nil {
		return err
	}
	if b := r.GetRecord(); len(b) > 0 {
		n, err := DecodeRecord(b)
		if err != nil {
			return err
		}
		v.OfferRecord(n, 0)
	}
	if b := r.GetHosts(); len(b) > 0 {
		var l platform.HostList
		if err := json.Unmarshal(b, &l); err != nil {
			return err
		}
		v.OfferList(l)
	}
	return nil
}
