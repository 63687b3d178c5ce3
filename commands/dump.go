package commands

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/metric"

	"amberway/config"
	"amberway/fleet"
	"amberway/peers"
	"amberway/request"
)

// State is the dump of one process.
type State struct {
	Name        string                `json:"name"`
	DataCentre  string                `json:"data_centre"`
	Version     string                `json:"version"`
	StartedAt   time.Time             `json:"started_at"`
	Stopping    bool                  `json:"stopping"`
	ConfirmedAt time.Time             `json:"confirmed_at,omitzero"`
	Head        *config.Head          `json:"head"`
	Members     []peers.Member        `json:"members"`
	Fleet       fleet.Record          `json:"fleet"`
	ListAsOf    time.Time             `json:"list_as_of,omitzero"`
	Requests    request.SchedulerDump `json:"requests"`
	Reads       int64                 `json:"platform_reads"`
	Writes      int64                 `json:"platform_writes"`
	Watches     int64                 `json:"platform_watches"`
	Probes      int64                 `json:"probes_sent"`
	Segments    int64                 `json:"claim_segments"`
}

func (d *Daemon) dump() any {
	v := d.view.Current()
	return State{
		Name:        d.settings.Name,
		DataCentre:  d.settings.DataCentre,
		Version:     Version,
		StartedAt:   d.started,
		Stopping:    d.stopping.Load(),
		ConfirmedAt: d.follower.ConfirmedAt(),
		Head:        d.follower.Current().Head,
		Members:     d.members.Members(),
		Fleet:       v.Record,
		ListAsOf:    v.List.AsOf,
		Requests:    d.dispatcher.Dump(),
		Reads:       d.calls.Reads.Load(),
		Writes:      d.calls.Writes.Load(),
		Watches:     d.calls.Watches.Load(),
		Probes:      d.members.Sent.Load(),
		Segments:    d.claimer.SegmentsWritten.Load(),
	}
}

// observe makes the instruments that are read when the metrics are.
func (d *Daemon) observe(m metric.Meter) error {
	gauges := map[string]func() int64{
		"amberway.generation":   func() int64 { return d.follower.Current().Head.Generation },
		"amberway.members.live": func() int64 { return int64(len(d.members.Live())) },
		"amberway.hosts.usable": func() int64 { return int64(len(d.view.Current().Usable)) },
	}
	for n, f := range gauges {
		if _, err := m.Int64ObservableGauge(n, metric.WithInt64Callback(observed(f))); err != nil {
			return merry.Prepend(err, "daemon: metric "+n)
		}
	}
	counters := map[string]func() int64{
		"amberway.platform.reads":   d.calls.Reads.Load,
		"amberway.platform.writes":  d.calls.Writes.Load,
		"amberway.platform.watches": d.calls.Watches.Load,
		"amberway.probes":           d.members.Sent.Load,
	}
	for n, f := range counters {
		if _, err := m.Int64ObservableCounter(n, metric.WithInt64Callback(observed(f))); err != nil {
			return merry.Prepend(err, "daemon: metric "+n)
		}
	}
	return nil
}

func observed(f func() int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(f())
		return nil
	}
}
