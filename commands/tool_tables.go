package commands

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"amberway/admin"
	"amberway/config"
)

func (t *tool) showConfig(c admin.ActiveConfig) error {
	if t.args.JSON {
		return t.json(c)
	}
	b, err := yaml.Marshal(c.Document)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "# generation %d\n%s", c.Generation, b)
	return nil
}

// plan shows the effects that applying a document would have in the entry host's data
// centre.
func (t *tool) plan(ctx context.Context, a *fileArgs) error {
	b, err := readFile(a.File)
	if err != nil {
		return err
	}
	p, err := t.client.Preview(ctx, b)
	if err != nil {
		return err
	}
	return t.table(p, "MEASURE\tVALUE", func(w io.Writer) {
		fmt.Fprintf(w, "hosts moved\t%d\nhosts added\t%d\njobs moved\t%d\nbuffer hosts\t%d\ncost\t%.1f\n",
			p.HostMoves, p.HostsAdded, p.JobMoves, p.Buffer, p.Cost)
		for _, v := range p.Waves {
			fmt.Fprintf(w, "wave %s\t%d hosts, %d at once, about %s\n", v.Name, v.Hosts, v.AtOnce, v.RollOut)
		}
		for _, n := range slices.Sorted(maps.Keys(p.Unplaced)) {
			fmt.Fprintf(w, "job %s\t%s\n", n, p.Unplaced[n])
		}
		for _, n := range slices.Sorted(maps.Keys(p.Blocked)) {
			fmt.Fprintf(w, "host %s\t%s\n", n, p.Blocked[n])
		}
	})
}

func (t *tool) jobs(ctx context.Context) error {
	l, err := t.client.Jobs(ctx)
	if err != nil {
		return err
	}
	return t.table(l, "SERVICE\tJOB\tCLASS\tREPEATABLE\tREPLICAS\tHOSTS\tLACKS", func(w io.Writer) {
		for _, j := range l {
			fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%s\t%s\n", j.Service, j.Name, j.Class, j.Repeatable, j.Replicas,
				strings.Join(j.Hosts, " "), j.Unplaced)
		}
	})
}

func (t *tool) pools(ctx context.Context) error {
	l, err := t.client.Pools(ctx)
	if err != nil {
		return err
	}
	return t.table(l, "POOL\tTEAM\tHOSTS\tAVAILABLE\tNEED\tBUFFER\tLARGEST RACK", func(w io.Writer) {
		for _, p := range l {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", p.Name, p.Team, p.Hosts, p.Available, p.MinAvailable, p.Buffer, p.LargestRack)
		}
	})
}

func (t *tool) host(ctx context.Context, a *hostArgs) error {
	switch {
	case a.Drain != nil:
		return t.client.Hold(ctx, a.Drain.Name, true)
	case a.Release != nil:
		return t.client.Hold(ctx, a.Release.Name, false)
	}
	l, err := t.client.Hosts(ctx)
	if err != nil {
		return err
	}
	return t.table(l, "HOST\tPOOL\tSTATE\tRACK\tLIVE\tTERM\tWAVE\tWAITS FOR", func(w io.Writer) {
		for _, h := range l {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%d\t%s\t%s\n", h.Name, h.Pool, h.State, h.Rack, h.Live, h.Term, h.Wave, h.Blocked)
		}
	})
}

func (t *tool) wave(ctx context.Context, a *waveArgs) error {
	changes := []struct {
		args  *nameArgs
		state config.WaveState
	}{
		{a.Start, config.WaveRunning},
		{a.Pause, config.WavePaused},
		{a.Resume, config.WaveRunning},
		{a.Abort, config.WaveAborted},
	}
	for _, c := range changes {
		if c.args == nil {
			continue
		}
		start := time.Now()
		r, err := t.client.SetWave(ctx, c.args.Name, c.state)
		if err != nil {
			return err
		}
		return t.printApplied(r, start)
	}
	return t.waves(ctx)
}

func (t *tool) waves(ctx context.Context) error {
	l, err := t.client.Waves(ctx)
	if err != nil {
		return err
	}
	return t.table(l, "WAVE\tSTATE\tHOSTS\tDONE\tIN MAINTENANCE\tAWAY", func(w io.Writer) {
		for _, v := range l {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", v.Name, v.State, v.Hosts, v.Done,
				strings.Join(v.Maintenance, " "), strings.Join(v.Overdue, " "))
		}
	})
}

func (t *tool) status(ctx context.Context) error {
	s, err := t.client.Status(ctx)
	if err != nil {
		return err
	}
	return t.table(s, "ENTRY HOST\tDATA CENTRE\tSTATE\tGENERATION\tCALLERS", func(w io.Writer) {
		for _, m := range s.Members {
			g := "?"
			if n, ok := s.Generations[m.Name]; ok {
				g = fmt.Sprint(n)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", m.Name, m.DataCentre, m.State, g, m.Caller)
		}
	})
}
