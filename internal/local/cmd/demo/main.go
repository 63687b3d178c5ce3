// Command demo runs a small deployment, sends a load through it while the
// configuration changes, a target is drained and an entry host stops, and
// prints the results.
package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"amberway/admin"
	"amberway/fleet"
	"amberway/internal/local"
	"amberway/internal/standin"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	return local.Run(ctx, local.Options{
		DataCentres: []string{"north", "south"},
		Entries:     2,
		Targets:     map[string]int{"tint": 3, "recipes": 3},
		RackSize:    1,
	}, runDemo)
}

// loadCount and loadInterval make a load of about eight seconds.
const (
	loadCount    = 800
	loadInterval = 10 * time.Millisecond
)

func runDemo(ctx context.Context, d *local.Deployment) error {
	names := []string{"tint", "recipes"}
	first, err := d.Apply(ctx, local.Document(d.DataCentres, names, 0), 0)
	if err != nil {
		return err
	}
	inService := func(h admin.Host) bool { return h.State == fleet.InService }
	if err := d.WaitHosts(ctx, 10*time.Second, 6, inService); err != nil {
		return err
	}
	if err := d.WaitReady(); err != nil {
		return err
	}
	results := make(chan standin.LoadReport, 1)
	go func() { results <- standin.NewCaller().Run(ctx, load(d)) }()
	time.Sleep(time.Second)
	second, err := d.Apply(ctx, local.Document(d.DataCentres, names, 1), 1)
	if err != nil {
		return err
	}
	north := d.Entries[0].Client()
	if err := north.Hold(ctx, "tint-north-0", true); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if err := d.Entries[3].Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return report(ctx, d, <-results, first, second)
}

func load(d *local.Deployment) standin.Load {
	return standin.Load{
		Entries: d.URLs(),
		Requests: []standin.Request{
			{Path: "/tint/quick", Timeout: 2 * time.Second},
			{Path: "/recipes/patient", Timeout: 10 * time.Second, RunTime: 20 * time.Millisecond},
			{Path: "/recipes/quick", Timeout: 2 * time.Second},
			{Path: "/tint/once", Timeout: 10 * time.Second, AtMostOnce: true, RunTime: 20 * time.Millisecond},
		},
		Count:    loadCount,
		Interval: loadInterval,
	}
}

func report(ctx context.Context, d *local.Deployment, t standin.LoadReport, first, second time.Duration) error {
	duplicates, err := d.DuplicateRuns()
	if err != nil {
		return err
	}
	code, err := d.Entries[3].Wait(10 * time.Second)
	if err != nil {
		return err
	}
	status, err := d.Entries[0].Client().Status(ctx)
	if err != nil {
		return err
	}
	hosts, err := d.Entries[0].Client().Hosts(ctx)
	if err != nil {
		return err
	}
	rows := []struct {
		name  string
		value any
	}{
		{"sent", t.Sent},
		{"answered whole and in time", t.Answered},
		{"late", t.Late},
		{"refused as not run", t.NotRun},
		{"may have run", t.MayHaveRun},
		{"lost", t.Lost},
		{"crossed", t.Mismatched},
		{"doubled", len(duplicates)},
		{"jobs moved in the north", status.JobMoves},
		{"longest answer", t.MaxLatency.Round(time.Millisecond)},
		{"first configuration in force everywhere", first.Round(time.Millisecond)},
		{"second configuration in force everywhere", second.Round(time.Millisecond)},
		{"exit code of the stopped entry host", code},
	}
	for _, r := range rows {
		fmt.Printf("%-42s %v\n", r.name, r.value)
	}
	for _, h := range hosts {
		fmt.Printf("%-42s %s\n", "host "+h.Name, h.State)
	}
	if t.Lost+t.Mismatched+len(duplicates)+t.Late > 0 || t.Answered < t.Sent*9/10 || code != 0 {
		return fmt.Errorf("requests were lost, late, crossed or doubled, too few were answered, or the stopped entry host failed")
	}
	return nil
}
