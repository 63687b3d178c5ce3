package job

import (
	"math"
	"time"
)

// Parameters of the forecast of arriving work.
const (
	// arrivalWindow is the time constant of the long average of arriving work. Load
	// shifts from one queue to another within some seconds.
	arrivalWindow = 1200 * time.Millisecond
	// riseWindow is the time constant of the short average, which shows a rise first.
	riseWindow = 500 * time.Millisecond
	// noiseDeviations is how many standard deviations of the short average a rise has to
	// exceed to count as one.
	noiseDeviations = 1.0
	// moveDuration is the time from the decision to move a host to its first task: 1.5 s
	// for the move, and 0.2 s until the worker is listed and has answered.
	moveDuration = 1700 * time.Millisecond
)

// average is an exponentially decaying average of arriving work, in cores.
type average struct {
	window time.Duration
	rate   float64
	at     time.Time
}

// add counts work, in core-milliseconds, that arrived at arrivedAt, which is now or earlier.
func (a *average) add(work float64, arrivedAt, now time.Time) {
	a.value(now)
	age := max(0, now.Sub(arrivedAt))
	a.rate += work / float64(a.window.Milliseconds()) * math.Exp(-float64(age)/float64(a.window))
}

// value returns the average as of now.
func (a *average) value(now time.Time) float64 {
	if d := now.Sub(a.at); d > 0 && !a.at.IsZero() {
		a.rate *= math.Exp(-float64(d) / float64(a.window))
	}
	a.at = now
	return a.rate
}

// arrivals tracks the work that arrives for one service.
type arrivals struct {
	long, short average
	// squares averages the squared work of single jobs. It gives the variance of the
	// short average.
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
func (a *arrivals) add(work float64, arrivedAt, now time.Time) {
	a.long.add(work, arrivedAt, now)
	a.short.add(work, arrivedAt, now)
	a.squares.add(work*work, arrivedAt, now)
}

// forecast returns the load to expect, in cores, by the time a host that is moved now runs
// tasks. If arrivals rise by more than random variation explains, the rise is extrapolated;
// otherwise the forecast is the long average.
func (a *arrivals) forecast(now time.Time) float64 {
	long, short := a.long.value(now), a.short.value(now)
	deviation := math.Sqrt(a.squares.value(now)*float64(a.squares.window.Milliseconds())) / float64(riseWindow.Milliseconds())
	rise := short - long - noiseDeviations*deviation
	if rise <= 0 {
		return long
	}
	slope := rise / (arrivalWindow - riseWindow).Seconds()
	return short + slope*(riseWindow+moveDuration).Seconds()
}
