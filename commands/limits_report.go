package commands

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"amberway/job"
	"amberway/request"
)

// limitsReportEvery is how often it is logged which limits clients have met.
const limitsReportEvery = time.Second

// reportLimits logs, once a second, what the limits of the servers have cut off.
func (d *jobsDaemon) reportLimits(ctx context.Context, servers map[string]gracefulServer) {
	watchLimits(ctx, servers, func(server string, was, is request.Counts) {
		if n := is.EvictedRequests - was.EvictedRequests; n > 0 {
			d.log.Write(job.LogLine{What: "requests given up", Why: "no memory is left for requests", Fields: []any{"listener", server, "count", n, "held_bytes", is.HeldBytes}})
		}
		if n := is.ClosedConns - was.ClosedConns; n > 0 {
			d.log.Write(job.LogLine{What: "connections closed", Why: "as many are open as may be", Fields: []any{"listener", server, "count", n, "open", is.OpenConns}})
		}
		if bodies, answers := is.SlowBodies-was.SlowBodies, is.UnreadAnswers-was.UnreadAnswers; bodies+answers > 0 {
			d.log.Write(job.LogLine{What: "clients too slow", Fields: []any{"listener", server, "bodies", bodies, "answers", answers}})
		}
	})
}

// reportLimits logs, once a second, what the limits of the servers have cut off.
func (d *requestsDaemon) reportLimits(ctx context.Context, servers map[string]gracefulServer) {
	watchLimits(ctx, servers, func(server string, was, is request.Counts) {
		if n := is.EvictedRequests - was.EvictedRequests; n > 0 {
			d.log.Warnf("%d requests of %s given up, as no memory is left for requests: %d bytes are held", n, server, is.HeldBytes)
		}
		if n := is.ClosedConns - was.ClosedConns; n > 0 {
			d.log.Warnf("%d connections of %s closed, as many are open as may be: %d", n, server, is.OpenConns)
		}
		if bodies, answers := is.SlowBodies-was.SlowBodies, is.UnreadAnswers-was.UnreadAnswers; bodies+answers > 0 {
			d.log.Warnf("%d bodies of %s did not arrive in time, and %d answers were not read in time", bodies, server, answers)
		}
	})
}

// watchLimits calls report once a second for each server whose figures have changed.
func watchLimits(ctx context.Context, servers map[string]gracefulServer, report func(server string, was, is request.Counts)) {
	t := time.NewTicker(limitsReportEvery)
	defer t.Stop()
	last := map[string]request.Counts{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for name, s := range servers {
			if n := s.Counts(); n != last[name] {
				report(name, last[name], n)
				last[name] = n
			}
		}
	}
}

// observeLimits registers the metrics of the servers' limits.
func observeLimits(m metric.Meter, servers map[string]gracefulServer) error {
	for _, i := range []struct {
		name, unit, help string
		figure           func(request.Counts) int64
	}{
		{"amberway.requests.given_up", "{request}", "requests given up before they were read completely", func(c request.Counts) int64 { return c.EvictedRequests }},
		{"amberway.connections.closed", "{connection}", "connections closed to make room for others", func(c request.Counts) int64 { return c.ClosedConns }},
		{"amberway.bodies.late", "{request}", "bodies that did not arrive in time", func(c request.Counts) int64 { return c.SlowBodies }},
		{"amberway.answers.unread", "{request}", "answers that were not read in time", func(c request.Counts) int64 { return c.UnreadAnswers }},
	} {
		_, err := m.Int64ObservableCounter(i.name, metric.WithUnit(i.unit), metric.WithDescription(i.help+", by listener"), observe(servers, i.figure))
		if err != nil {
			return err
		}
	}
	_, err := m.Int64ObservableGauge("amberway.requests.held", metric.WithUnit("By"), metric.WithDescription("bytes that requests hold, by listener"),
		observe(servers, func(c request.Counts) int64 { return c.HeldBytes }))
	if err != nil {
		return err
	}
	_, err = m.Int64ObservableGauge("amberway.connections.open", metric.WithUnit("{connection}"), metric.WithDescription("open connections, by listener"),
		observe(servers, func(c request.Counts) int64 { return int64(c.OpenConns) }))
	return err
}

// observe returns a callback that observes one figure of each server.
func observe(servers map[string]gracefulServer, figure func(request.Counts) int64) metric.Int64ObservableOption {
	return metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
		for name, s := range servers {
			o.Observe(figure(s.Counts()), metric.WithAttributes(attribute.String("listener", name)))
		}
		return nil
	})
}
