package request

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"amberway/common"
)

// Metrics are the instruments of the request path.
type Metrics struct {
	requests metric.Int64Counter
	seconds  metric.Float64Histogram
}

// NewMetrics creates the instruments.
func NewMetrics(m metric.Meter) (*Metrics, error) {
	c, err := m.Int64Counter("amberway.requests",
		metric.WithDescription("Requests by class and verdict."))
	if err != nil {
		return nil, merry.Prepend(err, "request: metrics")
	}
	h, err := m.Float64Histogram("amberway.request.time", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to the end of its answer."))
	if err != nil {
		return nil, merry.Prepend(err, "request: metrics")
	}
	return &Metrics{requests: c, seconds: h}, nil
}

// countVerdict counts one request by its verdict.
func (m *Metrics) countVerdict(c common.Class, v common.Verdict) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("class", c.String()), attribute.String("verdict", v.String())))
}

// recordAnswer counts one request that a target answered, and records its time.
func (m *Metrics) recordAnswer(c common.Class, v common.Verdict, d time.Duration) {
	m.countVerdict(c, v)
	m.seconds.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("class", c.String())))
}
