// Command jobs runs a small deployment that serves jobs, submits jobs while its owner is
// killed, the configuration changes and a wave maintains half of the machines, and prints
// the results.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"amberway/internal/local"
	"amberway/internal/standin/fleet"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "jobs:", err)
		os.Exit(1)
	}
}

// The load takes about fifteen seconds.
const (
	jobCount    = 150
	jobInterval = 100 * time.Millisecond
	waveNumber  = 1
	waveMaxDown = 2
	// jobTimeout bounds the time from a caller's first try to submit its job to its last poll.
	jobTimeout = 20 * time.Second
)

func run() error {
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "amberway-jobs")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin, err := local.Build(ctx, dir)
	if err != nil {
		return err
	}
	j, err := local.StartJobsDeployment(bin, dir, local.JobsOptions{Entries: 4, Workers: map[string]int{"blue": 4, "green": 4}, SpareMachines: 2})
	defer j.Stop()
	if err != nil {
		return err
	}
	r := &loadReport{finalStates: map[string]int{}, statusCodes: map[int]int{}}
	go injectFaults(ctx, j)
	r.runJobs(ctx, j)
	return r.print(j)
}

// injectFaults requests a wave, changes the configuration, kills the owner and restarts it.
func injectFaults(ctx context.Context, j *local.JobsDeployment) {
	wait := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	if !wait(2 * time.Second) {
		return
	}
	names := j.Fleet.Names("")
	printEvent("a wave over half of the machines", j.Fleet.RequestWave(waveNumber, names[:len(names)/2], 20*time.Second, waveMaxDown))
	if !wait(3 * time.Second) {
		return
	}
	printEvent("one more queue", j.Configure("violet"))
	o := j.Owner()
	if o == nil || !wait(2*time.Second) {
		return
	}
	o.Kill()
	printEvent(o.Name+" owned the jobs and is killed", nil)
	if wait(3 * time.Second) {
		printEvent(o.Name+" starts again", j.Launch(o))
	}
}

func printEvent(what string, err error) {
	if err != nil {
		fmt.Println(what+":", err)
		return
	}
	fmt.Println(what)
}

// loadReport collects the results of all jobs.
type loadReport struct {
	mu          sync.Mutex
	finalStates map[string]int
	statusCodes map[int]int
	maxDuration time.Duration
}

func (r *loadReport) runJobs(ctx context.Context, j *local.JobsDeployment) {
	var wg sync.WaitGroup
	for n := range jobCount {
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { r.runJob(j, n) })
		time.Sleep(jobInterval)
	}
	wg.Wait()
}

// runJob submits one job, trying the next entry host after each failure, and polls its state
// until it is final.
func (r *loadReport) runJob(j *local.JobsDeployment, n int) {
	queue := []string{"blue", "green"}[n%2]
	id := fmt.Sprintf("%016x", n+1)
	job := fleet.Job{Spec: "400ms", Steps: []fleet.Step{
		{Count: 3, CPU: 1000, MemMB: 100, EstimateMs: 400},
		{Count: 2, CPU: 1500, MemMB: 100, EstimateMs: 400, After: []int{0}},
	}}
	start := time.Now()
	for i := 0; time.Since(start) < jobTimeout; i++ {
		code, _, err := j.Entries[(n+i)%len(j.Entries)].Call(http.MethodPost, queue, id, job)
		r.recordStatus(code)
		if err == nil && code == http.StatusOK {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	state := "unknown"
	for i := 0; time.Since(start) < jobTimeout; i++ {
		code, body, err := j.Entries[(n+i)%len(j.Entries)].Call(http.MethodGet, queue, id, nil)
		if err == nil && code == http.StatusOK && body != `{"state":"queued"}` && body != `{"state":"running"}` {
			state = body
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finalStates[state]++
	r.maxDuration = max(r.maxDuration, time.Since(start))
}

func (r *loadReport) recordStatus(code int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statusCodes[code]++
}

func (r *loadReport) print(j *local.JobsDeployment) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for s, n := range r.finalStates {
		fmt.Fprintf(w, "jobs that ended as %s\t%d\n", s, n)
	}
	for c, n := range r.statusCodes {
		fmt.Fprintf(w, "answers with status %d (0: none)\t%d\n", c, n)
	}
	fmt.Fprintf(w, "runs started\t%d of %d needed\n", j.Fleet.Checker.StartCount(), 5*jobCount)
	fmt.Fprintf(w, "slowest job\t%s\n", r.maxDuration.Round(time.Millisecond))
	fmt.Fprintf(w, "moves between pools\t%d\n", j.Fleet.Moves())
	fmt.Fprintf(w, "wave\t%s, at most %d machines down at once\n", j.Fleet.WaveState(waveNumber), j.Fleet.MaxDown(waveNumber))
	fmt.Fprintf(w, "calls to the store\t%d\n", j.Fleet.Store.Calls())
	if err := w.Flush(); err != nil {
		return err
	}
	if l := j.Fleet.Checker.Violations(); len(l) > 0 {
		return fmt.Errorf("violations: %q", l)
	}
	if r.finalStates[`{"state":"succeeded"}`] != jobCount {
		return fmt.Errorf("not all of %d jobs succeeded", jobCount)
	}
	return nil
}
