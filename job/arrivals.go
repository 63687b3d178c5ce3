package job

import (
	"math"
	"time"
)

// Figures of the forecast of the work that comes in.
const (
	// arrivalWindow is the time over which the work that comes in is averaged:
	// load turns from one queue to another within some seconds.
	arrivalWindow = 1200 * time.Millisecond
	// riseWindow is the shorter time whose average shows a rise first.
	riseWindow = 500 * time.Millisecond
	// noiseDeviations is how many standard deviations of the short average a rise
	// has to exceed: docs/DESIGN.md weighs 0, 0.5 and 1.
	noiseDeviations = 1.0
	// moveDuration is how long a host takes from the decision to its first task: a
	// second and a half for the move, and two tenths until it is listed and has
	// answered.
	moveDuration = 1700 * time.Millisecond
)

// average is a decayed mean of the work that comes in, in cores.
type average struct {
	window time.Duration
	rate   float64
	at     time.Time
}

// add counts work, in core-milliseconds, that came at a time, which may have
// passed.
func (a *average) add(work float64, came, now time.Time) {
	a.value(now)
	age := max(0, now.Sub(came))
	a.rate += work / float64(a.window.Milliseconds()) * math.Exp(-float64(age)/float64(a.window))
}

// value returns the mean as of now.
func (a *average) value(now time.Time) float64 {
	if d := now.Sub(a.at); d > 0 && !a.at.IsZero() {
		a.rate *= math.Exp(-float64(d) / float64(a.window))
	}
	a.at = now
	return a.rate
}

// arrivals are the work that comes in for one service.
type arrivals struct {
	long, short average
	// squares is the mean of the squares of the work of single jobs, from which
	// the chance in the short average is told.
	squares average
}

func newArrivals() *arrivals {
	return &arrivals{
		long:    average{window: arrivalWindow},
		short:   average{window: riseWindow},
		squares: average{window: riseWindow / 2},
	}
}

// add counts the work of one job, in core-milliseconds.
func (a *arrivals) add(work float64, came, now time.Time) {
	a.long.add(work, came, now)
	a.short.add(work, came, now)
	a.squares.add(work*work, came, now)
}

// forecast returns the work that is to be expected once a host that is moved now
// takes tasks, in cores: what comes now or, where it rises by more than chance
// brings, what it will have risen to by then.
func (a *arrivals) forecast(now time.Time) float64 {
	long, short := a.long.value(now), a.short.value(now)
	chance := math.Sqrt(a.squares.value(now)*float64(a.squares.window.Milliseconds())) / float64(riseWindow.Milliseconds())
	rise := short - long - noiseDeviations*chance
	if rise <= 0 {
		return long
	}
	slope := rise / (arrivalWindow - riseWindow).Seconds()
	return short + slope*(riseWindow+moveDuration).Seconds()
}
