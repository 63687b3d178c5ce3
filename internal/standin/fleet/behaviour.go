package fleet

import (
	"strings"
	"time"
)

// behaviour describes how a task behaves.
type behaviour struct {
	runTime               time.Duration
	lasts, fails, crashes bool
	// maxWarmUp is the longest time until a lasting task is ready, and meanTimeToFailure
	// the mean time from then until it fails by itself; it never does if zero.
	maxWarmUp, meanTimeToFailure time.Duration
}

// Prefixes of those words of a spec that give a time.
const (
	warmsPrefix     = "warms:"
	failsEachPrefix = "fails-each:"
)

// parseBehaviour parses the spec of a task's job, which consists of words: a duration is
// the run time, "fails" makes the task fail after it, "lasts" makes it a lasting task, and
// "crashes" makes it crash its worker soon after its start. For a lasting task, "warms:1s"
// sets maxWarmUp, and "fails-each:1m" sets meanTimeToFailure.
func parseBehaviour(spec string) behaviour {
	var b behaviour
	for _, f := range strings.Fields(spec) {
		switch f {
		case "lasts":
			b.lasts = true
		case "fails":
			b.fails = true
		case "crashes":
			b.crashes = true
		default:
			b.parseTime(f)
		}
	}
	return b
}

// parseTime parses a duration, which is the run time unless the word has a prefix. Other
// words are ignored.
func (b *behaviour) parseTime(word string) {
	d := &b.runTime
	if v, ok := strings.CutPrefix(word, warmsPrefix); ok {
		word, d = v, &b.maxWarmUp
	} else if v, ok := strings.CutPrefix(word, failsEachPrefix); ok {
		word, d = v, &b.meanTimeToFailure
	}
	if v, err := time.ParseDuration(word); err == nil {
		*d = v
	}
}

// crashDelay is the time from the start of a task that crashes its worker to the crash.
const crashDelay = 10 * time.Millisecond
