package peers

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"

	"amberway/common"
	"amberway/peers/peerspb"
	"amberway/platform"
)

// register writes the process's address to the platform's store. It retries until that
// succeeds.
func (s *Service) register(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.writeAddress(ctx); err == nil {
			return
		}
		common.Sleep(ctx, discoverInterval+rand.N(discoverInterval))
	}
}

func (s *Service) writeAddress(ctx context.Context) error {
	b, err := json.Marshal(s.Self)
	if err != nil {
		return err
	}
	e, err := s.store.Get(ctx, MemberPrefix+s.Self.Name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = s.store.Swap(ctx, MemberPrefix+s.Self.Name, b, e.Revision)
	return err
}

// unregister removes what register wrote, unless a later incarnation has written since.
func (s *Service) unregister(ctx context.Context) {
	e, err := s.store.Get(ctx, MemberPrefix+s.Self.Name)
	if err != nil {
		return
	}
	var m Member
	if json.Unmarshal(e.Value, &m) != nil || m.Incarnation != s.Self.Incarnation {
		return
	}
	_ = s.store.Delete(ctx, e.Key, e.Revision)
}

// discover looks for entry hosts that the process does not know: in every round while it
// knows no other, and less often afterwards, as two groups that started apart from each
// other would otherwise never merge.
func (s *Service) discover(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		alone := len(s.Live()) < 2
		if alone || n%seedRounds == 0 {
			s.probeUnknown(ctx, s.Seeds, alone)
		}
		if n%registryRounds == registryRounds/2 {
			s.closeUnusedConns()
		}
		if alone || n%registryRounds == 0 {
			s.probeUnknown(ctx, s.registeredAddresses(ctx), alone)
		}
		common.Sleep(ctx, discoverInterval+rand.N(discoverInterval/2))
	}
}

// closeUnusedConns closes the connections to addresses that no member or seed has.
func (s *Service) closeUnusedConns() {
	keep := map[netip.AddrPort]bool{}
	for _, a := range s.Seeds {
		keep[a] = true
	}
	for _, m := range s.Members() {
		keep[m.Peer] = true
	}
	s.dialer.CloseOthers(keep)
}

// probeUnknown probes the addresses that belong to no live member: all of them, or one at
// random.
func (s *Service) probeUnknown(ctx context.Context, l []netip.AddrPort, all bool) {
	known := map[netip.AddrPort]bool{s.Self.Peer: true}
	for _, m := range s.Live() {
		known[m.Peer] = true
	}
	l = slices.DeleteFunc(slices.Clone(l), func(a netip.AddrPort) bool { return known[a] })
	if len(l) == 0 {
		return
	}
	if !all {
		l = []netip.AddrPort{l[rand.IntN(len(l))]}
	}
	for _, a := range l {
		go s.sendProbe(ctx, Member{Peer: a}, &peerspb.ProbeRequest{Full: true})
	}
}

// registeredAddresses reads the addresses that entry hosts wrote to the platform's store.
// It writes this process's address again if it is missing, and prunes those of processes
// that are gone.
func (s *Service) registeredAddresses(ctx context.Context) []netip.AddrPort {
	l, _, err := s.store.List(ctx, MemberPrefix)
	if err != nil {
		return nil
	}
	var out []netip.AddrPort
	mine := false
	for _, e := range l {
		var m Member
		if json.Unmarshal(e.Value, &m) != nil {
			continue
		}
		mine = mine || m.Name == s.Self.Name
		out = append(out, m.Peer)
		s.prune(ctx, e, m)
	}
	if !mine {
		_ = s.writeAddress(ctx)
	}
	return out
}

// pruneAfterReads is the number of consecutive reads in which an entry has to belong to
// no live member before it is removed. A process that was only partitioned writes it
// again.
const pruneAfterReads = 12

// prune removes the entry of a process that is gone. One live member does so for all, the
// first by rendezvous score.
func (s *Service) prune(ctx context.Context, e platform.Entry, m Member) {
	_, live := s.Member(m.Name)
	if live {
		delete(s.unseenReads, e.Key)
		return
	}
	s.unseenReads[e.Key]++
	if s.unseenReads[e.Key] < pruneAfterReads || common.RankFirst(MemberPrefix, s.LiveNames("")) != s.Self.Name {
		return
	}
	if s.store.Delete(ctx, e.Key, e.Revision) == nil {
		delete(s.unseenReads, e.Key)
		s.log.Infof("address of %s removed from the store", m.Name)
	}
}

// MemberPrefix begins the key under which each entry host writes its address at its start,
// and again if the key has been removed.
const MemberPrefix = "members/"
