package config

import (
	"context"
	"encoding/json"

	"google.golang.org/grpc"

	"amberway/config/configpb"
)

// PeerServer serves the configuration in force to peers.
type PeerServer struct {
	configpb.UnimplementedConfigServer
	follower *Follower
}

// NewPeerServer returns a server of the follower's configuration in force.
func NewPeerServer(f *Follower) *PeerServer {
	return &PeerServer{follower: f}
}

// Register registers the service with a gRPC server.
func (p *PeerServer) Register(g *grpc.Server) {
	configpb.RegisterConfigServer(g, p)
}

// Head returns the head in force.
func (p *PeerServer) Head(context.Context, *configpb.HeadRequest) (*configpb.HeadReply, error) {
	b, err := json.Marshal(p.follower.Current().Head)
	return &configpb.HeadReply{Head: b}, err
}

// Sections returns those of the requested sections that are in force here.
func (p *PeerServer) Sections(_ context.Context, q *configpb.SectionsRequest) (*configpb.SectionsReply, error) {
	s := p.follower.Current()
	r := &configpb.SectionsReply{}
	for _, h := range q.GetHashes() {
		if b, ok := s.Blobs[Hash(h)]; ok {
			r.Sections = append(r.Sections, &configpb.Section{Hash: h, Content: b})
		}
	}
	return r, nil
}

// PeerSource is the Source that reads from a peer.
type PeerSource struct {
	client configpb.ConfigClient
}

// NewPeerSource returns a source that uses the connection to a peer.
func NewPeerSource(c grpc.ClientConnInterface) PeerSource {
	return PeerSource{client: configpb.NewConfigClient(c)}
}

// Head returns the head that is in force at the peer.
func (p PeerSource) Head(ctx context.Context) (*Head, error) {
	r, err := p.client.Head(ctx, &configpb.HeadRequest{})
	if err != nil {
		return nil, err
	}
	return DecodeHead(r.GetHead())
}

// Sections returns those of the sections that the peer has.
func (p PeerSource) Sections(ctx context.Context, l []Hash) (map[Hash][]byte, error) {
	q := &configpb.SectionsRequest{}
	for _, h := range l {
		q.Hashes = append(q.Hashes, string(h))
	}
	r, err := p.client.Sections(ctx, q)
	if err != nil {
		return nil, err
	}
	m := map[Hash][]byte{}
	for _, s := range r.GetSections() {
		m[Hash(s.GetHash())] = s.GetContent()
	}
	return m, nil
}
