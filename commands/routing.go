package commands

import (
	"context"
	"math/rand/v2"
	"time"

	"amberway/common"
	"amberway/config"
	"amberway/fleet"
	"amberway/peers"
	"amberway/request"
)

// updateRouting passes the configuration, the fleet and the membership to the dispatcher.
func (d *requestsDaemon) updateRouting() {
	if d.dispatcher == nil || d.view == nil || d.members == nil {
		return
	}
	// The state is read under the lock: of two concurrent calls, the later one must not
	// pass an older view, or a draining host would get work.
	d.sharesMu.Lock()
	defer d.sharesMu.Unlock()
	d.syncShares()
	d.updateDispatcher()
}

// contactMembers tells the shares whether all members have answered, and contacts them
// again as long as some have not and this process may not use slots yet: all must know of a
// new process before it uses slots.
func (d *requestsDaemon) contactMembers(ctx context.Context) {
	contacted := d.members.ContactedAll(d.settings.DataCentre)
	d.sharesMu.Lock()
	defer d.sharesMu.Unlock()
	d.shares.ObserveAnswers(d.deps.Now(), contacted)
	if !contacted && !d.shares.Usable() {
		go d.members.PullTables(ctx)
	}
}

// updateShares updates the dispatcher if the shares may have changed. Because this happens
// under the lock that ready takes, a process is ready only once the dispatcher has its
// slots.
func (d *requestsDaemon) updateShares() {
	d.sharesMu.Lock()
	defer d.sharesMu.Unlock()
	if d.syncShares() {
		d.updateDispatcher()
	}
}

// syncShares updates the shares from the membership. It reports whether they may have
// changed. The caller holds sharesMu.
func (d *requestsDaemon) syncShares() bool {
	return d.shares.SetMembers(d.deps.Now(), d.members.ShareHolders(d.settings.DataCentre))
}

// updateDispatcher passes the services and targets to the dispatcher. The caller holds
// sharesMu.
func (d *requestsDaemon) updateDispatcher() {
	c := d.follower.Current()
	v := d.view.Current()
	d.dispatcher.Update(func(s *request.Scheduler) {
		s.SetServices(servicesOf(c.Document, v.Record.Placement))
		for _, o := range c.Document.Services {
			for _, j := range o.Jobs {
				s.DeclareRunTime(request.QueueName(o, j), j.Name, j.RunTime)
			}
		}
		s.SetTargets(targetsOf(v, d.shares))
	})
}

// servicesOf returns the services for the scheduler: each service of the document, and one
// more for each job that is placed on some of its pool's hosts only.
func servicesOf(d *config.Document, p fleet.Placement) []request.ServiceSpec {
	l := make([]request.ServiceSpec, 0, len(d.Services))
	for _, s := range d.Services {
		l = append(l, request.ServiceSpec{Name: s.Name, Pool: s.Pool, Weight: s.Weight})
		for _, j := range s.Jobs {
			if j.Replicas > 0 {
				l = append(l, request.ServiceSpec{
					Name: request.QueueName(s, j), Pool: s.Pool, Weight: s.Weight,
					Placed: true, Targets: p[fleet.JobName(s.Name, j.Name)],
				})
			}
		}
	}
	return l
}

func targetsOf(v *fleet.Snapshot, shares *request.SlotShares) []request.TargetSpec {
	l := make([]request.TargetSpec, 0, len(v.Usable))
	for _, h := range v.List.Hosts {
		if _, ok := v.Usable[h.Name]; !ok {
			continue
		}
		slots := shares.Of(h.Name, min(h.Slots, h.Connections))
		l = append(l, request.TargetSpec{Name: h.Name, Pool: v.Record.Hosts[h.Name].Pool, Slots: slots})
	}
	return l
}

// syncInterval is how often the shares are updated from the membership, and how often a
// stale view is fetched from a peer.
const syncInterval = 500 * time.Millisecond

// maxViewAge is the age of the host list above which the view is fetched from a peer.
const maxViewAge = 3 * time.Second

// syncLoop keeps the dispatcher in line with the membership, and fetches the fleet view
// from a peer while the platform does not provide it.
func (d *requestsDaemon) syncLoop(ctx context.Context) {
	for ctx.Err() == nil {
		d.contactMembers(ctx)
		d.updateShares()
		d.dispatcher.StartReady()
		if d.deps.Now().Sub(d.view.Current().ListedAt) > maxViewAge {
			d.fetchFleet(ctx)
		}
		common.Sleep(ctx, syncInterval)
	}
}

// reload reloads what may have changed during a pause of the process: the fleet, and the
// members that share the slots.
func (d *requestsDaemon) reload(ctx context.Context) error {
	pulled := make(chan struct{})
	go func() {
		defer close(pulled)
		d.members.PullTables(ctx)
	}()
	err := d.view.Reload(ctx)
	<-pulled
	if err != nil {
		return err
	}
	d.updateRouting()
	return nil
}

// fetchFleet fetches the fleet view from a random peer of the same data centre.
func (d *requestsDaemon) fetchFleet(ctx context.Context) {
	var l []peers.Member
	for _, m := range d.members.Live() {
		if m.DataCentre == d.settings.DataCentre && m.Name != d.settings.Name {
			l = append(l, m)
		}
	}
	if len(l) == 0 {
		return
	}
	c, err := d.dialer.Conn(l[rand.IntN(len(l))].Peer)
	if err != nil {
		return
	}
	_ = fleet.FetchView(ctx, c, d.view)
}

// fetchConfig fetches a newer configuration from a peer.
func (d *requestsDaemon) fetchConfig(ctx context.Context, m peers.Member) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	c, err := d.dialer.Conn(m.Peer)
	if err != nil {
		return
	}
	if err := d.follower.FetchFrom(ctx, config.NewPeerSource(c)); err != nil {
		d.log.Warnf("could not fetch the configuration from %s: %v", m.Name, err)
	}
}
