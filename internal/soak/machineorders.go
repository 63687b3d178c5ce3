package soak

import (
	"math/rand/v2"
	"time"
)

// Parameters of the machine orders that get no answer and are executed late.
const (
	delayedOrderShare            = 0.3
	minOrderDelay, maxOrderDelay = 2 * time.Second, 12 * time.Second
)

// delayMachineOrders has some machine orders executed late until the faults are over.
func (r *Run) delayMachineOrders() {
	d := rand.New(rand.NewPCG(r.Seed, 5))
	r.deployment.Fleet.DelayMachineOrders(func() time.Duration {
		if time.Until(r.settledAt) < settleTime || d.Float64() >= delayedOrderShare {
			return 0
		}
		return minOrderDelay + time.Duration(d.Int64N(int64(maxOrderDelay-minOrderDelay)))
	})
}
