package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"amberway/admin"
	"amberway/config"
)

// toolArgs are the arguments of amberwayctl.
type toolArgs struct {
	Admin   string       `arg:"--admin,env:AMBERWAY_ADMIN_URL" default:"http://127.0.0.1:8081" help:"URL of an entry host's operators' listener" placeholder:"URL"`
	Token   string       `arg:"--token,env:AMBERWAY_ADMIN_TOKEN" help:"operator's token; better set by the variable" placeholder:"TOKEN"`
	JSON    bool         `arg:"--json" help:"print JSON instead of a table"`
	Config  *configArgs  `arg:"subcommand:config" help:"validate, apply or show the configuration"`
	Pool    *poolArgs    `arg:"subcommand:pool" help:"list pools with their budgets"`
	Host    *hostArgs    `arg:"subcommand:host" help:"list, drain or release hosts"`
	Job     *struct{}    `arg:"subcommand:job" help:"list jobs and the hosts that hold them"`
	Wave    *waveArgs    `arg:"subcommand:wave" help:"list waves, start, pause, resume or abort one"`
	Queues  *entryArgs   `arg:"subcommand:queues" help:"show queues, pools and waves of a deployment that serves jobs"`
	Teams   *entryArgs   `arg:"subcommand:teams" help:"show teams: share, cap, what runs, waits and was refused"`
	Explain *explainArgs `arg:"subcommand:explain" help:"show what is known of one job"`
	Status  *struct{}    `arg:"subcommand:status" help:"show the entry host and what it knows of the others"`
	Dump    *struct{}    `arg:"subcommand:dump" help:"print the whole state of the entry host"`
}

// Version returns what --version prints.
func (toolArgs) Version() string {
	return "amberwayctl " + Version
}

// Description returns the head of the help text.
func (toolArgs) Description() string {
	return "Operators' tool of amberway.\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 somebody else changed the configuration, 4 the document has faults."
}

type configArgs struct {
	Validate *fileArgs  `arg:"subcommand:validate" help:"check a document"`
	Plan     *fileArgs  `arg:"subcommand:plan" help:"show what a document comes to before it is applied"`
	Apply    *applyArgs `arg:"subcommand:apply" help:"put a document in force"`
	Show     *struct{}  `arg:"subcommand:show" help:"print the configuration in force"`
}

type fileArgs struct {
	File string `arg:"positional,required" help:"YAML document, or - for standard input"`
}

type applyArgs struct {
	fileArgs
	Base int64 `arg:"--base" default:"-1" help:"generation that the change was made from; the one in force if not given" placeholder:"N"`
	Wait bool  `arg:"--wait" help:"return once every live entry host has it in force"`
}

type poolArgs struct {
	List *struct{} `arg:"subcommand:list" help:"list pools"`
}

type hostArgs struct {
	List    *struct{} `arg:"subcommand:list" help:"list hosts"`
	Drain   *nameArgs `arg:"subcommand:drain" help:"drain a host and keep it so"`
	Release *nameArgs `arg:"subcommand:release" help:"let a drained host back"`
}

type waveArgs struct {
	List   *struct{} `arg:"subcommand:list" help:"list waves"`
	Start  *nameArgs `arg:"subcommand:start" help:"start a wave"`
	Pause  *nameArgs `arg:"subcommand:pause" help:"pause a wave"`
	Resume *nameArgs `arg:"subcommand:resume" help:"go on with a wave"`
	Abort  *nameArgs `arg:"subcommand:abort" help:"abort a wave"`
}

type nameArgs struct {
	Name string `arg:"positional,required"`
}

// tool is one run of amberwayctl.
type tool struct {
	args   toolArgs
	client *admin.Client
	out    io.Writer
}

// RunTool runs amberwayctl and returns its exit code.
func RunTool(args []string, out, errs io.Writer) int {
	var a toolArgs
	if code, ok := parseArgs(&a, "amberwayctl", args, out, errs); !ok {
		return code
	}
	u, err := url.Parse(a.Admin)
	if err != nil || u.Host == "" {
		fmt.Fprintf(errs, "amberwayctl: --admin: %q is no URL\n", a.Admin)
		return ExitUsage
	}
	t := &tool{args: a, client: admin.NewClient(u, a.Token), out: out}
	if err := t.run(context.Background()); err != nil {
		fmt.Fprintf(errs, "amberwayctl: %v\n", err)
		return exitCode(err)
	}
	return ExitOK
}

// errUsage means that no command was named.
var errUsage = merry.New("name a command; --help lists them")

func exitCode(err error) int {
	var f config.ValidationError
	var a *admin.APIError
	isAPI := errors.As(err, &a)
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.As(err, &f), isAPI && len(a.Violations) > 0:
		return ExitInvalid
	case isAPI && a.Current > 0:
		return ExitConflict
	}
	return ExitFailed
}

func (t *tool) run(ctx context.Context) error {
	switch a := t.args; {
	case a.Queues != nil:
		return t.queues(ctx, a.Queues)
	case a.Teams != nil:
		return t.teams(ctx, a.Teams)
	case a.Explain != nil:
		return t.explain(ctx, a.Explain)
	case a.Config != nil:
		return t.config(ctx, a.Config)
	case a.Pool != nil:
		return t.pools(ctx)
	case a.Host != nil:
		return t.host(ctx, a.Host)
	case a.Job != nil:
		return t.jobs(ctx)
	case a.Wave != nil:
		return t.wave(ctx, a.Wave)
	case a.Status != nil:
		return t.status(ctx)
	case a.Dump != nil:
		return t.client.Dump(ctx, t.out)
	}
	return errUsage
}

func (t *tool) config(ctx context.Context, a *configArgs) error {
	switch {
	case a.Validate != nil:
		return t.validate(a.Validate)
	case a.Plan != nil:
		return t.plan(ctx, a.Plan)
	case a.Apply != nil:
		return t.apply(ctx, a.Apply)
	case a.Show != nil:
		c, err := t.client.Config(ctx)
		if err != nil {
			return err
		}
		return t.showConfig(c)
	}
	return errUsage
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name) //nolint:gosec // The operator names the file.
}

func (t *tool) validate(a *fileArgs) error {
	b, err := readFile(a.File)
	if err != nil {
		return err
	}
	d, err := config.Parse(b)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%d pools, %d services, %d waves: no faults\n", len(d.Pools), len(d.Services), len(d.Waves))
	return nil
}

// Timeout and poll interval of apply --wait.
const (
	applyTimeout      = 30 * time.Second
	applyPollInterval = 100 * time.Millisecond
)

func (t *tool) apply(ctx context.Context, a *applyArgs) error {
	b, err := readFile(a.File)
	if err != nil {
		return err
	}
	if _, err := config.Parse(b); err != nil {
		return err
	}
	base := a.Base
	if base < 0 {
		c, err := t.client.Config(ctx)
		if err != nil {
			return err
		}
		base = c.Generation
	}
	start := time.Now()
	r, err := t.client.Apply(ctx, b, base)
	if err != nil {
		return err
	}
	if a.Wait {
		if err := t.waitInForce(ctx, r.Generation, start.Add(applyTimeout)); err != nil {
			return err
		}
	}
	return t.printApplied(r, start)
}

func (t *tool) printApplied(r admin.ApplyResult, start time.Time) error {
	if t.args.JSON {
		return t.json(struct {
			admin.ApplyResult
			Seconds float64 `json:"seconds"`
		}{r, time.Since(start).Seconds()})
	}
	fmt.Fprintf(t.out, "generation %d applied in %.3f s\n", r.Generation, time.Since(start).Seconds())
	return nil
}

// waitInForce returns once every live entry host has the generation in force. It fails if
// that is not so by the given time.
func (t *tool) waitInForce(ctx context.Context, gen int64, until time.Time) error {
	for time.Now().Before(until) {
		s, err := t.client.Status(ctx)
		if err == nil && inForce(s, gen) {
			return nil
		}
		time.Sleep(applyPollInterval)
	}
	return merry.Errorf("generation %d is applied, but not yet in force on every entry host", gen)
}

func inForce(s admin.Status, gen int64) bool {
	for _, m := range s.Members {
		if m.State > 1 {
			continue
		}
		if s.Generations[m.Name] < gen {
			return false
		}
	}
	return true
}

func (t *tool) json(v any) error {
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table prints the rows below the header, or v as JSON.
func (t *tool) table(v any, header string, rows func(w io.Writer)) error {
	if t.args.JSON {
		return t.json(v)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(w)
	return w.Flush()
}
