package common

import (
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// Deps is handed down to every part at construction. Nothing in amberway
// reaches for a global in its place.
type Deps struct {
	// Logger receives every log line.
	Logger *logrus.Logger
	// Meter makes the instruments of the metrics.
	Meter metric.Meter
	// Now tells the time. Pure code never calls it.
	Now func() time.Time
	// SuspendedFor tells for how long the host has been suspended since the process began.
	SuspendedFor func() time.Duration
}

// NewDeps returns dependencies that log to l and count with m.
func NewDeps(l *logrus.Logger, m metric.Meter) Deps {
	return Deps{Logger: l, Meter: m, Now: time.Now, SuspendedFor: NewSuspensionTracker().Total}
}

// NopDeps returns dependencies that log and count nowhere.
func NopDeps() Deps {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	return NewDeps(l, noop.NewMeterProvider().Meter("quiet"))
}

// Log writes lines that begin with the name of a part.
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

// Errorf logs what an operator has to look at.
func (l Log) Errorf(format string, a ...any) {
	l.logger.Errorf(l.prefix+format, a...)
}
