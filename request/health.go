package request

import (
	"slices"
	"time"
)

// Rules by which a target is set aside.
const (
	// asideBelow is the share of successes below which a target is set aside.
	asideBelow = 0.4
	// asideSamples is the least number of outcomes to judge by.
	asideSamples = 3
	// asideFirst is how long a target stays aside at first; it doubles.
	asideFirst = time.Second
	// asideLongest bounds it.
	asideLongest = 30 * time.Second
	// asideShare is the largest part of a pool that may be aside at once.
	asideShare = 0.5
	// jobTargets is on how many targets a job has to fail, with no success in
	// between, to be taken for one that can never run.
	jobTargets = 3
)

// health is what is learned about one target's failures.
type health struct {
	ok      share
	backoff time.Duration
	// asideUntil is when the target is probed again; zero while in use.
	asideUntil time.Time
}

// jobHealth is what is learned about one job over all targets.
type jobHealth struct {
	run mean
	// failed are the targets on which it failed since its last success.
	failed []string
	// succeeded says that it ran at least once.
	succeeded bool
}

// note takes in one outcome of the job.
func (j *jobHealth) note(target string, ok bool) {
	if ok {
		j.succeeded = true
		j.failed = j.failed[:0]
		return
	}
	if !slices.Contains(j.failed, target) && len(j.failed) < jobTargets {
		j.failed = append(j.failed, target)
	}
}

// hopeless reports whether the job fails wherever it runs, so that a failure
// says nothing about the target.
func (j *jobHealth) hopeless() bool {
	return len(j.failed) >= jobTargets
}

// note takes in one outcome that speaks about the target. It reports whether
// the target should be set aside.
func (h *health) note(now time.Time, ok bool) bool {
	h.ok.add(ok)
	if ok || h.ok.samples < asideSamples || h.ok.value >= asideBelow {
		return false
	}
	h.backoff = asideFirst
	h.asideUntil = now.Add(h.backoff)
	return true
}

// probed ends a probe: one success brings the target back, a failure doubles
// its time aside. It reports whether the target stays aside.
func (h *health) probed(now time.Time, ok bool) bool {
	if ok {
		h.ok = newShare()
		h.asideUntil = time.Time{}
		return false
	}
	h.backoff = min(2*h.backoff, asideLongest)
	h.asideUntil = now.Add(h.backoff)
	return true
}

// aside reports whether the target gets nothing but probes.
func (h *health) aside() bool {
	return !h.asideUntil.IsZero()
}
