package tests

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/soak"
)

// soakSeeds are the seeds of every test run. Each has led to a violation before, with the given
// cause.
var soakSeeds = []struct {
	seed                                      uint64
	lasts                                     time.Duration
	crashing, lasting, lateHosts, evacuations bool
	cause                                     string
}{
	{1, 8 * time.Second, false, false, false, false, "a worker whose first clock is zero was considered expired, in 1 of 16 runs"},
	{2, 8 * time.Second, false, false, false, false, "a new owner waited for a host that had been removed for good and restarted no lasting task for 10.5 s"},
	{4000, 8 * time.Second, true, false, false, false, "a task that crashes its workers was restarted forever"},
	{7306, 15 * time.Second, true, false, false, false, "a healthy job failed because of the crash of a worker whose next incarnation ran it, in 1 of 2 runs"},
	{8120, 30 * time.Second, false, true, false, false, "a lasting run whose start was not answered was stopped while ready although another task of its step was unavailable, in one run"},
	{16001, 15 * time.Second, false, false, false, false, "three requests on keep-alive connections were lost in two planned stops that closed the connections while their callers paused"},
	{20000, 15 * time.Second, false, true, true, false, "a host was moved back by an order that arrived after a newer one with the same fence"},
	{30002, 20 * time.Second, false, false, false, true, "tasks were started in data centres that had been evacuated 9 s before"},
}

func TestSoakFindsNoViolation(t *testing.T) {
	for _, s := range soakSeeds {
		t.Run(fmt.Sprint("seed-", s.seed), func(t *testing.T) {
			r, err := soak.Do(soak.Options{Seed: s.seed, Duration: s.lasts, Entries: 4, Workers: 5, CrashingJobs: s.crashing, DisruptionBudgets: s.lasting, DelayMachineOrders: s.lateHosts, Evacuations: s.evacuations, BinDir: binaries, LogDir: t.TempDir(), Out: io.Discard})
			require.NoError(t, err)
			require.Empty(t, r.Violations, s.cause)
			require.Positive(t, r.Counts["succeeded"])
		})
	}
}

// Processes are started under the names of live ones, which stand still, are cut off, or go on.
func TestSoakWithNextProcessesFindsNoViolation(t *testing.T) {
	r, err := soak.Do(soak.Options{Seed: 61000, Duration: 10 * time.Second, Entries: 4, Workers: 5, NextProcesses: true, BinDir: binaries, LogDir: t.TempDir(), Out: io.Discard})
	require.NoError(t, err)
	require.Empty(t, r.Violations)
	require.Positive(t, r.Counts["predecessors replaced"])
}

// Workers are cut off one after the other for about as long as their lease. Without a spare pool, no
// move starts them anew, so that each has to be used again as it is.
func TestSoakWithoutSparePoolFindsNoViolation(t *testing.T) {
	r, err := soak.Do(soak.Options{Seed: 66000, Duration: 15 * time.Second, Entries: 4, Workers: 3, NoSparePool: true, BinDir: binaries, LogDir: t.TempDir(), Out: io.Discard})
	require.NoError(t, err)
	require.Empty(t, r.Violations)
	require.Positive(t, r.Counts["succeeded"])
}

// A lasting task runs on each machine of a pool, and waves take all of them: the task on a machine that is
// to be maintained has nowhere to go, and the jobs of the pool need the others.
func TestSoakWithSpreadTasksFindsNoViolation(t *testing.T) {
	r, err := soak.Do(soak.Options{Seed: 81000, Duration: 10 * time.Second, Entries: 4, Workers: 4, SpreadTasks: true, BinDir: binaries, LogDir: t.TempDir(), Out: io.Discard})
	require.NoError(t, err)
	require.Empty(t, r.Violations)
	require.Positive(t, r.Counts["succeeded"])
}

// Queues are sent to other pools while their jobs run, workers are cut off and the owner is killed.
func TestSoakWithReroutesFindsNoViolation(t *testing.T) {
	r, err := soak.Do(soak.Options{Seed: 72000, Duration: 10 * time.Second, Entries: 4, Workers: 4, Reroutes: true, BinDir: binaries, LogDir: t.TempDir(), Out: io.Discard})
	require.NoError(t, err)
	require.Empty(t, r.Violations)
	require.Positive(t, r.Counts["succeeded"])
}

// Recurring jobs have more times due than an owner could hold at once.
func TestSoakWithRecurringJobsFindsNoViolation(t *testing.T) {
	r, err := soak.Do(soak.Options{Seed: 73000, Duration: 10 * time.Second, Entries: 4, Workers: 5, RecurringJobs: true, BinDir: binaries, LogDir: t.TempDir(), Out: io.Discard})
	require.NoError(t, err)
	require.Empty(t, r.Violations)
	require.Positive(t, r.Counts["recurring"])
}

// Records of workers that do not exist outnumber the workers of each pool.
func TestSoakWithForeignRecordsFindsNoViolation(t *testing.T) {
	r, err := soak.Do(soak.Options{Seed: 74000, Duration: 10 * time.Second, Entries: 4, Workers: 5, ForeignRecords: true, BinDir: binaries, LogDir: t.TempDir(), Out: io.Discard})
	require.NoError(t, err)
	require.Empty(t, r.Violations)
	require.Positive(t, r.Counts["succeeded"])
}

// The store carries out writes that it has not answered seconds later, and callers cancel such jobs.
func TestSoakWithLateWritesFindsNoViolation(t *testing.T) {
	r, err := soak.Do(soak.Options{Seed: 75000, Duration: 10 * time.Second, Entries: 4, Workers: 5, LateWrites: true, BinDir: binaries, LogDir: t.TempDir(), Out: io.Discard})
	require.NoError(t, err)
	require.Empty(t, r.Violations)
	require.Positive(t, r.Counts["cancelled early"])
}
