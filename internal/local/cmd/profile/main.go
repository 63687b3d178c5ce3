// Command profile runs a deployment that serves jobs under a steady load and prints the
// owner's CPU time by category.
package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/google/pprof/profile"

	"amberway/internal/local"
	"amberway/internal/standin/fleet"
)

// options are the command line's options.
type options struct {
	Workers  int           `arg:"--workers" default:"350" help:"workers of the deployment, in four pools"`
	Jobs     float64       `arg:"--jobs" default:"60" help:"jobs handed in a second"`
	Tasks    int           `arg:"--tasks" default:"8" help:"tasks of a job"`
	TaskTime time.Duration `arg:"--run" default:"640ms" help:"what a task takes"`
	Duration time.Duration `arg:"--for" default:"8s" help:"how long the owner is profiled"`
	WarmUp   time.Duration `arg:"--settle" default:"4s" help:"how long the load runs before that; the owner moves idle workers to the spare pool meanwhile"`
	Output   string        `arg:"--keep" help:"file to keep the profile in" placeholder:"FILE"`
	BinDir   string        `arg:"--build" help:"folder with an amberwayd to run in place of this one" placeholder:"DIR"`
}

func main() {
	var o options
	arg.MustParse(&o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "profile:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "amberway-profile")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin := o.BinDir
	if bin == "" {
		if bin, err = local.Build(ctx, dir); err != nil {
			return err
		}
	}
	workers := map[string]int{}
	for _, p := range pools {
		workers[p] = o.Workers / len(pools)
	}
	j, err := local.StartJobsDeployment(bin, dir, local.JobsOptions{Entries: 3, Workers: workers, Profile: true})
	defer j.Stop()
	if err != nil {
		return err
	}
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	go submitJobs(load, j, o)
	time.Sleep(o.WarmUp)
	return profileOwner(j, o)
}

var pools = []string{"blue", "green", "red", "violet"}

// submitJobs submits jobs until the context ends.
func submitJobs(ctx context.Context, j *local.JobsDeployment, o options) {
	t := time.NewTicker(time.Duration(float64(time.Second) / o.Jobs))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		job := fleet.Job{Spec: o.TaskTime.String(), Steps: []fleet.Step{{Count: o.Tasks, CPU: 1500, MemMB: 500, EstimateMs: int(o.TaskTime.Milliseconds())}}}
		go func() {
			id := fmt.Sprintf("%016x", rand.Uint64())
			if code, _, err := j.Entry(n%3).Call(http.MethodPost, pools[n%len(pools)], id, job); err != nil || code != http.StatusOK {
				fmt.Fprintln(os.Stderr, "profile: job not accepted:", code, err)
			}
		}()
	}
}

// profileOwner profiles the owner and prints its CPU time by category.
func profileOwner(j *local.JobsDeployment, o options) error {
	owner := j.Owner()
	if owner == nil {
		return fmt.Errorf("nobody owns the jobs")
	}
	before, err := startCount(owner)
	if err != nil {
		return err
	}
	res, err := http.Get(fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", owner.Peers, int(o.Duration.Seconds())))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if o.Output != "" {
		if err := os.WriteFile(o.Output, b, 0o600); err != nil {
			return err
		}
	}
	after, err := startCount(owner)
	if err != nil {
		return err
	}
	p, err := profile.Parse(bytes.NewReader(b))
	if err != nil {
		return err
	}
	return printTable(sumByCategory(p), (after-before)/o.Duration.Seconds(), o)
}

// startCount returns the number of start orders in the owner's metrics.
func startCount(e *local.JobsEntry) (float64, error) {
	res, err := http.Get(fmt.Sprintf("http://%s/metrics", e.Peers))
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err
	}
	var n float64
	for line := range strings.Lines(string(b)) {
		if strings.HasPrefix(line, "amberway_jobs_orders_total") && strings.Contains(line, `kind="start"`) {
			f := strings.Fields(line)
			v, err := strconv.ParseFloat(f[len(f)-1], 64)
			if err != nil {
				return 0, err
			}
			n += v
		}
	}
	return n, nil
}

// categories are the categories of CPU time. A sample belongs to the first one whose function
// is on its stack. The names of functions in package job have to be kept in step with renames
// there.
var categories = []struct{ name, function string }{
	{"garbage", "runtime.gcBgMarkWorker"},
	{"garbage", "runtime.gcAssistAlloc"},
	{"log", "job.(*Logger)"},
	{"metrics", "job.(*metrics)"},
	{"start", "job.(*owner).startRun"},
	{"look", "job.(*owner).poll"},
	{"stop, pace", "job.(*owner).stopRun"},
	{"note of ends", "job.(*owner).writeStore"},
	{"placing", "job.(*Core).place"},
	{"pools and waves", "job.(*Core).reconcileMachines"},
	{"time passing", "job.Tick.apply"},
	{"other events", "job.(*Core).Step"},
	{"list of machines", "job.(*owner).listMachines"},
	{"following", "job.(*follower)"},
	{"connections: reading", "http.(*persistConn).readLoop"},
	{"connections: writing", "http.(*persistConn).writeLoop"},
	{"callers and peers", "http.(*conn).serve"},
	{"hand-out of actions", "job.(*owner).perform"},
	{"scheduler of the runtime", "runtime.schedule"},
	{"scheduler of the runtime", "runtime.mcall"},
	{"scheduler of the runtime", "runtime.mstart"},
}

// sumByCategory adds up the CPU time by category.
func sumByCategory(p *profile.Profile) map[string]time.Duration {
	all := map[string]time.Duration{}
	for _, s := range p.Sample {
		all[categoryOf(s)] += time.Duration(s.Value[len(s.Value)-1])
	}
	return all
}

func categoryOf(s *profile.Sample) string {
	for _, c := range categories {
		for _, l := range s.Location {
			if slices.ContainsFunc(l.Line, func(n profile.Line) bool { return strings.Contains(n.Function.Name, c.function) }) {
				return c.name
			}
		}
	}
	return "other"
}

func printTable(all map[string]time.Duration, perSecond float64, o options) error {
	var total time.Duration
	var names []string
	for n, d := range all {
		total += d
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(all[b], all[a]) })
	fmt.Printf("%d workers, %.0f starts a second, %.1f %% of a core, %.0f us a start\n\n", o.Workers, perSecond,
		100*total.Seconds()/o.Duration.Seconds(), total.Seconds()/o.Duration.Seconds()/max(1, perSecond)*1e6)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "for\tshare %\tms a second\t")
	for _, n := range names {
		fmt.Fprintf(w, "%s\t%.1f\t%.2f\t\n", n, 100*float64(all[n])/float64(total), all[n].Seconds()/o.Duration.Seconds()*1e3)
	}
	return w.Flush()
}
