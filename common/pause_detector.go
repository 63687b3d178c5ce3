package common

import (
	"context"
	"sync/atomic"
	"time"
)

// Times of a PauseDetector.
const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 100 * time.Millisecond
	// pauseThreshold is the time without a heartbeat that counts as a pause.
	pauseThreshold = time.Second
	// maxRecovery is how long the process waits at most, after a pause, until its state
	// is reloaded.
	maxRecovery = 5 * time.Second
)

// PauseDetector detects that the whole process was paused, so that it does not act on
// stale state afterwards. Run records heartbeats; a gap between them is a pause.
type PauseDetector struct {
	now func() time.Time
	// lastHeartbeat is the time of the last heartbeat by the wall clock, in Unix
	// nanoseconds.
	lastHeartbeat atomic.Int64
	// recoveredBy is when recovery ends even if the state was not reloaded, in Unix
	// nanoseconds. Reloading sets it to zero.
	recoveredBy atomic.Int64
}

// NewPauseDetector returns a detector whose last heartbeat is now.
func NewPauseDetector(now func() time.Time) *PauseDetector {
	p := &PauseDetector{now: now}
	p.lastHeartbeat.Store(now().UnixNano())
	return p
}

// Run records heartbeats until the context ends. After a pause it calls reloadState until
// that returns nil, which ends the recovery.
func (p *PauseDetector) Run(ctx context.Context, reloadState func(context.Context) error) {
	for ctx.Err() == nil {
		if p.Heartbeat(p.now()) {
			go p.reload(ctx, reloadState)
		}
		Sleep(ctx, heartbeatInterval)
	}
}

// Heartbeat records that the process runs. It reports whether it was paused before.
func (p *PauseDetector) Heartbeat(now time.Time) bool {
	paused := p.heartbeatMissed(now)
	if paused {
		p.recoveredBy.Store(now.Add(maxRecovery).UnixNano())
	}
	p.lastHeartbeat.Store(now.UnixNano())
	return paused
}

func (p *PauseDetector) reload(ctx context.Context, reloadState func(context.Context) error) {
	for ctx.Err() == nil && p.Recovering(p.now()) {
		if reloadState(ctx) == nil {
			p.recoveredBy.Store(0)
			return
		}
		Sleep(ctx, heartbeatInterval)
	}
}

// Recovering reports whether the process was paused and must not act yet on its state,
// which may be stale.
func (p *PauseDetector) Recovering(now time.Time) bool {
	return p.heartbeatMissed(now) || now.UnixNano() < p.recoveredBy.Load()
}

func (p *PauseDetector) heartbeatMissed(now time.Time) bool {
	return now.UnixNano()-p.lastHeartbeat.Load() > int64(pauseThreshold)
}
