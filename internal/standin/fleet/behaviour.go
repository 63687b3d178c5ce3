package fleet

import (
	"strings"
	"time"
)

// behaviour is what a task does.
type behaviour struct {
	runTime               time.Duration
	lasts, fails, crashes bool
	// maxWarmUp is the longest that a lasting task takes to be at work, and failsEach how long it
	// is there in the mean before it fails by itself; never, if zero.
	maxWarmUp, meanTimeToFailure time.Duration
}

// Words of a spec that name a time.
const (
	warmsPrefix     = "warms:"
	failsEachPrefix = "fails-each:"
)

// parseBehaviour reads how a task behaves from its job's spec: a duration, "lasts", "fails"
// after a duration, or "crashes" its worker soon after its start. A lasting task may take a
// time to be at work ("warms:1s") and fail now and then ("fails-each:1m").
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

// parseTime reads a time, which is that of the work unless a word names it. Other words say
// nothing.
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

// crashDelay is how long a worker lives on once a task has started that crashes it.
const crashDelay = 10 * time.Millisecond
