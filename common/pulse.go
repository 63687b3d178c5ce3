package common

import (
	"context"
	"sync/atomic"
	"time"
)

// Times of a Pulse.
const (
	// pulseEvery is the time between two beats.
	pulseEvery = 100 * time.Millisecond
	// pulseGap is the time without a beat that counts as a pause.
	pulseGap = time.Second
	// pulseTrust is how long after a pause the process waits at most for what
	// it has to learn anew.
	pulseTrust = 5 * time.Second
)

// PauseDetector notices that the whole process was paused, so that what it knew before
// is not acted on afterwards.
type PauseDetector struct {
	now func() time.Time
	// beat is the last beat, in nanoseconds since 1970 by the wall clock.
	beat atomic.Int64
	// trustAt is when the process trusts what it knows in any case.
	trustAt atomic.Int64
}

// NewPulse returns a pulse that has just beaten.
func NewPulse(now func() time.Time) *PauseDetector {
	p := &PauseDetector{now: now}
	p.beat.Store(now().UnixNano())
	return p
}

// Run beats until the context ends. After a pause it calls learn, and trusts
// the process again once learn returns nil.
func (p *PauseDetector) Run(ctx context.Context, learn func(context.Context) error) {
	for ctx.Err() == nil {
		if p.Beat(p.now()) {
			go p.relearn(ctx, learn)
		}
		Sleep(ctx, pulseEvery)
	}
}

// Beat notes that the process runs. It reports whether it was paused before.
func (p *PauseDetector) Beat(now time.Time) bool {
	paused := p.gap(now)
	if paused {
		p.trustAt.Store(now.Add(pulseTrust).UnixNano())
	}
	p.beat.Store(now.UnixNano())
	return paused
}

func (p *PauseDetector) relearn(ctx context.Context, learn func(context.Context) error) {
	for ctx.Err() == nil && p.Suspended(p.now()) {
		if learn(ctx) == nil {
			p.trustAt.Store(0)
			return
		}
		Sleep(ctx, pulseEvery)
	}
}

// Suspended reports whether the process has just been paused and must not act
// yet on what it knew.
func (p *PauseDetector) Suspended(now time.Time) bool {
	return p.gap(now) || now.UnixNano() < p.trustAt.Load()
}

func (p *PauseDetector) gap(now time.Time) bool {
	return now.UnixNano()-p.beat.Load() > int64(pulseGap)
}
