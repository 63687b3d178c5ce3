package job

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"amberway/common"
	"amberway/platform"
)

// metrics holds the instruments of a node. Labels take their values from fixed sets, so
// that the number of series is bounded.
type metrics struct {
	intake        metric.Int64Counter
	orders        metric.Int64Counter
	ends          metric.Int64Counter
	losses        metric.Int64Counter
	waitTime      metric.Float64Histogram
	served        metric.Int64Counter
	machineOrders metric.Int64Counter
	takeovers     metric.Int64Counter
	sharedConns   metric.Int64Counter
	labels        labelSets
}

// instrument describes one counter.
type instrument struct {
	name, unit, help string
	counter          *metric.Int64Counter
}

// observed are the states that gauges report.
type observed struct {
	worstTenth func() (float64, bool)
	evacuated  func() int
	poolHosts  func() map[string]poolHosts
	// handshakes counts the answered polls before starts.
	handshakes func() int64
}

func newMetrics(m metric.Meter, o observed) (*metrics, error) {
	s := &metrics{}
	var err error
	for _, i := range []instrument{
		{"amberway.jobs.intake", "{job}", "jobs handed in here, by verdict", &s.intake},
		{"amberway.jobs.orders", "{order}", "orders to workers, by kind and outcome", &s.orders},
		{"amberway.jobs.ends", "{run}", "ends of runs, by how", &s.ends},
		{"amberway.jobs.losses", "{run}", "runs whose end no worker has told of, by how they were lost", &s.losses},
		{"amberway.jobs.served", "{job}", "jobs that were done, by whether in time and the data centre that took them in", &s.served},
		{"amberway.machines.orders", "{order}", "orders to machines, by outcome", &s.machineOrders},
		{"amberway.owner.tenures", "{tenure}", "times that this host took ownership over, by kind", &s.takeovers},
		{"amberway.workers.connections.shared", "{poll}", "polls answered on a connection that has carried answers of another incarnation", &s.sharedConns},
	} {
		if *i.counter, err = m.Int64Counter(i.name, metric.WithUnit(i.unit), metric.WithDescription(i.help)); err != nil {
			return nil, fmt.Errorf("job: metric %s: %w", i.name, err)
		}
	}
	s.waitTime, err = m.Float64Histogram("amberway.jobs.wait", metric.WithUnit("s"),
		metric.WithDescription("time from a job's arrival, or its due time, to a start of one of its tasks"),
		metric.WithExplicitBucketBoundaries(0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30))
	if err != nil {
		return nil, fmt.Errorf("job: metric amberway.jobs.wait: %w", err)
	}
	return s, errors.Join(observeWorstTenth(m, o.worstTenth), observeEvacuations(m, o.evacuated), observePoolHosts(m, o.poolHosts), observeHandshakes(m, o.handshakes))
}

// observeHandshakes registers the counter of handshakes with workers.
func observeHandshakes(m metric.Meter, count func() int64) error {
	_, err := m.Int64ObservableCounter("amberway.workers.handshakes", metric.WithUnit("{poll}"),
		metric.WithDescription("answered polls before starts, which ask which incarnation of a worker a connection reaches"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(count())
			return nil
		}))
	if err != nil {
		return fmt.Errorf("job: metric amberway.workers.handshakes: %w", err)
	}
	return nil
}

// observeEvacuations registers the gauge of the evacuated data centres.
func observeEvacuations(m metric.Meter, evacuated func() int) error {
	_, err := m.Int64ObservableGauge("amberway.evacuations", metric.WithUnit("{data_centre}"),
		metric.WithDescription("data centres that are evacuated, as this host has read from the store"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(evacuated()))
			return nil
		}))
	if err != nil {
		return fmt.Errorf("job: metric amberway.evacuations: %w", err)
	}
	return nil
}

// observePoolHosts registers the gauge of the pools' hosts. Only the owner reports values.
func observePoolHosts(m metric.Meter, hosts func() map[string]poolHosts) error {
	_, err := m.Int64ObservableGauge("amberway.pools.hosts", metric.WithUnit("{host}"),
		metric.WithDescription("hosts that a pool wants, wants for first-class work, is allotted and holds"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for service, h := range hosts() {
				pool := attribute.String("pool", service)
				for kind, n := range map[string]int{"wanted": h.Wanted, "first_class": h.FirstClass, "allotted": h.Allotted, "held": h.Held} {
					o.Observe(int64(n), metric.WithAttributes(pool, attribute.String("kind", kind)))
				}
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("job: metric amberway.pools.hosts: %w", err)
	}
	return nil
}

// observeWorstTenth registers the gauge of the worst-served teams. Only the owner reports a
// value.
func observeWorstTenth(m metric.Meter, worstTenth func() (float64, bool)) error {
	_, err := m.Float64ObservableGauge("amberway.teams.worst", metric.WithUnit("1"),
		metric.WithDescription("share of jobs that were done in time, of the worst-served tenth of the teams"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			if v, ok := worstTenth(); ok {
				o.Observe(v)
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("job: metric amberway.teams.worst: %w", err)
	}
	return nil
}

// observeTraffic registers the byte counters of calls to the platform and to other entry
// hosts, by kind of call.
func observeTraffic(m metric.Meter, l []*common.Connections) error {
	_, err := m.Int64ObservableCounter("amberway.jobs.bytes", metric.WithUnit("By"),
		metric.WithDescription("bytes of calls with their headers, by kind and way"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for kind, c := range totalTraffic(l) {
				k := attribute.String("kind", kind)
				o.Observe(c.Sent, metric.WithAttributes(k, attribute.String("way", "sent")))
				o.Observe(c.Received, metric.WithAttributes(k, attribute.String("way", "received")))
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("job: metric amberway.jobs.bytes: %w", err)
	}
	return nil
}

// totalTraffic returns the traffic of all connections by kind of call.
func totalTraffic(l []*common.Connections) map[string]common.TrafficCount {
	all := map[string]common.TrafficCount{}
	for _, o := range l {
		for kind, c := range o.Traffic().Counts() {
			a := all[kind]
			a.Calls += c.Calls
			a.Sent += c.Sent
			a.Received += c.Received
			all[kind] = a
		}
	}
	return all
}

// orderOutcome returns the outcome of an order as a label value from a fixed set.
func orderOutcome(rejection string, err error) string {
	switch {
	case err == nil && rejection == "":
		return "taken"
	case err == nil:
		return rejection
	case errors.Is(err, platform.ErrOtherIncarnation):
		return "other-life"
	case errors.Is(err, platform.ErrNotSent):
		return "not-reached"
	case errors.Is(err, platform.ErrUnknownOutcome):
		return "not-answered"
	}
	return "refused"
}

func label(k, v string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String(k, v))
}

func (s *metrics) countOrder(kind, out string) {
	s.orders.Add(context.Background(), 1, s.labels.of(labelOrder, kind, out)...)
}

// labelSets caches the label sets of counters that are updated up to thousands of times per
// second. Building a set for each update took 4 % of an owner's processor time at 480
// starts a second. The cache is bounded, since the label values are.
type labelSets struct {
	mu   sync.RWMutex
	sets map[labelKey][]metric.AddOption
}

type labelKey struct {
	kind          labelKind
	first, second string
}

// labelKind selects the names of the labels in a labelKey.
type labelKind int

const (
	labelOrder labelKind = iota
	labelEnd
	labelServed
)

// of returns the label set with the values.
func (l *labelSets) of(kind labelKind, first, second string) []metric.AddOption {
	k := labelKey{kind: kind, first: first, second: second}
	l.mu.RLock()
	o, ok := l.sets[k]
	l.mu.RUnlock()
	if ok {
		return o
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sets == nil {
		l.sets = map[labelKey][]metric.AddOption{}
	}
	o = []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(k.attributes()...))}
	l.sets[k] = o
	return o
}

func (k labelKey) attributes() []attribute.KeyValue {
	switch k.kind {
	case labelEnd:
		return []attribute.KeyValue{attribute.String("how", k.first)}
	case labelServed:
		return []attribute.KeyValue{attribute.String("in_time", k.first), attribute.String("data_centre", k.second)}
	case labelOrder:
	}
	return []attribute.KeyValue{attribute.String("kind", k.first), attribute.String("outcome", k.second)}
}

// record updates the metrics that are derived from the owner's log lines.
func (s *metrics) record(n LogLine) {
	switch n.What {
	case whatConnectionShared:
		s.sharedConns.Add(context.Background(), 1)
	case "end":
		s.ends.Add(context.Background(), 1, s.labels.of(labelEnd, n.Why, "")...)
	case whatJobServed:
		if in, ok := n.Fields[1].(bool); ok {
			s.served.Add(context.Background(), 1, s.labels.of(labelServed, strconv.FormatBool(in), fmt.Sprint(n.Fields[3]))...)
		}
	case "run gone":
		if how, ok := n.Fields[1].(string); ok {
			s.losses.Add(context.Background(), 1, label("how", how))
		}
	case "start":
		if ms, ok := n.Fields[1].(int64); ok {
			s.waitTime.Record(context.Background(), float64(ms)/1000)
		}
	}
}
