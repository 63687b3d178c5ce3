package job

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// LimitOverview describes the limit of a queue, as the owner has published it.
type LimitOverview struct {
	// Fraction is the admitted fraction of the jobs. It is 1 if only teams beyond their shares
	// are refused.
	Fraction float64 `json:"fraction"`
	// Cause is "send" if the owner cannot send the starts in time, "room" if the hosts of the
	// pool cannot run the tasks in time.
	Cause string `json:"cause"`
	// WaitMS is how long a job that is accepted now waits, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// limitOverview describes the limit of a queue, or returns nil if it has none.
func (c *Core) limitOverview(queue string) *LimitOverview {
	a, limited := c.admission.published[queue]
	if !limited {
		return nil
	}
	return &LimitOverview{Fraction: a.Fraction, Cause: string(a.Cause), WaitMS: a.RetryAfter.Milliseconds()}
}

// limitOverviews describes the limits of all limited queues. It returns nothing unless the owner
// runs on this host.
func (n *Node) limitOverviews() map[string]LimitOverview {
	o := n.localOwner()
	if o == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	l := make(map[string]LimitOverview, len(o.core.admission.published))
	for q := range o.core.admission.published {
		l[q] = *o.core.limitOverview(q)
	}
	return l
}

// observeLimits registers the gauge of the limited queues. Only the owner reports values, and
// only of queues that are limited.
func observeLimits(m metric.Meter, limits func() map[string]LimitOverview) error {
	_, err := m.Float64ObservableGauge("amberway.queues.admitted", metric.WithUnit("1"),
		metric.WithDescription("fraction of the jobs that is admitted, of limited queues by queue and cause"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for q, l := range limits() {
				o.Observe(l.Fraction, metric.WithAttributes(attribute.String("queue", q), attribute.String("cause", l.Cause)))
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("job: metric amberway.queues.admitted: %w", err)
	}
	return nil
}
