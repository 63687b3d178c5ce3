package job

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Limits of the log.
const (
	// logRate, in lines a second, and logBurst limit the lines of one kind: enough for a
	// start and an end of each of some two hundred tasks a second. Each kind has its own
	// limit, so that a burst of starts does not drop the line of a change of owner.
	logRate  = 200
	logBurst = 400
	// dropReportEvery is the interval at which dropped lines are reported.
	dropReportEvery = time.Second
	// logBuffer is how many lines may wait to be written.
	logBuffer = 2000
)

// Logger writes the log, one line for each decision. It never blocks: lines beyond its
// limits, or that find the buffer full, are dropped and counted.
type Logger struct {
	logger *logrus.Logger
	lines  chan line
	// dropped counts all dropped lines.
	dropped atomic.Int64
	now     func() time.Time
	mu      sync.Mutex
	kinds   map[string]*logKind
	// flushed is closed once the lines that were queued at the end are written.
	flushed chan struct{}
}

// logKind is the state of one kind of line.
type logKind struct {
	limiter *rate.Limiter
	// unreported counts the lines dropped since the last report.
	unreported int64
}

type line struct {
	at time.Time
	LogLine
}

// NewLogger returns a Logger that writes to l until done is closed, and then writes the lines
// that are still queued.
func NewLogger(l *logrus.Logger, now func() time.Time, done <-chan struct{}) *Logger {
	j := &Logger{
		logger:  l,
		lines:   make(chan line, logBuffer),
		now:     now,
		kinds:   map[string]*logKind{},
		flushed: make(chan struct{}),
	}
	go j.run(done)
	return j
}

// Write queues one line.
func (j *Logger) Write(n LogLine) {
	if j == nil || !j.logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	now := j.now()
	j.mu.Lock()
	defer j.mu.Unlock()
	k := j.kind(n.What)
	if k.limiter.AllowN(now, 1) && j.queue(line{at: now, LogLine: n}) {
		return
	}
	k.unreported++
	j.dropped.Add(1)
}

// kind returns the state of a kind of line.
func (j *Logger) kind(what string) *logKind {
	k := j.kinds[what]
	if k == nil {
		k = &logKind{limiter: rate.NewLimiter(logRate, logBurst)}
		j.kinds[what] = k
	}
	return k
}

// queue queues the line, and reports whether there was room for it.
func (j *Logger) queue(l line) bool {
	select {
	case j.lines <- l:
		return true
	default:
		return false
	}
}

// Dropped returns how many lines were dropped.
func (j *Logger) Dropped() int64 {
	return j.dropped.Load()
}

// Flush waits until the lines that were queued before done was closed are written. It gives up
// after the given time, as writes block if whatever reads the log has stopped.
func (j *Logger) Flush(within time.Duration) {
	select {
	case <-j.flushed:
	case <-time.After(within):
	}
}

// flush writes the queued lines, and a report of dropped lines.
func (j *Logger) flush() {
	for len(j.lines) > 0 {
		j.print(<-j.lines)
	}
	for _, l := range j.droppedLines() {
		j.print(l)
	}
}

func (j *Logger) run(done <-chan struct{}) {
	defer close(j.flushed)
	defer j.flush()
	t := time.NewTicker(dropReportEvery)
	defer t.Stop()
	for {
		select {
		case l := <-j.lines:
			j.print(l)
		case <-t.C:
			for _, l := range j.droppedLines() {
				j.print(l)
			}
		case <-done:
			return
		}
	}
}

// droppedLines returns a line for each kind of which lines were dropped since the last call.
func (j *Logger) droppedLines() []line {
	j.mu.Lock()
	defer j.mu.Unlock()
	var l []line
	for _, what := range slices.Sorted(maps.Keys(j.kinds)) {
		k := j.kinds[what]
		if k.unreported == 0 {
			continue
		}
		l = append(l, line{at: j.now(), LogLine: LogLine{What: "log lines dropped", Why: what, Fields: []any{"lines", k.unreported}}})
		k.unreported = 0
	}
	return l
}

func (j *Logger) print(l line) {
	f := make(logrus.Fields, 7+len(l.Fields)/2)
	if l.Job != "" {
		f["job"] = l.Job
	}
	if l.Task != "" {
		f["task"] = l.Task
	}
	if l.Run != 0 {
		f["run"] = l.Run
	}
	if l.Worker != "" {
		f["worker"] = l.Worker.Name()
	}
	if i := l.Worker.Incarnation(); i != 0 {
		f["incarnation"] = int64(i)
	}
	if l.Why != "" {
		f["why"] = l.Why
	}
	for i := 0; i+1 < len(l.Fields); i += 2 {
		if k, ok := l.Fields[i].(string); ok {
			f[k] = l.Fields[i+1]
		}
	}
	j.logger.WithFields(f).WithTime(l.at).Info(l.What)
}
