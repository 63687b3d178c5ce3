package job

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Bounds of the log.
const (
	// logRate and logBurst bound the lines of one process: a start and an end
	// for each of some two hundred tasks a second.
	logRate  = 500
	logBurst = 1000
	// logBuffer is how many lines may wait for a reader.
	logBuffer = 2000
)

// Journal writes the log, one line for each decision. It never blocks: lines
// beyond its bounds, or that nobody reads, are counted instead.
type Journal struct {
	logger  *logrus.Logger
	limiter *rate.Limiter
	lines   chan line
	dropped atomic.Int64
	now     func() time.Time
}

type line struct {
	at time.Time
	Note
}

// NewJournal returns a journal that writes to the logger until done is closed.
func NewJournal(l *logrus.Logger, now func() time.Time, done <-chan struct{}) *Journal {
	j := &Journal{
		logger:  l,
		limiter: rate.NewLimiter(logRate, logBurst),
		lines:   make(chan line, logBuffer),
		now:     now,
	}
	go j.run(done)
	return j
}

// Write queues one line.
func (j *Journal) Write(n Note) {
	if j == nil || !j.logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	now := j.now()
	if !j.limiter.AllowN(now, 1) {
		j.dropped.Add(1)
		return
	}
	select {
	case j.lines <- line{at: now, Note: n}:
	default:
		j.dropped.Add(1)
	}
}

// Dropped returns how many lines were left out.
func (j *Journal) Dropped() int64 {
	return j.dropped.Load()
}

func (j *Journal) run(done <-chan struct{}) {
	told := int64(0)
	for {
		select {
		case l := <-j.lines:
			j.print(l)
		case <-done:
			return
		}
		if n := j.dropped.Load(); n > told && len(j.lines) == 0 {
			j.print(line{at: j.now(), Note: Note{What: "log lines left out", Inputs: []any{"lines", n - told}}})
			told = n
		}
	}
}

func (j *Journal) print(l line) {
	f := make(logrus.Fields, 6+len(l.Inputs)/2)
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
		f["worker"] = l.Worker
	}
	if l.Why != "" {
		f["why"] = l.Why
	}
	for i := 0; i+1 < len(l.Inputs); i += 2 {
		if k, ok := l.Inputs[i].(string); ok {
			f[k] = l.Inputs[i+1]
		}
	}
	j.logger.WithFields(f).WithTime(l.at).Info(l.What)
}
