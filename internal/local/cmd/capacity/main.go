// Command capacity measures the resources that an entry host uses without any requests, at
// several numbers of entry hosts, hosts and pools, and how long a configuration takes to be in
// force everywhere.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"amberway/internal/local"
	"amberway/platform"
)

// size is the size of one measured deployment.
type size struct {
	entries int
	hosts   int
	pools   int
}

// warmUp is how long a deployment runs before the measurement, measureTime how long the
// measurement takes.
const (
	warmUp      = 4 * time.Second
	measureTime = 10 * time.Second
)

func main() {
	sizes := selectSizes([]size{
		{3, 100, 5},
		{9, 100, 5},
		{18, 100, 5},
		{36, 100, 5},
		{72, 100, 5},
		{3, 300, 5},
		{3, 1000, 5},
		{3, 100, 50},
		{3, 100, 259},
		{9, 1000, 259},
	})
	fmt.Println("entry hosts  hosts  pools  cpu % of a core  memory MB  KB/s  reads/s  writes/s  apply s")
	for _, s := range sizes {
		if err := measureSize(s); err != nil {
			fmt.Fprintln(os.Stderr, "capacity:", err)
			os.Exit(1)
		}
	}
}

func measureSize(s size) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	return local.Run(ctx, local.Options{DataCentres: []string{"north"}, Entries: s.entries}, func(ctx context.Context, d *local.Deployment) error {
		if err := d.SetHosts(ctx, hosts(s)); err != nil {
			return err
		}
		if _, err := d.Apply(ctx, document(s, 0), 0); err != nil {
			return err
		}
		time.Sleep(warmUp)
		return report(ctx, d, s)
	})
}

// selectSizes returns the sizes whose number of entry hosts is among the command line's
// arguments, or all sizes if there are none.
func selectSizes(l []size) []size {
	if len(os.Args) < 2 {
		return l
	}
	return slices.DeleteFunc(l, func(s size) bool { return !slices.Contains(os.Args[1:], fmt.Sprint(s.entries)) })
}

// hosts returns hosts for the platform's list. No processes stand behind them.
func hosts(s size) []platform.Host {
	l := make([]platform.Host, 0, s.hosts)
	for n := range s.hosts {
		l = append(l, platform.Host{
			Name: fmt.Sprintf("host-%05d", n), Address: netip.MustParseAddrPort("127.0.0.1:9"), DataCentre: "north",
			Rack: fmt.Sprint("rack-", n/4), Labels: map[string]string{"pool": poolName(n % s.pools)},
			Live: true, Boot: 1, Slots: 8, Connections: 64, Accelerators: 1,
		})
	}
	return l
}

func poolName(n int) string {
	return fmt.Sprintf("pool-%03d", n)
}

// document returns a configuration whose first pool needs the given number of available hosts.
// Configurations with different numbers differ only in this.
func document(s size, available int) []byte {
	names := make([]string, 0, s.pools)
	for n := range s.pools {
		names = append(names, poolName(n))
	}
	doc := string(local.Document([]string{"north"}, names, 0))
	return []byte(strings.Replace(doc, "north: 0", fmt.Sprintf("north: %d", available), 1))
}

// report measures the deployment and prints a line with the highest usage of any entry host.
func report(ctx context.Context, d *local.Deployment, s size) error {
	before := make([]local.Usage, len(d.Entries))
	for i, e := range d.Entries {
		u, err := e.Usage()
		if err != nil {
			return err
		}
		before[i] = u
	}
	statsBefore, err := d.Stats()
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(measureTime)
	seconds := time.Since(start).Seconds()
	var highest local.Usage
	for i, e := range d.Entries {
		u, err := e.Usage()
		if err != nil {
			return err
		}
		highest.CPU = max(highest.CPU, u.CPU-before[i].CPU)
		highest.IOBytes = max(highest.IOBytes, u.IOBytes-before[i].IOBytes)
		highest.ResidentBytes = max(highest.ResidentBytes, u.ResidentBytes)
	}
	statsAfter, err := d.Stats()
	if err != nil {
		return err
	}
	applyTime, err := d.Apply(ctx, document(s, 1), 1)
	if err != nil {
		return err
	}
	fmt.Printf("%11d  %5d  %5d  %15.2f  %9.1f  %4.1f  %7.1f  %8.2f  %7.3f\n", s.entries, s.hosts, s.pools,
		100*highest.CPU.Seconds()/seconds, float64(highest.ResidentBytes)/(1<<20), float64(highest.IOBytes)/seconds/1024,
		float64(statsAfter.Reads+statsAfter.Watches-statsBefore.Reads-statsBefore.Watches)/seconds, float64(statsAfter.Writes-statsBefore.Writes)/seconds, applyTime.Seconds())
	return nil
}
