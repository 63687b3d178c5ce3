package common

import (
	"context"
	"sync/atomic"
	"time"
)

// Times of a Pulse.
const (
	// heartbeatInterval is the time between two beats.
	heartbeatInterval = 100 * time.Millisecond
	// pauseThreshold is the time without a beat that counts as a pause.
	pauseThreshold = time.Second
	// maxRecovery is how long after a pause the process waits at most for what
	// it has to learn anew.
	maxRecovery = 5 * time.Second
)

// PauseDetector notices that the whole process was paused, so that what it knew before
// is not acted on afterwards.
type PauseDetector struct {
	now func() time.Time
	// lastHeartbeat is the last beat, in nanoseconds since 1970 by the wall clock.
	lastHeartbeat atomic.Int64
	// recoveredBy is when the process trusts what it knows in any case.
	recoveredBy atomic.Int64
}

// NewPauseDetector returns a pulse that has just beaten.
func NewPauseDetector(now func() time.Time) *PauseDetector {
	p := &PauseDetector{now: now}
	p.lastHeartbeat.Store(now().UnixNano())
	return p
}

// Run beats until the context ends. After a pause it calls learn, and trusts
// the process again once learn returns nil.
func (p *PauseDetector) Run(ctx context.Context, learn func(context.Context) error) {
	for ctx.Err() == nil {
		if p.Heartbeat(p.now()) {
			go p.reload(ctx, learn)
		}
		Sleep(ctx, heartbeatInterval)
	}
}

// Heartbeat notes that the process runs. It reports whether it was paused before.
func (p *PauseDetector) Heartbeat(now time.Time) bool {
	paused := p.heartbeatMissed(now)
	if paused {
		p.recoveredBy.Store(now.Add(maxRecovery).UnixNano())
	}
	p.lastHeartbeat.Store(now.UnixNano())
	return paused
}

func (p *PauseDetector) reload(ctx context.Context, learn func(context.Context) error) {
	for ctx.Err() == nil && p.Recovering(p.now()) {
		if learn(ctx) == nil {
			p.recoveredBy.Store(0)
			return
		}
		Sleep(ctx, heartbeatInterval)
	}
}

// Recovering reports whether the process has just been paused and must not act
// yet on what it knew.
func (p *PauseDetector) Recovering(now time.Time) bool {
	return p.heartbeatMissed(now) || now.UnixNano() < p.recoveredBy.Load()
}

func (p *PauseDetector) heartbeatMissed(now time.Time) bool {
	return now.UnixNano()-p.lastHeartbeat.Load() > int64(pauseThreshold)
}
