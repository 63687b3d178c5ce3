package job

import "time"

// The platform limits the orders to machines per second from all entry hosts together, and
// refuses those beyond the limit. When 2,800 idle machines were ordered to the spare pool at
// once without a rate limit, that took 166,000 calls in 42 s, most of them refused, and used
// up the owner's processor, so that nine of ten jobs were late or refused.

// Settings of the rate limit on orders to machines.
const (
	// defaultOrderRate is the limit in orders per second where the settings give none: the
	// lowest limit of the platforms in use.
	defaultOrderRate = 64
	// ordersBurst is the time over which unused orders add up to a burst: pools are planned
	// every tenth of a second, and a shift of the load needs dozens of machines at once.
	ordersBurst = time.Second
	// orderReserve is the fraction of the burst that is reserved for pools that lack machines.
	// Orders that release machines to the spare pool can wait.
	orderReserve = 0.5
	// refusedOrderPause is how long no order is sent after a refused one.
	refusedOrderPause = 100 * time.Millisecond
)

// orderBudget limits the rate of orders to machines.
type orderBudget struct {
	tokenBucket
	perSecond float64
	// pausedUntil is when orders may be sent again after a refusal.
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

// burst returns the most orders that can be sent at once, which is one at least.
func (b *orderBudget) burst() float64 {
	return max(1, b.perSecond*ordersBurst.Seconds())
}

// allows reports whether an order may be sent that leaves at least the reserve, a fraction
// of the burst.
func (b *orderBudget) allows(now time.Time, reserve float64) bool {
	b.refill(now, b.perSecond, b.burst())
	return !now.Before(b.pausedUntil) && b.tokens-1 >= reserve*b.burst()
}

// spend counts an order.
func (b *orderBudget) spend() {
	b.tokens--
}

// pause holds back orders for a while after the platform has refused one.
func (b *orderBudget) pause(now time.Time) {
	b.pausedUntil = now.Add(refusedOrderPause)
}

// mayOrder reports whether an order may be sent now for a machine that is needed.
func (c *Core) mayOrder() bool {
	return c.orderBudget.allows(c.now, 0)
}

// mayRelease reports whether an order may be sent now for a machine that is not needed.
func (c *Core) mayRelease() bool {
	return c.orderBudget.allows(c.now, orderReserve)
}
