package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"amberway/common"
	"amberway/job"
)

// entryTimeout bounds one call of the tool to an entry host.
const entryTimeout = 5 * time.Second

// entryArgs are the arguments of amberwayctl queues and teams.
type entryArgs struct {
	Entry string `arg:"--entry,env:AMBERWAY_ENTRY,required" help:"peers' listener of an entry host that serves jobs" placeholder:"IP:PORT"`
}

// explainArgs are the arguments of amberwayctl explain.
type explainArgs struct {
	entryArgs
	ID string `arg:"positional,required" help:"id of a job, 16 hexadecimal digits"`
}

// errNoOwner means that no entry host owns the jobs at the moment.
var errNoOwner = errors.New("no entry host owns the jobs at the moment; ask again in two seconds")

// errNoJob means that the entry host does not know the job.
var errNoJob = errors.New("no such job")

// queues shows queues, pools and waves as the owner knows them.
func (t *tool) queues(ctx context.Context, a *entryArgs) error {
	o, err := ownerOverview(ctx, a.Entry)
	if err != nil {
		return err
	}
	if t.args.JSON {
		return t.json(o)
	}
	fmt.Fprintf(t.out, "owner %s since revision %d, configuration %d\n\n", o.Owner.Name, o.Fence, o.Version)
	err = t.table(o, "QUEUE\tSERVICE\tWAITING\tRUNNING\tADMITTED\tCAUSE\tWAIT", func(w io.Writer) {
		for _, q := range o.Queues {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", q.Name, q.Service, q.Waiting, q.Running, formatAdmission(q.Limit))
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(t.out)
	err = t.table(o, "POOL\tWORKERS\tSILENT\tRUNS\tCORES\tOF\tMEMORY MB\tOF\tHOSTS\tALLOTTED\tWANTED\tFIRST CLASS", func(w io.Writer) {
		for _, p := range o.Pools {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Service, p.Workers, p.Silent, p.Runs,
				float64(p.Used.MilliCores)/1000, float64(p.Capacity.MilliCores)/1000, p.Used.MemoryMB, p.Capacity.MemoryMB,
				p.Held, p.Allotted, p.Wanted, p.FirstClass)
		}
	})
	if err != nil {
		return err
	}
	if err := t.evacuations(o); err != nil || len(o.Waves) == 0 {
		return err
	}
	fmt.Fprintln(t.out)
	return t.table(o, "WAVE\tLEFT\tDOWN\tBLOCKED\tENDS\tDONE", func(w io.Writer) {
		for _, v := range o.Waves {
			fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%s\t%t\n", v.Number, v.Left, v.Down, v.Blocked, v.EndsAt.Format(time.TimeOnly), v.Done)
		}
	})
}

// formatAdmission formats the columns of a queue's limit, which is nil if there is none.
func formatAdmission(l *job.LimitOverview) string {
	if l == nil {
		return "all\t-\t-"
	}
	return fmt.Sprintf("%.0f %%\t%s\t%.1f s", 100*l.Fraction, l.Cause, float64(l.WaitMS)/1000)
}

// evacuations shows the evacuated data centres, if there are any.
func (t *tool) evacuations(o job.Overview) error {
	if len(o.Evacuations) == 0 {
		return nil
	}
	fmt.Fprintln(t.out)
	return t.table(o, "EVACUATED\tSINCE REVISION\tWORKERS\tRUNS", func(w io.Writer) {
		for _, v := range o.Evacuations {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", v.DataCentre, v.Revision, v.Workers, v.Runs)
		}
	})
}

// teams shows teams as the owner knows them, with how many of their jobs the entry host
// a.Entry has refused.
func (t *tool) teams(ctx context.Context, a *entryArgs) error {
	entry, o, err := entryAndOwnerOverviews(ctx, a.Entry)
	if err != nil {
		return err
	}
	return t.table(o.Teams, "TEAM\tSHARE\tCORES\tCAP\tMEMORY MB\tCAP\tRUNNING\tWAITING\tBEYOND\tIN TIME\tLATE\tREFUSED HERE", func(w io.Writer) {
		for _, v := range o.Teams {
			fmt.Fprintf(w, "%s\t%g\t%.1f\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", v.Name, v.Weight,
				float64(v.Used.MilliCores)/1000, formatLimit(v.Cap.MilliCores, 1000), v.Used.MemoryMB, formatLimit(v.Cap.MemoryMB, 1),
				v.Running, v.Waiting, v.Beyond, v.InTime, v.Late, entry.Refused[v.Name])
		}
	})
}

// formatLimit formats the limit n in units of the given size; no limit is a hyphen.
func formatLimit(n, unit int64) string {
	if n == 0 {
		return "-"
	}
	return strconv.FormatFloat(float64(n)/float64(unit), 'f', -1, 64)
}

// explain shows what the owner knows of one job, or why the entry host a.Entry has refused
// it.
func (t *tool) explain(ctx context.Context, a *explainArgs) error {
	if _, ok := job.ParseID(a.ID); !ok {
		return fmt.Errorf("%q is no job id of 16 hexadecimal digits", a.ID)
	}
	o, err := ownerOverview(ctx, a.Entry)
	if err != nil {
		return err
	}
	var e job.Explanation
	err = fetch(ctx, o.Owner.Peer, "/explain/"+a.ID, &e)
	if errors.Is(err, errNoJob) {
		return t.explainRefusal(ctx, a, err)
	}
	if err != nil {
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

// explainRefusal shows why the entry host a.Entry has refused the job. If it has not,
// explainRefusal returns ownerErr, the error that the owner's answer gave.
func (t *tool) explainRefusal(ctx context.Context, a *explainArgs, ownerErr error) error {
	at, err := netip.ParseAddrPort(a.Entry)
	if err != nil {
		return ownerErr
	}
	var r job.Refusal
	if err := fetch(ctx, at, "/refused/"+a.ID, &r); err != nil {
		return ownerErr
	}
	if t.args.JSON {
		return t.json(r)
	}
	fmt.Fprintf(t.out, "job %s was refused at %s: %s\n", r.ID, r.At.Format(time.RFC3339Nano), r.Why)
	return nil
}

// ownerOverview returns the owner's overview. Any entry host can name the owner.
func ownerOverview(ctx context.Context, entry string) (job.Overview, error) {
	_, o, err := entryAndOwnerOverviews(ctx, entry)
	return o, err
}

// entryAndOwnerOverviews returns the overviews of the entry host at the address and of the
// owner.
func entryAndOwnerOverviews(ctx context.Context, address string) (job.Overview, job.Overview, error) {
	var entry, owner job.Overview
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return entry, owner, fmt.Errorf("--entry: %q is no IP number with a port", address)
	}
	if err := fetch(ctx, at, "/overview", &entry); err != nil {
		return entry, owner, err
	}
	if entry.Owner.Name == "" {
		return entry, owner, errNoOwner
	}
	if entry.Owner.Name == entry.Name {
		return entry, entry, nil
	}
	return entry, owner, fetch(ctx, entry.Owner.Peer, "/overview", &owner)
}

// fetch gets the JSON document at the path from an entry host and decodes it into v.
func fetch(ctx context.Context, at netip.AddrPort, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	r, err := common.NewHTTPClient(common.Limits{MaxIdlePerAddress: 1, MaxIdle: 1}).Call(ctx, common.Request{Method: http.MethodGet, Address: at, Path: path})
	if err != nil {
		return fmt.Errorf("entry host %s: %w", at, err)
	}
	if r.Status == http.StatusNotFound {
		return fmt.Errorf("entry host %s: %w", at, errNoJob)
	}
	if r.Status != http.StatusOK {
		return fmt.Errorf("entry host %s: status %d", at, r.Status)
	}
	return json.Unmarshal(r.Body, v)
}
