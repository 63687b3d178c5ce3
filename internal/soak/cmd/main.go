// Command cmd runs the fault soak for one or several seeds and prints one line for each. It
// keeps the logs of runs with violations.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"amberway/internal/local"
	"amberway/internal/soak"
)

type options struct {
	Seed               uint64        `arg:"--seed" help:"first seed; the time if zero"`
	Runs               int           `arg:"--runs" default:"1" help:"how many seeds, one after the other"`
	Duration           time.Duration `arg:"--for" default:"20s" help:"how long faults are injected in each run"`
	Entries            int           `arg:"--entries" default:"4"`
	Workers            int           `arg:"--workers" default:"5" help:"machines in each of two pools"`
	CrashingJobs       bool          `arg:"--crashing" help:"hand in jobs that crash their workers"`
	DisruptionBudgets  bool          `arg:"--lasting" help:"hand in lasting jobs of which only some tasks may be away, with waves and a load by turns"`
	DelayMachineOrders bool          `arg:"--late-hosts" help:"carry out some orders to machines late, after newer ones"`
	Evacuations        bool          `arg:"--evacuations" help:"evacuate data centres"`
	NextProcesses      bool          `arg:"--next" help:"start processes under the names of entry hosts whose earlier process is alive"`
	NoSparePool        bool          `arg:"--no-spare" help:"no spare pool; cut workers off one after the other"`
	SpreadTasks        bool          `arg:"--spread" help:"no spare pool; a lasting task on each machine of a pool, and waves over all of them"`
	Reroutes           bool          `arg:"--reroute" help:"send the queues to other pools, with a third pool"`
	RecurringJobs      bool          `arg:"--recurring" help:"hand in recurring jobs of which all times are due"`
	ForeignRecords     bool          `arg:"--foreign" help:"put records of workers that do not exist"`
	LateWrites         bool          `arg:"--late-writes" help:"have the store carry out writes seconds later, and cancel jobs that were not answered"`
	LogDir             string        `arg:"--logs" help:"folder for the logs of broken runs; a temporary one if empty"`
	Quiet              bool          `arg:"--quiet" help:"no line for each fault"`
}

func main() {
	var o options
	arg.MustParse(&o)
	violated, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	if violated {
		os.Exit(1)
	}
}

// run runs all seeds and reports whether there was a violation.
func run(o options) (bool, error) {
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().Unix())
	}
	dir := o.LogDir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "amberway-soak"); err != nil {
			return false, err
		}
	}
	bin, err := local.Build(context.Background(), dir)
	if err != nil {
		return false, err
	}
	violated := false
	for s := o.Seed; s < o.Seed+uint64(o.Runs); s++ {
		v, err := runSeed(o, s, bin, filepath.Join(dir, fmt.Sprint("seed-", s)))
		if err != nil {
			return violated, err
		}
		violated = violated || v
	}
	if o.LogDir == "" && !violated {
		return false, os.RemoveAll(dir)
	}
	return violated, nil
}

// runSeed runs one seed and reports whether there was a violation.
func runSeed(o options, seed uint64, bin, dir string) (bool, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return false, err
	}
	var out io.Writer = os.Stdout
	if o.Quiet {
		out = io.Discard
	}
	r, err := soak.Do(soak.Options{Seed: seed, Duration: o.Duration, Entries: o.Entries, Workers: o.Workers, CrashingJobs: o.CrashingJobs, DisruptionBudgets: o.DisruptionBudgets, DelayMachineOrders: o.DelayMachineOrders, Evacuations: o.Evacuations, NextProcesses: o.NextProcesses, NoSparePool: o.NoSparePool, SpreadTasks: o.SpreadTasks, Reroutes: o.Reroutes, RecurringJobs: o.RecurringJobs, ForeignRecords: o.ForeignRecords, LateWrites: o.LateWrites, BinDir: bin, LogDir: dir, Out: out})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %-12d accepted %4d  succeeded %4d  refused %3d  not known %3d  cancelled %2d  crashing %2d  late starts %3d, of cancelled %2d  removed %d  replaced %d  ended at work %3d  late host orders %3d  evacuations %2d  next processes %2d, replacing %2d  runs %5d  broken %d\n",
		seed, r.Counts["accepted"], r.Counts["succeeded"], r.Counts["refused"], r.Counts["not known"],
		r.Counts["cancelled"], r.Counts["crashing"], r.Counts["late"], r.Counts["late and cancelled"], r.Counts["removed"], r.Counts["replaced"], r.Counts["ended at work"], r.Counts["late host orders"], r.Counts["evacuations"], r.Counts["next processes"], r.Counts["predecessors replaced"], r.Starts, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Println("  broken:", v)
	}
	if len(r.Violations) == 0 {
		return false, os.RemoveAll(dir)
	}
	fmt.Println("  logs:", dir)
	return true, nil
}
