package tests

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/soak"
)

// soakSeeds are the seeds that run in each check: one at large, and each that
// ever broke a promise, with its cause.
var soakSeeds = []struct {
	seed                         uint64
	lasts                        time.Duration
	crashing, lasting, lateHosts bool
	cause                        string
}{
	{1, 8 * time.Second, false, false, false, "a worker whose first clock is zero was taken for lapsed, in one of 16 plays"},
	{2, 8 * time.Second, false, false, false, "a next owner waited for a host that was removed for good and started no lasting task for 10.5 s"},
	{4000, 8 * time.Second, true, false, false, "a task that crashes its workers was started without end"},
	{7306, 15 * time.Second, true, false, false, "a sound job was given up for the crash of a worker whose next incarnation ran it, once in two plays"},
	{8120, 30 * time.Second, false, true, false, "a lasting run whose start was not answered was stopped at work while another of its step was away, in one play"},
	{16001, 15 * time.Second, false, false, false, "three requests on kept connections were lost in two planned stops that closed them while their callers paused"},
	{20000, 15 * time.Second, false, true, true, "a host was moved back by an order that came after a newer one of the same fence"},
}

func TestSoakFindsNoViolation(t *testing.T) {
	for _, s := range soakSeeds {
		t.Run(fmt.Sprint("seed-", s.seed), func(t *testing.T) {
			r, err := soak.Do(soak.Options{Seed: s.seed, Duration: s.lasts, Entries: 4, Workers: 5, CrashingJobs: s.crashing, DisruptionBudgets: s.lasting, DelayMachineOrders: s.lateHosts, BinDir: binaries, LogDir: t.TempDir(), Out: io.Discard})
			require.NoError(t, err)
			require.Empty(t, r.Violations, s.cause)
			require.Positive(t, r.Counts["succeeded"])
		})
	}
}
