package job

import "time"

// The platform takes so many orders to machines a second from all entry hosts together,
// and refuses those beyond: 2,800 idle machines that were all ordered into the spare pool
// at once cost 166,000 calls in 42 s, most of them refused, and the owner's processor with
// them, so that nine of ten jobs came late or were refused.

// Figures of pacing orders to machines.
const (
	// defaultOrderRate is how many orders a second an owner gives where the settings do
	// not say how many are taken: the least of the users' platforms.
	defaultOrderRate = 64
	// ordersBurst is how long orders that were not given are saved up: pools are looked at
	// each tenth of a second, and a turn of the load asks for some dozen machines at once.
	ordersBurst = time.Second
	// orderReserve is the part of that which is left for pools that are short when
	// machines go to the spare pool, which can wait.
	orderReserve = 0.5
	// refusedPause is how long no order goes out after one that was refused.
	refusedOrderPause = 100 * time.Millisecond
)

// orderBudget says how many orders to machines may be given now.
type orderBudget struct {
	tokenBucket
	perSecond float64
	// pausedUntil is when orders may go out again after a refusal.
	pausedUntil time.Time
}

func newOrderBudget(perSecond float64, now time.Time) orderBudget {
	if perSecond <= 0 {
		perSecond = defaultOrderRate
	}
	b := orderBudget{perSecond: perSecond}
	b.tokenBucket = tokenBucket{tokens: b.burst(), filledAt: now}
	return b
}

// burst is what can be saved up, one order at least.
func (b *orderBudget) burst() float64 {
	return max(1, b.perSecond*ordersBurst.Seconds())
}

// allows reports whether an order may be given that leaves a part of what can be saved up.
func (b *orderBudget) allows(now time.Time, reserve float64) bool {
	b.refill(now, b.perSecond, b.burst())
	return !now.Before(b.pausedUntil) && b.tokens-1 >= reserve*b.burst()
}

// spend counts an order.
func (b *orderBudget) spend() {
	b.tokens--
}

// pause notes that the platform takes no more orders at the moment.
func (b *orderBudget) pause(now time.Time) {
	b.pausedUntil = now.Add(refusedOrderPause)
}

// mayOrder reports whether a machine that is needed may be ordered now.
func (c *Core) mayOrder() bool {
	return c.orderBudget.allows(c.now, 0)
}

// mayRelease reports whether a machine that is not needed may be ordered now.
func (c *Core) mayRelease() bool {
	return c.orderBudget.allows(c.now, orderReserve)
}
