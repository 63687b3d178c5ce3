package job

import "time"

// tokenBucket limits a rate. The caller passes rate and capacity to each refill, as both
// may change.
type tokenBucket struct {
	// tokens is negative if more was spent than there was.
	tokens   float64
	filledAt time.Time
}

// refill adds the tokens earned since the last refill, up to the capacity.
func (b *tokenBucket) refill(now time.Time, perSecond, capacity float64) {
	if d := now.Sub(b.filledAt); d > 0 {
		b.tokens = min(capacity, b.tokens+perSecond*d.Seconds())
		b.filledAt = now
	}
}
