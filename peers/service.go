package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"amberway/common"
	"amberway/peers/peerspb"
	"amberway/platform"
)

// probeTimeout bounds one attempt at a probe. A call has twice that time, for a second
// attempt on a new connection, or for the probe that a helper makes.
const probeTimeout = 400 * time.Millisecond

// Intervals of the search for entry hosts that the process does not know.
const (
	// discoverInterval is the time between two rounds of the search, without jitter. A
	// process that knows no other probes all addresses in every round.
	discoverInterval = 2 * time.Second
	// seedRounds is the number of rounds between two probes of a seed, for a process that
	// knows others.
	seedRounds = 4
	// registryRounds is the number of rounds between two reads of the addresses in the
	// platform's store, for a process that knows others.
	registryRounds = 20
)

// Settings are the settings of a Service.
type Settings struct {
	Self Member
	// Seeds are the configured addresses of peers.
	Seeds   []netip.AddrPort
	Options Options
	// Generation returns the generation of the configuration in force, which is sent with
	// each probe.
	Generation func() int64
	// OnGeneration is called when a peer has a higher generation.
	OnGeneration func(ctx context.Context, m Member)
}

// Service runs the membership protocol of one process.
type Service struct {
	peerspb.UnimplementedPeersServer
	Settings
	dialer *Dialer
	store  platform.Store
	log    common.Log
	now    func() time.Time
	mu     sync.Mutex
	table  *Table
	live   atomic.Pointer[[]Member]
	// ProbesSent counts the probes sent.
	ProbesSent atomic.Int64
	// contacted holds the incarnations of the members that have answered, by name.
	contacted map[string]uint64
	// unseenReads counts, for each address in the platform's store, the consecutive reads
	// that found no live member with it. Only discover uses it.
	unseenReads map[string]int
	// fetching is set while a newer generation is fetched, which is done one at a time.
	fetching atomic.Bool
}

// New returns a Service that is not running yet.
func New(d common.Deps, s Settings, l *Dialer, store platform.Store) *Service {
	r := rand.New(rand.NewPCG(rand.Uint64(), s.Self.Incarnation))
	v := &Service{
		Settings:    s,
		dialer:      l,
		store:       store,
		log:         d.Log("peers"),
		now:         d.Now,
		contacted:   map[string]uint64{},
		unseenReads: map[string]int{},
		table:       NewTable(s.Self, s.Options, r),
	}
	v.publish()
	return v
}

// Live returns the members that are alive or only suspected, including this process.
func (s *Service) Live() []Member {
	return *s.live.Load()
}

// LiveNames returns the names of the live members of a data centre, or of all if dc is
// empty.
func (s *Service) LiveNames(dc string) []string {
	var l []string
	for _, m := range s.Live() {
		if dc == "" || m.DataCentre == dc {
			l = append(l, m.Name)
		}
	}
	return l
}

// Member returns the live member with the name, or false.
func (s *Service) Member(name string) (Member, bool) {
	for _, m := range s.Live() {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// Members returns every row of the table.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members()
}

// publish makes the live members readable without a lock. The caller holds mu, or is New.
func (s *Service) publish() {
	l := s.table.Live()
	s.live.Store(&l)
}

// Run probes one peer per period until the context ends.
func (s *Service) Run(ctx context.Context) {
	go s.register(ctx)
	go s.discover(ctx)
	t := time.NewTicker(s.Options.Period)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if n%listenerCheckPeriods == 0 {
			s.checkListeners(ctx)
		}
		if m, ok := s.tick(); ok {
			go s.probe(ctx, m)
		}
	}
}

func (s *Service) tick() (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.publish()
	return s.table.Tick(s.now())
}

// probe probes the member directly, then through helpers, and suspects it if none of them
// gets an answer.
func (s *Service) probe(ctx context.Context, m Member) {
	if s.sendProbe(ctx, m, &peerspb.ProbeRequest{}) {
		return
	}
	s.mu.Lock()
	h := s.table.Helpers(m.Name)
	s.mu.Unlock()
	answers := make(chan bool, len(h))
	for _, v := range h {
		go func() { answers <- s.sendProbe(ctx, v, &peerspb.ProbeRequest{Via: m.Name}) }()
	}
	for range h {
		if <-answers {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Suspect(s.now(), m)
	s.publish()
}

// sendProbe sends one probe and merges the reply. It reports whether the probed member is
// alive: m, or the one that Via names. For a seed, m has an address only.
func (s *Service) sendProbe(ctx context.Context, m Member, q *peerspb.ProbeRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	c, err := s.dialer.Conn(m.Peer)
	if err != nil {
		return false
	}
	s.fillRequest(q, m.Name)
	s.ProbesSent.Add(1)
	r, err := peerspb.NewPeersClient(c).Probe(ctx, q)
	if err != nil {
		return false
	}
	s.mergeNews(ctx, r.GetFrom(), r.GetNews(), r.GetGeneration())
	s.mu.Lock()
	s.contacted[r.GetFrom().GetName()] = r.GetFrom().GetIncarnation()
	s.mu.Unlock()
	return q.GetVia() == "" || r.GetAlive()
}

// fillRequest adds what every probe to the named member carries.
func (s *Service) fillRequest(q *peerspb.ProbeRequest, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.From = s.table.Self().proto()
	q.News = protos(s.table.NewsFor(to))
	q.Generation = s.Generation()
}

// mergeNews merges the news that a peer sent, and fetches its generation if that is
// newer.
func (s *Service) mergeNews(ctx context.Context, from *peerspb.Member, news []*peerspb.Member, gen int64) {
	var l []Member
	for _, p := range append(news, from) {
		m, err := memberOf(p)
		if err != nil {
			s.log.Warnf("invalid member ignored: %v", err)
			continue
		}
		l = append(l, m)
	}
	s.mu.Lock()
	if s.table.Merge(s.now(), l) {
		s.publish()
	}
	s.mu.Unlock()
	m, err := memberOf(from)
	if err == nil && gen > s.Generation() {
		s.fetchGeneration(context.WithoutCancel(ctx), m)
	}
}

// fetchGeneration calls OnGeneration in the background, one call at a time.
func (s *Service) fetchGeneration(ctx context.Context, m Member) {
	if !s.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.fetching.Store(false)
		s.OnGeneration(ctx, m)
	}()
}

// Probe answers a peer's probe, after probing another member for it if it names one.
func (s *Service) Probe(ctx context.Context, q *peerspb.ProbeRequest) (*peerspb.ProbeReply, error) {
	s.mergeNews(ctx, q.GetFrom(), q.GetNews(), q.GetGeneration())
	r := &peerspb.ProbeReply{Generation: s.Generation()}
	if q.GetVia() != "" {
		r.Alive = s.probeFor(ctx, q.GetVia())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.From = s.table.Self().proto()
	r.News = protos(s.table.NewsFor(q.GetFrom().GetName()))
	if q.GetFull() {
		r.News = protos(s.table.Members())
	}
	return r, nil
}

func (s *Service) probeFor(ctx context.Context, name string) bool {
	m, ok := s.Member(name)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.sendProbe(ctx, m, &peerspb.ProbeRequest{})
}

// Leave tells the peers that the process stops, and removes its address from the store.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.table.Leave()
	s.mu.Unlock()
	var g sync.WaitGroup
	for _, m := range s.Live() {
		if m.Name != s.Self.Name {
			g.Go(func() { s.sendProbe(ctx, m, &peerspb.ProbeRequest{}) })
		}
	}
	g.Wait()
	s.unregister(ctx)
}

// Register registers the service on a gRPC server.
func (s *Service) Register(g *grpc.Server) {
	peerspb.RegisterPeersServer(g, s)
}

func protos(l []Member) []*peerspb.Member {
	out := make([]*peerspb.Member, 0, len(l))
	for _, m := range l {
		out = append(out, m.proto())
	}
	return out
}
