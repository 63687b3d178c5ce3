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

// IdleChecker tells what the process itself runs.
type IdleChecker interface {
	// Idle reports whether nothing runs on the host and nothing new can.
	Idle(host string) bool
}

// PeerServer answers coordinators and processes that cannot reach the platform.
type PeerServer struct {
	fleetpb.UnimplementedFleetServer
	dc          string
	view        *View
	idleChecker IdleChecker
}

// NewPeerServer returns the answers of a process in the data centre.
func NewPeerServer(dc string, v *View, r IdleChecker) *PeerServer {
	return &PeerServer{dc: dc, view: v, idleChecker: r}
}

// Register offers the service on a server.
func (p *PeerServer) Register(g *grpc.Server) {
	fleetpb.RegisterFleetServer(g, p)
}

// Idle tells which of the hosts are idle here in the term that is asked about.
func (p *PeerServer) Idle(_ context.Context, q *fleetpb.IdleRequest) (*fleetpb.IdleReply, error) {
	r := &fleetpb.IdleReply{}
	for _, h := range q.GetHosts() {
		if p.isIdle(q.GetDataCentre(), h) {
			r.Idle = append(r.Idle, h.GetHost())
		}
	}
	return r, nil
}

func (p *PeerServer) isIdle(dc string, h *fleetpb.HostTerm) bool {
	w := p.view.Current().Record.Hosts[h.GetHost()]
	if dc != p.dc || w.Term < h.GetTerm() {
		return false
	}
	return p.idleChecker.Idle(h.GetHost())
}

// View returns the record and the list that are known here.
func (p *PeerServer) View(_ context.Context, q *fleetpb.ViewRequest) (*fleetpb.ViewReply, error) {
	if q.GetDataCentre() != p.dc {
		return &fleetpb.ViewReply{}, nil
	}
	r, h, err := p.view.Current().encode(q.GetVersion())
	return &fleetpb.ViewReply{Record: r, Hosts: h}, err
}

// peerCallTimeout bounds one question to a peer.
const peerCallTimeout = time.Second

// askIdle asks one member which of the hosts are idle there.
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

// FetchView takes the record and the list of a peer in the same data centre
// into the view.
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
