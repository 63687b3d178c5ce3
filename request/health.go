package request

import (
	"slices"
	"time"
)

// Rules for quarantining a target (outlier detection).
const (
	// minSuccessRate is the success rate below which a target is quarantined.
	minSuccessRate = 0.4
	// minQuarantineSamples is the least number of outcomes to judge by.
	minQuarantineSamples = 3
	// baseQuarantine is how long a target is quarantined at first; each failed probe
	// doubles that time.
	baseQuarantine = time.Second
	// maxQuarantine is the longest quarantine.
	maxQuarantine = 30 * time.Second
	// maxQuarantinedShare is the largest part of a pool that may be quarantined at once.
	maxQuarantinedShare = 0.5
	// failsEverywhereTargets is the number of targets on which a job has to fail, with no
	// success in between, to count as one that can never run.
	failsEverywhereTargets = 3
)

// health is what the scheduler has learned about one target's failures.
type health struct {
	success successRate
	backoff time.Duration
	// quarantinedUntil is when the target is probed again; zero while it is in use.
	quarantinedUntil time.Time
}

// jobHealth is what the scheduler has learned about one job over all targets.
type jobHealth struct {
	run ewma
	// failedOn are the targets on which the job failed since its last success.
	failedOn []string
	// succeeded says that the job ran at least once.
	succeeded bool
}

// record adds one outcome of the job.
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

// failsEverywhere reports whether the job fails wherever it runs, so that a failure says
// nothing about the target.
func (j *jobHealth) failsEverywhere() bool {
	return len(j.failedOn) >= failsEverywhereTargets
}

// record adds one outcome that says something about the target. It reports whether the
// target should be quarantined.
func (h *health) record(now time.Time, ok bool) bool {
	h.success.add(ok)
	if ok || h.success.samples < minQuarantineSamples || h.success.value >= minSuccessRate {
		return false
	}
	h.backoff = baseQuarantine
	h.quarantinedUntil = now.Add(h.backoff)
	return true
}

// endProbe ends a probe: a success brings the target back, a failure doubles the time of
// its quarantine. It reports whether the target stays quarantined.
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
