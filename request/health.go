package request

import (
	"slices"
	"time"
)

// Rules by which a target is set aside.
const (
	// minSuccessRate is the share of successes below which a target is set aside.
	minSuccessRate = 0.4
	// minQuarantineSamples is the least number of outcomes to judge by.
	minQuarantineSamples = 3
	// baseQuarantine is how long a target stays aside at first; it doubles.
	baseQuarantine = time.Second
	// maxQuarantine bounds it.
	maxQuarantine = 30 * time.Second
	// maxQuarantinedShare is the largest part of a pool that may be aside at once.
	maxQuarantinedShare = 0.5
	// failsEverywhereTargets is on how many targets a job has to fail, with no success in
	// between, to be taken for one that can never run.
	failsEverywhereTargets = 3
)

// health is what is learned about one target's failures.
type health struct {
	success successRate
	backoff time.Duration
	// quarantinedUntil is when the target is probed again; zero while in use.
	quarantinedUntil time.Time
}

// jobHealth is what is learned about one job over all targets.
type jobHealth struct {
	run ewma
	// failedOn are the targets on which it failed since its last success.
	failedOn []string
	// succeeded says that it ran at least once.
	succeeded bool
}

// record takes in one outcome of the job.
func (j *jobHealth) record(target string, ok bool) {
	if ok {
		j.succeeded = true
		j.failedOn = j.failedOn[:0]
		return
	}
	if !slices.Contains(j.failedOn, target) && len(j.failedOn) < failsEverywhereTargets {
		j.failedOn = append(j.failedOn, target)
	}
}

// failsEverywhere reports whether the job fails wherever it runs, so that a failure
// says nothing about the target.
func (j *jobHealth) failsEverywhere() bool {
	return len(j.failedOn) >= failsEverywhereTargets
}

// record takes in one outcome that speaks about the target. It reports whether
// the target should be set aside.
func (h *health) record(now time.Time, ok bool) bool {
	h.success.add(ok)
	if ok || h.success.samples < minQuarantineSamples || h.success.value >= minSuccessRate {
		return false
	}
	h.backoff = baseQuarantine
	h.quarantinedUntil = now.Add(h.backoff)
	return true
}

// endProbe ends a probe: one success brings the target back, a failure doubles
// its time aside. It reports whether the target stays aside.
func (h *health) endProbe(now time.Time, ok bool) bool {
	if ok {
		h.success = newSuccessRate()
		h.quarantinedUntil = time.Time{}
		return false
	}
	h.backoff = min(2*h.backoff, maxQuarantine)
	h.quarantinedUntil = now.Add(h.backoff)
	return true
}

// quarantined reports whether the target gets nothing but probes.
func (h *health) quarantined() bool {
	return !h.quarantinedUntil.IsZero()
}
