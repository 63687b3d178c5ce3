package job

import "time"

// Sizes of a history.
const (
	// historyStep is the width of one entry: the shortest turns of the load take
	// some seconds.
	historyStep = 500 * time.Millisecond
	// historySteps is how many are kept: two minutes.
	historySteps = 240
)

// history is the work that came in for one service over the last minutes, in cores
// for each historyStep.
type history struct {
	// last is the number of the newest entry, counted from 1970.
	last  int64
	cores [historySteps]float64
}

func stepOf(t time.Time) int64 {
	return t.UnixNano() / int64(historyStep)
}

// timeOf returns the middle of the entry with the number.
func timeOf(n int64) time.Time {
	return time.Unix(0, n*int64(historyStep)+int64(historyStep)/2)
}

// add counts work, in core-milliseconds, that came at the time.
func (h *history) add(work float64, came time.Time) {
	n := stepOf(came)
	h.reach(n)
	if n > h.last-historySteps {
		h.cores[n%historySteps] += work / float64(historyStep.Milliseconds())
	}
}

// reach makes the history go on until the entry with the number.
func (h *history) reach(n int64) {
	for i := max(h.last+1, n-historySteps+1); i <= n; i++ {
		h.cores[i%historySteps] = 0
	}
	h.last = max(h.last, n)
}

// at returns the cores of the entry with the number, 0 where none is kept.
func (h *history) at(n int64) float64 {
	if n > h.last || n <= h.last-historySteps {
		return 0
	}
	return h.cores[n%historySteps]
}

// centre returns the time by which half of the work between two times had come.
func (h *history) centre(from, to time.Time) time.Time {
	first, last := stepOf(from), stepOf(to)
	total := 0.0
	for n := first; n <= last; n++ {
		total += h.at(n)
	}
	sum := 0.0
	for n := first; n <= last; n++ {
		sum += h.at(n)
		if 2*sum >= total {
			return timeOf(n)
		}
	}
	return to
}
