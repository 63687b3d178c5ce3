// Command jobs runs a small deployment that serves jobs, hands jobs in while
// its owner is killed, the configuration changes and a wave maintains half of
// the machines, and prints what became of them.
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

// The load of the demo: two queues for some fifteen seconds.
const (
	jobCount    = 150
	jobInterval = 100 * time.Millisecond
	waveNumber  = 1
	waveCap     = 2
	// settleTime is how long jobs may take after the last was handed in.
	settleTime = 20 * time.Second
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
	j, err := local.StartJobs(bin, dir, local.JobsOptions{Entries: 4, Workers: map[string]int{"blue": 4, "green": 4}, Spare: 2})
	defer j.Stop()
	if err != nil {
		return err
	}
	t := &tally{final: map[string]int{}, codes: map[int]int{}}
	go disturb(ctx, j)
	t.load(ctx, j)
	return t.print(j)
}

// disturb kills the owner, changes the configuration and asks for a wave.
func disturb(ctx context.Context, j *local.Jobs) {
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
	report("a wave over half of the machines", j.Fleet.AskWave(waveNumber, names[:len(names)/2], 20*time.Second, waveCap))
	if !wait(3 * time.Second) {
		return
	}
	report("one more queue", j.Configure("violet"))
	o := j.Owner()
	if o == nil || !wait(2*time.Second) {
		return
	}
	o.Kill()
	report(o.Name+" owned the jobs and is killed", nil)
	if wait(3 * time.Second) {
		report(o.Name+" starts again", j.Launch(o))
	}
}

func report(what string, err error) {
	if err != nil {
		fmt.Println(what+":", err)
		return
	}
	fmt.Println(what)
}

type tally struct {
	mu    sync.Mutex
	final map[string]int
	codes map[int]int
	slow  time.Duration
}

func (t *tally) load(ctx context.Context, j *local.Jobs) {
	var wg sync.WaitGroup
	for n := range jobCount {
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { t.follow(j, n) })
		time.Sleep(jobInterval)
	}
	wg.Wait()
}

// follow hands one job in, at another entry host after no answer, and asks for
// its state until it is final.
func (t *tally) follow(j *local.Jobs, n int) {
	queue := []string{"blue", "green"}[n%2]
	id := fmt.Sprintf("%016x", n+1)
	job := fleet.Job{Spec: "400ms", Steps: []fleet.Step{
		{Count: 3, CPU: 1000, MemMB: 100, Estimate: 400},
		{Count: 2, CPU: 1500, MemMB: 100, Estimate: 400, After: []int{0}},
	}}
	begun := time.Now()
	for i := 0; time.Since(begun) < settleTime; i++ {
		code, _, err := j.Entries[(n+i)%len(j.Entries)].Call(http.MethodPost, queue, id, job)
		t.note(code)
		if err == nil && code == http.StatusOK {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	state := "unknown"
	for i := 0; time.Since(begun) < settleTime; i++ {
		code, body, err := j.Entries[(n+i)%len(j.Entries)].Call(http.MethodGet, queue, id, nil)
		if err == nil && code == http.StatusOK && body != `{"state":"queued"}` && body != `{"state":"running"}` {
			state = body
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.final[state]++
	t.slow = max(t.slow, time.Since(begun))
}

func (t *tally) note(code int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.codes[code]++
}

func (t *tally) print(j *local.Jobs) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for s, n := range t.final {
		fmt.Fprintf(w, "jobs that ended as %s\t%d\n", s, n)
	}
	for c, n := range t.codes {
		fmt.Fprintf(w, "answers with status %d (0: none)\t%d\n", c, n)
	}
	fmt.Fprintf(w, "runs begun\t%d of %d needed\n", j.Fleet.Books.Starts(), 5*jobCount)
	fmt.Fprintf(w, "slowest job\t%s\n", t.slow.Round(time.Millisecond))
	fmt.Fprintf(w, "moves between pools\t%d\n", j.Fleet.Moves())
	fmt.Fprintf(w, "wave\t%s, at most %d machines down at once\n", j.Fleet.WaveState(waveNumber), j.Fleet.MostDown(waveNumber))
	fmt.Fprintf(w, "calls to the store\t%d\n", j.Fleet.Store.Calls())
	if err := w.Flush(); err != nil {
		return err
	}
	if l := j.Fleet.Books.Broken(); len(l) > 0 {
		return fmt.Errorf("broken promises: %q", l)
	}
	if t.final[`{"state":"succeeded"}`] != jobCount {
		return fmt.Errorf("not all of %d jobs succeeded", jobCount)
	}
	return nil
}
