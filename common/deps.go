package common

import (
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// Deps are dependencies that the constructors of all parts take. Nothing in amberway uses
// globals instead.
type Deps struct {
	// Logger receives every log line.
	Logger *logrus.Logger
	// Meter creates the metric instruments.
	Meter metric.Meter
	// Now returns the current time. Pure code never calls it.
	Now func() time.Time
	// SuspendedFor returns for how long the host has been suspended since the process started.
	SuspendedFor func() time.Duration
}

// NewDeps returns dependencies that log to l and report metrics to m.
func NewDeps(l *logrus.Logger, m metric.Meter) Deps {
	return Deps{Logger: l, Meter: m, Now: time.Now, SuspendedFor: NewSuspensionTracker().Total}
}

// NopDeps returns dependencies that discard logs and metrics.
func NopDeps() Deps {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	return NewDeps(l, noop.NewMeterProvider().Meter("quiet"))
}

// Log writes log lines that begin with the name of a part.
type Log struct {
	logger *logrus.Logger
	prefix string
}

// Log returns a log for the named part.
func (d Deps) Log(part string) Log {
	return Log{logger: d.Logger, prefix: part + ": "}
}

// Infof logs what an operator may want to know.
func (l Log) Infof(format string, a ...any) {
	l.logger.Infof(l.prefix+format, a...)
}

// Warnf logs what an operator may have to look at.
func (l Log) Warnf(format string, a ...any) {
	l.logger.Warnf(l.prefix+format, a...)
}

// Errorf logs what an operator must look at.
func (l Log) Errorf(format string, a ...any) {
	l.logger.Errorf(l.prefix+format, a...)
}
