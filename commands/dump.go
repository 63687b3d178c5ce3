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

// DaemonDump is the whole state of a requestsDaemon, for diagnosis.
type DaemonDump struct {
	Name            string                `json:"name"`
	DataCentre      string                `json:"data_centre"`
	Version         string                `json:"version"`
	StartedAt       time.Time             `json:"started_at"`
	Stopping        bool                  `json:"stopping"`
	ConfirmedAt     time.Time             `json:"confirmed_at,omitzero"`
	Head            *config.Head          `json:"head"`
	Members         []peers.Member        `json:"members"`
	Fleet           fleet.Record          `json:"fleet"`
	ListAsOf        time.Time             `json:"list_as_of,omitzero"`
	Requests        request.SchedulerDump `json:"requests"`
	PlatformReads   int64                 `json:"platform_reads"`
	PlatformWrites  int64                 `json:"platform_writes"`
	PlatformWatches int64                 `json:"platform_watches"`
	ProbesSent      int64                 `json:"probes_sent"`
	ClaimSegments   int64                 `json:"claim_segments"`
}

func (d *requestsDaemon) dump() any {
	v := d.view.Current()
	return DaemonDump{
		Name:            d.settings.Name,
		DataCentre:      d.settings.DataCentre,
		Version:         Version,
		StartedAt:       d.startedAt,
		Stopping:        d.stopping.Load(),
		ConfirmedAt:     d.follower.ConfirmedAt(),
		Head:            d.follower.Current().Head,
		Members:         d.members.Members(),
		Fleet:           v.Record,
		ListAsOf:        v.List.AsOf,
		Requests:        d.dispatcher.Dump(),
		PlatformReads:   d.platformCalls.Reads.Load(),
		PlatformWrites:  d.platformCalls.Writes.Load(),
		PlatformWatches: d.platformCalls.Watches.Load(),
		ProbesSent:      d.members.ProbesSent.Load(),
		ClaimSegments:   d.claimer.SegmentsWritten.Load(),
	}
}

// registerMetrics registers the instruments whose values are read when metrics are
// collected.
func (d *requestsDaemon) registerMetrics(m metric.Meter) error {
	gauges := map[string]func() int64{
		"amberway.generation":   func() int64 { return d.follower.Current().Head.Generation },
		"amberway.members.live": func() int64 { return int64(len(d.members.Live())) },
		"amberway.hosts.usable": func() int64 { return int64(len(d.view.Current().Usable)) },
	}
	for n, f := range gauges {
		if _, err := m.Int64ObservableGauge(n, metric.WithInt64Callback(int64Callback(f))); err != nil {
			return merry.Prepend(err, "daemon: metric "+n)
		}
	}
	counters := map[string]func() int64{
		"amberway.platform.reads":   d.platformCalls.Reads.Load,
		"amberway.platform.writes":  d.platformCalls.Writes.Load,
		"amberway.platform.watches": d.platformCalls.Watches.Load,
		"amberway.probes":           d.members.ProbesSent.Load,
	}
	for n, f := range counters {
		if _, err := m.Int64ObservableCounter(n, metric.WithInt64Callback(int64Callback(f))); err != nil {
			return merry.Prepend(err, "daemon: metric "+n)
		}
	}
	return nil
}

func int64Callback(f func() int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(f())
		return nil
	}
}
