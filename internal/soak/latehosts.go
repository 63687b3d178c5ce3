package soak

import (
	"math/rand/v2"
	"time"
)

// Figures of orders to machines that are not answered and carried out late.
const (
	delayedOrderShare            = 0.3
	minOrderDelay, maxOrderDelay = 2 * time.Second, 12 * time.Second
)

// delayMachineOrders has some orders to machines carried out late until the faults are over.
func (r *Run) delayMachineOrders() {
	d := rand.New(rand.NewPCG(r.Seed, 5))
	r.deployment.Fleet.DelayMachineOrders(func() time.Duration {
		if time.Until(r.settledAt) < settleTime || d.Float64() >= delayedOrderShare {
			return 0
		}
		return minOrderDelay + time.Duration(d.Int64N(int64(maxOrderDelay-minOrderDelay)))
	})
}
