package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"amberway/common"
	"amberway/job"
)

// jobsTimeout bounds one question of the tool to an entry host.
const jobsTimeout = 5 * time.Second

// queuesArgs are the arguments of amberwayctl queues.
type queuesArgs struct {
	Entry string `arg:"--entry,env:AMBERWAY_ENTRY,required" help:"peers' listener of an entry host that serves jobs" placeholder:"IP:PORT"`
}

// explainArgs are the arguments of amberwayctl explain.
type explainArgs struct {
	queuesArgs
	ID string `arg:"positional,required" help:"id of a job, 16 hexadecimal digits"`
}

// errNoOwner says that nobody owns the jobs at the moment.
var errNoOwner = errors.New("no entry host owns the jobs at the moment; ask again in two seconds")

// queues shows queues, pools and waves as the owner knows them.
func (t *tool) queues(ctx context.Context, a *queuesArgs) error {
	o, err := overview(ctx, a.Entry)
	if err != nil {
		return err
	}
	if t.args.JSON {
		return t.json(o)
	}
	fmt.Fprintf(t.out, "owner %s since revision %d, configuration %d\n\n", o.Owner.Name, o.Fence, o.Version)
	err = t.table(o, "QUEUE\tSERVICE\tWAITING\tRUNNING", func(w io.Writer) {
		for _, q := range o.Queues {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", q.Name, q.Service, q.Waiting, q.Running)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(t.out)
	err = t.table(o, "POOL\tWORKERS\tSILENT\tRUNS\tCORES\tOF\tMEMORY MB\tOF", func(w io.Writer) {
		for _, p := range o.Pools {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\n", p.Service, p.Workers, p.Silent, p.Runs,
				float64(p.Used.MilliCores)/1000, float64(p.Capacity.MilliCores)/1000, p.Used.MemoryMB, p.Capacity.MemoryMB)
		}
	})
	if err != nil || len(o.Waves) == 0 {
		return err
	}
	fmt.Fprintln(t.out)
	return t.table(o, "WAVE\tLEFT\tDOWN\tENDS\tDONE", func(w io.Writer) {
		for _, v := range o.Waves {
			fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%t\n", v.Number, v.Left, v.Down, v.EndsAt.Format(time.TimeOnly), v.Done)
		}
	})
}

// explain shows what the owner knows of one job.
func (t *tool) explain(ctx context.Context, a *explainArgs) error {
	if _, ok := job.ParseID(a.ID); !ok {
		return fmt.Errorf("%q is no job id of 16 hexadecimal digits", a.ID)
	}
	o, err := overview(ctx, a.Entry)
	if err != nil {
		return err
	}
	var e job.Explanation
	if err := ask(ctx, o.Owner.Peer, "/explain/"+a.ID, &e); err != nil {
		return err
	}
	if t.args.JSON {
		return t.json(e)
	}
	fmt.Fprintf(t.out, "job %s of queue %s is %s; it came at %s\n", e.ID, e.Queue, e.State, e.CameAt.Format(time.RFC3339Nano))
	if e.Blocked != "" {
		fmt.Fprintf(t.out, "held back: %s\n", e.Blocked)
	}
	return t.table(e, "TIME\tSTEP\tDONE\tWAITS\tTASK\tRUN\tWORKER\tPERCENT", func(w io.Writer) {
		for _, s := range e.Steps {
			fmt.Fprintf(w, "%d\t%d\t%d of %d\t%s\n", s.Time, s.Step, s.Done, s.Tasks, s.Waits)
			for _, r := range s.Runs {
				fmt.Fprintf(w, "\t\t\t\t%s\t%d\t%s\t%d\n", r.Task, r.Run, r.Worker, r.Percent)
			}
		}
	})
}

// overview asks the owner for what it knows, by way of any entry host.
func overview(ctx context.Context, entry string) (job.Overview, error) {
	var o job.Overview
	at, err := netip.ParseAddrPort(entry)
	if err != nil {
		return o, fmt.Errorf("--entry: %q is no IP number with a port", entry)
	}
	if err := ask(ctx, at, "/overview", &o); err != nil {
		return o, err
	}
	if o.Owner.Name == "" {
		return o, errNoOwner
	}
	if o.Owner.Name == o.Name {
		return o, nil
	}
	var owner job.Overview
	return owner, ask(ctx, o.Owner.Peer, "/overview", &owner)
}

func ask(ctx context.Context, at netip.AddrPort, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, jobsTimeout)
	defer cancel()
	r, err := common.NewExchange(common.Limits{PerAddress: 1, Total: 1}).Call(ctx, common.Request{Method: http.MethodGet, At: at, Path: path})
	if err != nil {
		return fmt.Errorf("entry host %s: %w", at, err)
	}
	if r.Status == http.StatusNotFound {
		return fmt.Errorf("entry host %s: no such job", at)
	}
	if r.Status != http.StatusOK {
		return fmt.Errorf("entry host %s: status %d", at, r.Status)
	}
	return json.Unmarshal(r.Body, v)
}
