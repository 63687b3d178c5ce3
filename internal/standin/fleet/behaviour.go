package fleet

import (
	"strings"
	"time"
)

// behaviour is what a task does.
type behaviour struct {
	work                  time.Duration
	lasts, fails, crashes bool
	// warms is the longest that a lasting task takes to be at work, and failsEach how long it
	// is there in the mean before it fails by itself; never, if zero.
	warms, failsEach time.Duration
}

// Words of a spec that name a time.
const (
	warmsWord     = "warms:"
	failsEachWord = "fails-each:"
)

// behaviourOf reads how a task behaves from its job's spec: a duration, "lasts", "fails"
// after a duration, or "crashes" its worker soon after its start. A lasting task may take a
// time to be at work ("warms:1s") and fail now and then ("fails-each:1m").
func behaviourOf(spec string) behaviour {
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
			b.readTime(f)
		}
	}
	return b
}

// readTime reads a time, which is that of the work unless a word names it. Other words say
// nothing.
func (b *behaviour) readTime(word string) {
	d := &b.work
	if v, ok := strings.CutPrefix(word, warmsWord); ok {
		word, d = v, &b.warms
	} else if v, ok := strings.CutPrefix(word, failsEachWord); ok {
		word, d = v, &b.failsEach
	}
	if v, err := time.ParseDuration(word); err == nil {
		*d = v
	}
}

// crashesAfter is how long a worker lives on once a task has started that crashes it.
const crashesAfter = 10 * time.Millisecond
