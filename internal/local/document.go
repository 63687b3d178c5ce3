package local

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"amberway/admin"
)

// Document returns a configuration document with a pool and a service for each name. Each
// service has a quick job, a patient one, and one that may not be repeated. The budget of
// each pool requires the given number of available hosts in each data centre.
func Document(dcs, names []string, available int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "operator: local\ndata_centres: [%s]\nteams:\n  - name: all\npools:\n", strings.Join(dcs, ", "))
	for _, n := range names {
		fmt.Fprintf(&b, "  - name: %s\n    team: all\n    select: {pool: [%s]}\n    budget:\n      available:\n", n, n)
		for _, dc := range dcs {
			fmt.Fprintf(&b, "        %s: %d\n", dc, available)
		}
	}
	b.WriteString("services:\n")
	for _, n := range names {
		fmt.Fprintf(&b, "  - name: %s\n    pool: %s\n    jobs:\n", n, n)
		b.WriteString("      - {name: quick, class: quick, repeatable: true, run_time: 5ms}\n")
		b.WriteString("      - {name: patient, class: patient, repeatable: true, run_time: 20ms, processors: 2, replicas: 2}\n")
		b.WriteString("      - {name: once, class: patient, repeatable: false, run_time: 20ms}\n")
	}
	fmt.Fprintf(&b, "waves:\n  - {name: kernel, pools: [%s], limit: 1}\n", strings.Join(names, ", "))
	return []byte(b.String())
}

// Apply applies a document as the generation after base and waits until every entry host has
// it. It returns how long that took.
func (d *Deployment) Apply(ctx context.Context, doc []byte, base int64) (time.Duration, error) {
	start := time.Now()
	r, err := d.Entries[0].Client().Apply(ctx, doc, base)
	if err != nil {
		return 0, err
	}
	return d.WaitGeneration(ctx, r.Generation, start)
}

// WaitGeneration waits until every entry host has the generation and returns the time since
// start.
func (d *Deployment) WaitGeneration(ctx context.Context, gen int64, start time.Time) (time.Duration, error) {
	err := waitFor(10*time.Second, func() error {
		for _, e := range d.Entries {
			c, err := e.Client().Config(ctx)
			if err != nil {
				return err
			}
			if c.Generation < gen {
				return fmt.Errorf("%s has generation %d, not %d", e.Name, c.Generation, gen)
			}
		}
		return nil
	})
	return time.Since(start), err
}

// WaitReady waits until every entry host reports that it is ready.
func (d *Deployment) WaitReady() error {
	return waitFor(10*time.Second, func() error {
		for _, e := range d.Entries {
			if err := callJSON(http.MethodGet, "http://"+e.Admin.String()+"/readyz", nil, nil); err != nil {
				return err
			}
		}
		return nil
	})
}

// WaitHosts waits until every entry host lists exactly n hosts for which f holds.
func (d *Deployment) WaitHosts(ctx context.Context, timeout time.Duration, n int, f func(admin.Host) bool) error {
	return waitFor(timeout, func() error {
		for _, e := range d.Entries {
			l, err := e.Client().Hosts(ctx)
			if err != nil {
				return err
			}
			if got := countHosts(l, f); got != n {
				return fmt.Errorf("%s has %d matching hosts, not %d", e.Name, got, n)
			}
		}
		return nil
	})
}

func countHosts(l []admin.Host, f func(admin.Host) bool) int {
	n := 0
	for _, h := range l {
		if f(h) {
			n++
		}
	}
	return n
}

// URLs returns the base URLs of the entry hosts.
func (d *Deployment) URLs() []string {
	var l []string
	for _, e := range d.Entries {
		l = append(l, e.URL())
	}
	return l
}

// DuplicateRuns returns the ids of requests that have run more than once, over all targets.
func (d *Deployment) DuplicateRuns() ([]string, error) {
	all, err := d.RunsByID()
	if err != nil {
		return nil, err
	}
	var l []string
	for id, n := range all {
		if n > 1 {
			l = append(l, id)
		}
	}
	return l, nil
}

// RunsByID returns how often the request with each id has run, over all targets.
func (d *Deployment) RunsByID() (map[string]int, error) {
	all := map[string]int{}
	for _, t := range d.Targets {
		r, err := t.Runs()
		if err != nil {
			return nil, err
		}
		for id, n := range r.ByID {
			all[id] += n
		}
	}
	return all, nil
}
