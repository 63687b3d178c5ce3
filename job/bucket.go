package job

import "time"

// tokenBucket is what may be spent by now, where so much more may be each second and some of
// it is saved up.
type tokenBucket struct {
	// tokens is below zero where more was spent than there was.
	tokens   float64
	filledAt time.Time
}

// refill adds what has come in by now, up to the most that is saved up.
func (b *tokenBucket) refill(now time.Time, perSecond, most float64) {
	if d := now.Sub(b.filledAt); d > 0 {
		b.tokens = min(most, b.tokens+perSecond*d.Seconds())
		b.filledAt = now
	}
}
