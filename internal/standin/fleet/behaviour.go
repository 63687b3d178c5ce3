package fleet

import (
	"strings"
	"time"
)

// behaviour is what a task does.
type behaviour struct {
	work                  time.Duration
	lasts, fails, crashes bool
}

// behaviourOf reads how a task behaves from its job's spec: a duration, "lasts", "fails"
// after a duration, or "crashes" its worker soon after its start.
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
			if v, err := time.ParseDuration(f); err == nil {
				b.work = v
			}
		}
	}
	return b
}

// crashesAfter is how long a worker lives on once a task has started that crashes it.
const crashesAfter = 10 * time.Millisecond
