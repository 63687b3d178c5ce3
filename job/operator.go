package job

import (
	"context"
	"errors"
	"strings"
	"time"

	"amberway/platform"
)

// followOperator follows what operators write: it puts configurations in force, and passes
// configurations, waves and evacuations on to the owner if it runs here.
func (n *Node) followOperator(ctx context.Context) {
	f := &follower{kv: n.KV, prefix: platform.OperatorPrefix, watchTimes: configWatch(n.settings.operatorWithin()), newestOnly: true, log: n.log, now: n.now}
	f.onAnswer = func(currentAt time.Time, err error) {
		n.speed.sample()
		n.noteAnswer(err)
		if err == nil && n.settings.EvacuationWithin > 0 {
			n.tellOwner(OperatorRead{StartsUntil: n.settings.startsUntil(currentAt)})
		}
	}
	f.onList = func(l []platform.Entry, at platform.Revision) {
		for _, e := range l {
			n.applyOperatorEntry(e)
		}
		n.applyEvacuations(listEvacuations(l, at), "list")
	}
	f.onChange = func(l []platform.Event, at platform.Revision) {
		for _, e := range l {
			if !e.Deleted {
				n.applyOperatorEntry(e.Entry)
			}
		}
		n.applyEvacuations(n.evacuations.Load().changed(l, at), "watch")
	}
	f.run(ctx)
}

// operatorWithin returns the time within which what operators write has to be known.
func (s Settings) operatorWithin() time.Duration {
	if s.EvacuationWithin > 0 {
		return min(s.ConfigWithin, s.EvacuationWithin)
	}
	return s.ConfigWithin
}

func (n *Node) applyOperatorEntry(e platform.Entry) {
	switch {
	case e.Key == platform.ConfigKey:
		n.applyConfig(e.Value)
	case len(e.Key) > len(platform.WavePrefix) && strings.HasPrefix(e.Key, platform.WavePrefix):
		n.applyWave(e)
	}
}

// noteAnswer notes whether a request to the store for the configuration has succeeded.
func (n *Node) noteAnswer(err error) {
	now := n.now()
	switch {
	case err == nil:
		n.storeAnsweredAt.Set(now)
		n.intake.heardAt.Set(now)
		n.configCurrentAt.Advance(now)
	case errors.Is(err, platform.ErrCompacted):
		// The store answers; the list that follows tells whether the configuration changed.
		n.storeAnsweredAt.Set(now)
	default:
		select {
		case n.configMissed <- struct{}{}:
		default:
		}
	}
}

// applyConfig puts a configuration in force, given as the operator wrote it, unless the one in
// force is at least as new.
func (n *Node) applyConfig(raw []byte) {
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		n.log.Write(LogLine{What: "configuration invalid", Why: err.Error()})
		return
	}
	r := newRoutes(c)
	r.raw = raw
	if !n.swapRoutes(r) {
		return
	}
	n.election.noteConfigured()
	n.log.Write(LogLine{What: "configuration", Fields: []any{"version", c.Version, "queues", len(c.Queues), "teams", len(c.Teams), "keys", len(r.keys)}})
	n.tellOwner(ConfigChanged{Config: c})
}

// swapRoutes puts the routes of a configuration in force. It returns false if the one in force
// is at least as new: the store and another entry host may both provide it.
func (n *Node) swapRoutes(r *routes) bool {
	for {
		o := n.routes.Load()
		if o != nil && o.config.Version >= r.config.Version {
			return false
		}
		if n.routes.CompareAndSwap(o, r) {
			return true
		}
	}
}

func (n *Node) applyWave(e platform.Entry) {
	w, err := platform.DecodeWave(e)
	if err != nil {
		n.log.Write(LogLine{What: "wave invalid", Why: err.Error()})
		return
	}
	n.tellOwner(WaveRequested{Wave: w})
}

// evacuatedCount returns how many data centres are evacuated.
func (n *Node) evacuatedCount() int {
	return len(n.evacuations.Load().DataCentres)
}

// applyEvacuations records the evacuations, and passes them on to the owner if it runs here.
func (n *Node) applyEvacuations(e Evacuations, source string) {
	n.evacuations.Store(&e)
	n.tellOwner(EvacuationsChanged{Evacuations: e, Source: source})
}

// loadEvacuations reads the evacuations that a new owner takes over.
func (o *owner) loadEvacuations(ctx context.Context, e *Inherited) error {
	sent := o.now()
	l, at, err := o.KV.List(ctx, platform.EvacuationPrefix)
	e.Evacuations, e.StartsUntil = listEvacuations(l, at), o.startsUntil(sent)
	return err
}
