package peers

import (
	"context"
	"sync"

	"amberway/peers/peerspb"
)

// Generations asks every live member which generation of the configuration it has in
// force. Members that do not answer are left out.
func (s *Service) Generations(ctx context.Context) map[string]int64 {
	out := map[string]int64{s.Self.Name: s.Generation()}
	var mu sync.Mutex
	var g sync.WaitGroup
	for _, m := range s.Live() {
		if m.Name == s.Self.Name {
			continue
		}
		g.Go(func() {
			n, err := s.queryGeneration(ctx, m)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[m.Name] = n
		})
	}
	g.Wait()
	return out
}

func (s *Service) queryGeneration(ctx context.Context, m Member) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	c, err := s.dialer.Conn(m.Peer)
	if err != nil {
		return 0, err
	}
	q := &peerspb.ProbeRequest{}
	s.fillRequest(q, m.Name)
	r, err := peerspb.NewPeersClient(c).Probe(ctx, q)
	return r.GetGeneration(), err
}
