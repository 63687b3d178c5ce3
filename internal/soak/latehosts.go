package soak

import (
	"math/rand/v2"
	"time"
)

// Figures of orders to machines that are not answered and carried out late.
const (
	lateHostShare              = 0.3
	lateHostLeast, lateHostMax = 2 * time.Second, 12 * time.Second
)

// postponeHostOrders has some orders to machines carried out late until the faults are over.
func (r *Run) postponeHostOrders() {
	d := rand.New(rand.NewPCG(r.Seed, 5))
	r.jobs.Fleet.PostponeOrders(func() time.Duration {
		if time.Until(r.endsAt) < settle || d.Float64() >= lateHostShare {
			return 0
		}
		return lateHostLeast + time.Duration(d.Int64N(int64(lateHostMax-lateHostLeast)))
	})
}
