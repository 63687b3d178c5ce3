// Package tests runs whole deployments as processes and tests them under kills, freezes,
// outages and network partitions.
package tests

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/admin"
	"amberway/fleet"
	"amberway/internal/local"
	"amberway/internal/standin"
)

var binaries string

// How long tests wait for a condition, and how often they check it.
const (
	waitTimeout  = 5 * time.Second
	pollInterval = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "amberway-tests")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries, err = local.Build(context.Background(), dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startDeployment starts two data centres with two entry hosts and three targets each, every
// target in a rack of its own. There is one pool, which needs one available host in each data
// centre.
func startDeployment(t *testing.T) *local.Deployment {
	t.Helper()
	ctx := t.Context()
	d, err := local.Start(ctx, binaries, t.TempDir(), local.Options{
		DataCentres: []string{"north", "south"},
		Entries:     2,
		Targets:     map[string]int{"tint": 3},
		RackSize:    1,
	})
	t.Cleanup(d.Stop)
	require.NoError(t, err)
	_, err = d.Apply(ctx, document(d, 1), 0)
	require.NoError(t, err)
	require.NoError(t, d.WaitHosts(ctx, 10*time.Second, 3, inService))
	require.NoError(t, d.WaitReady())
	return d
}

func document(d *local.Deployment, available int) []byte {
	return local.Document(d.DataCentres, []string{"tint"}, available)
}

func inService(h admin.Host) bool {
	return h.State == fleet.InService
}

// load returns a load with requests of both classes and with requests that may not be repeated.
func load(d *local.Deployment, count int) standin.Load {
	return standin.Load{
		Entries: d.URLs(),
		Requests: []standin.Request{
			{Path: "/tint/quick", Timeout: 2 * time.Second},
			{Path: "/tint/once", Timeout: 8 * time.Second, AtMostOnce: true, RunTime: 20 * time.Millisecond},
			{Path: "/tint/patient", Timeout: 8 * time.Second, RunTime: 30 * time.Millisecond},
		},
		Count:    count,
		Interval: 5 * time.Millisecond,
	}
}

// requireConsistentRuns requires that no request that may not be repeated ran twice, and that
// the verdict that its caller got fits its runs.
func requireConsistentRuns(t *testing.T, d *local.Deployment, s standin.LoadReport) {
	t.Helper()
	runs, err := d.RunsByID()
	require.NoError(t, err)
	for id, v := range s.IDs {
		switch v {
		case "ran":
			require.Equal(t, 1, runs[id], id)
		case "not-run":
			require.Zero(t, runs[id], id)
		default:
			require.LessOrEqual(t, runs[id], 1, id)
		}
	}
	require.Zero(t, s.Mismatched)
}
