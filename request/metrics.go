package request

import (
	"context"
	"time"

	"amberway/common"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Metrics are the instruments of the request path.
type Metrics struct {
	requests metric.Int64Counter
	seconds  metric.Float64Histogram
}

// NewMetrics makes the instruments.
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

func (m *Metrics) refused(c common.Class, v common.Verdict) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("class", c.String()), attribute.String("verdict", v.String())))
}

func (m *Metrics) answered(c common.Class, d time.Duration) {
	m.refused(c, common.Ran)
	m.seconds.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("class", c.String())))
}
