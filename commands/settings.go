package commands

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"amberway/job"
)

// Settings are the settings of the daemon, from flags, environment variables and a file.
// A flag overrides a variable, and both override the file, whose keys are named like the
// flags.
type Settings struct {
	File       string   `arg:"--settings,env:AMBERWAY_SETTINGS" yaml:"-" help:"file with settings, as YAML or JSON" placeholder:"FILE"`
	Name       string   `arg:"--name,env:AMBERWAY_NAME" yaml:"name" help:"name of this entry host" placeholder:"NAME"`
	DataCentre string   `arg:"--data-centre,env:AMBERWAY_DATA_CENTRE" yaml:"data-centre" help:"data centre it stands in" placeholder:"NAME"`
	Callers    string   `arg:"--callers,env:AMBERWAY_CALLERS" yaml:"callers" help:"callers' listener" placeholder:"IP:PORT"`
	Admin      string   `arg:"--admin,env:AMBERWAY_ADMIN" yaml:"admin" help:"operators' listener" placeholder:"IP:PORT"`
	Peers      string   `arg:"--peers,env:AMBERWAY_PEERS" yaml:"peers" help:"listener for other entry hosts" placeholder:"IP:PORT"`
	Seeds      []string `arg:"--seed,separate,env:AMBERWAY_SEEDS" yaml:"seeds" help:"peers' listener of another entry host, for a start without the platform; may be given again" placeholder:"IP:PORT"`
	Platform   string   `arg:"--platform,env:AMBERWAY_PLATFORM" yaml:"platform" help:"URL of the platform's key-value service, to serve requests" placeholder:"URL"`
	HostList   string   `arg:"--host-list,env:AMBERWAY_HOST_LIST" yaml:"host-list" help:"URL of the platform's host list; that of --platform if not given" placeholder:"URL"`
	PeerToken  string   `arg:"--peer-token,env:AMBERWAY_PEER_TOKEN" yaml:"peer-token" help:"token that all entry hosts share; better set by the variable" placeholder:"TOKEN"`
	Tokens     []string `arg:"--admin-token,separate,env:AMBERWAY_ADMIN_TOKENS" yaml:"admin-tokens" help:"token of an operator; may be given again" placeholder:"TOKEN"`
	Store      string   `arg:"--store,env:AMBERWAY_STORE" yaml:"store" help:"platform's store of records and leases, to serve jobs instead of requests" placeholder:"IP:PORT"`
	Machines   string   `arg:"--machines,env:AMBERWAY_MACHINES" yaml:"machines" help:"platform's list of machines and orders to them; with --store" placeholder:"IP:PORT"`
	Advice     string   `arg:"--advice,env:AMBERWAY_ADVICE" yaml:"advice" help:"service that knows which workers may run a step; with --store" placeholder:"IP:PORT"`
	Ready      string   `arg:"--ready,env:AMBERWAY_READY" yaml:"ready" help:"listener that the balancer asks for readiness; with --store" placeholder:"IP:PORT"`
	LinkMbps   float64  `arg:"--link-mbps,env:AMBERWAY_LINK_MBPS" yaml:"link-mbps" help:"what the link of this host carries, in megabits a second: an owner sends no more, and hosts with less leave ownership to wider ones; with --store" placeholder:"NUMBER"`
	MemoryMB   float64  `arg:"--memory-mb,env:AMBERWAY_MEMORY_MB" yaml:"memory-mb" help:"what the daemon may take of this host's memory, in megabytes: requests hold a part of it" placeholder:"NUMBER"`
	OrderRate  float64  `arg:"--orders-per-second,env:AMBERWAY_ORDERS_PER_SECOND" yaml:"orders-per-second" help:"how many orders to machines the platform takes a second, from all entry hosts together; with --store" placeholder:"NUMBER"`
	Cores      float64  `arg:"--cores,env:AMBERWAY_CORES" yaml:"cores" help:"cores of this host that the daemon may use: hosts with few leave ownership to others; with --store" placeholder:"NUMBER"`
	Orders     string   `arg:"--orders,env:AMBERWAY_ORDERS" yaml:"orders" help:"how workers take orders: call; with --store" placeholder:"WAY"`
	Profile    bool     `arg:"--profile,env:AMBERWAY_PROFILE" yaml:"profile" help:"serve profiles of this process under /debug/pprof/, beside the metrics; with --store"`
	LogFormat  string   `arg:"--log-format,env:AMBERWAY_LOG_FORMAT" yaml:"log-format" help:"text or json" placeholder:"FORMAT"`
	LogLevel   string   `arg:"--log-level,env:AMBERWAY_LOG_LEVEL" yaml:"log-level" help:"error, warning, info or debug" placeholder:"LEVEL"`
	// The following are durations; deadlines are computed from them when a watch or the stop
	// begins.
	ConfigWithin     time.Duration `arg:"--config-within,env:AMBERWAY_CONFIG_WITHIN" yaml:"config-within" help:"time from the store's acknowledgement of a configuration until it has to be in force; with --store" placeholder:"TIME"`
	KeysWithin       time.Duration `arg:"--keys-within,env:AMBERWAY_KEYS_WITHIN" yaml:"keys-within" help:"how long a team's key that was taken away may go on working; if given, callers of queues that are not public need a key; with --store" placeholder:"TIME"`
	EvacuationWithin time.Duration `arg:"--evacuation-within,env:AMBERWAY_EVACUATION_WITHIN" yaml:"evacuation-within" help:"time from the store's acknowledgement of a data centre's evacuation until no task may start there; if given, an owner that cannot read the operator's keys for nearly as long holds starts back; with --store" placeholder:"TIME"`
	StopDelay        time.Duration `arg:"--stop-delay,env:AMBERWAY_STOP_DELAY" yaml:"stop-delay" help:"how long a stopping daemon takes requests while the balancer learns of it" placeholder:"TIME"`
	StopWithin       time.Duration `arg:"--stop-within,env:AMBERWAY_STOP_WITHIN" yaml:"stop-within" help:"how long a stopping daemon waits for requests in flight" placeholder:"TIME"`
}

// defaultSettings returns the settings that apply unless others are given.
func defaultSettings() Settings {
	return Settings{
		Callers:      "127.0.0.1:8080",
		Admin:        "127.0.0.1:8081",
		Peers:        "127.0.0.1:8082",
		Ready:        "127.0.0.1:8083",
		Cores:        1,
		Orders:       "call",
		LogFormat:    "text",
		LogLevel:     "info",
		ConfigWithin: job.DefaultConfigWithin,
		StopDelay:    time.Second,
		StopWithin:   time.Hour,
	}
}

// Version returns what --version prints.
func (Settings) Version() string {
	return "amberwayd " + Version
}

// Description returns the head of the help text.
func (Settings) Description() string {
	return "Entry host of amberway: serves callers, operators and other entry hosts."
}

// SettingsError lists everything wrong with the settings.
type SettingsError []string

// Error returns all messages, each on a line of its own.
func (e SettingsError) Error() string {
	return fmt.Sprintf("%d bad settings:\n  %s", len(e), strings.Join(e, "\n  "))
}

// parsedSettings holds the values of the settings that need parsing.
type parsedSettings struct {
	callers  netip.AddrPort
	admin    netip.AddrPort
	peers    netip.AddrPort
	seeds    []netip.AddrPort
	ready    netip.AddrPort
	store    netip.AddrPort
	machines netip.AddrPort
	advice   netip.AddrPort
	platform *url.URL
	hostList *url.URL
	level    logrus.Level
}

// check parses and checks the settings. Its error is a SettingsError with everything that
// is wrong.
func (s *Settings) check() (parsedSettings, error) {
	var c parsedSettings
	var e SettingsError
	report := func(format string, a ...any) { e = append(e, fmt.Sprintf(format, a...)) }
	s.checkRequired(report)
	c.callers = parseAddress("--callers", s.Callers, report)
	c.admin = parseAddress("--admin", s.Admin, report)
	c.peers = parseAddress("--peers", s.Peers, report)
	for _, v := range s.Seeds {
		c.seeds = append(c.seeds, parseAddress("--seed", v, report))
	}
	if s.Store != "" {
		s.checkJobSettings(&c, report)
	}
	c.platform = parseURL("--platform", s.Platform, report)
	c.hostList = c.platform
	if s.HostList != "" {
		c.hostList = parseURL("--host-list", s.HostList, report)
	}
	if s.LogFormat != "text" && s.LogFormat != "json" {
		report("--log-format: %q is neither text nor json", s.LogFormat)
	}
	var err error
	if c.level, err = logrus.ParseLevel(s.LogLevel); err != nil {
		report("--log-level: %q is no level", s.LogLevel)
	}
	if s.MemoryMB < 0 {
		report("--memory-mb: %g is below zero", s.MemoryMB)
	}
	if s.StopDelay < 0 || s.StopWithin <= 0 {
		report("--stop-delay may not be below zero, and --stop-within has to be above")
	}
	if len(e) == 0 {
		return c, nil
	}
	slices.Sort(e)
	return c, e
}

// checkRequired reports required settings that are missing.
func (s *Settings) checkRequired(report reportFunc) {
	needed := map[string]string{"--name": s.Name, "--data-centre": s.DataCentre}
	if s.Store == "" {
		needed["--platform"] = s.Platform
		needed["--peer-token"] = s.PeerToken
		if len(s.Tokens) == 0 || slices.Contains(s.Tokens, "") {
			report("--admin-token is needed and may not be empty")
		}
	}
	for n, v := range needed {
		if v == "" {
			report("%s is needed", n)
		}
	}
}

// minConfigWithin is the smallest valid ConfigWithin. A watch waits for half of ConfigWithin,
// and its answer may take another fifth. With a smaller value, watches would make more than
// four calls a second, and that fifth would be too short for most answers.
const minConfigWithin = 500 * time.Millisecond

// minEvacuationWithin is the smallest valid EvacuationWithin. A watch waits for half of it, and a
// start may take 0.8 s to reach its worker: with less, starts would be held back between watches.
const minEvacuationWithin = 2 * time.Second

// checkJobSettings parses and checks the settings that only a daemon for jobs needs.
func (s *Settings) checkJobSettings(c *parsedSettings, report reportFunc) {
	c.store = parseAddress("--store", s.Store, report)
	c.ready = parseAddress("--ready", s.Ready, report)
	c.machines = parseAddress("--machines", s.Machines, report)
	if s.Advice != "" {
		c.advice = parseAddress("--advice", s.Advice, report)
	}
	if s.Platform != "" {
		report("--store and --platform exclude each other: a daemon serves jobs or requests")
	}
	if s.ConfigWithin < minConfigWithin {
		report("--config-within: %s is below %s, in which no configuration is sure to be in force", s.ConfigWithin, minConfigWithin)
	}
	if s.EvacuationWithin != 0 && s.EvacuationWithin < minEvacuationWithin {
		report("--evacuation-within: %s is below %s, in which no evacuation is sure to be known", s.EvacuationWithin, minEvacuationWithin)
	}
	if s.KeysWithin != 0 && s.KeysWithin < s.ConfigWithin {
		report("--keys-within: %s is below --config-within, the time in which entry hosts learn of changed keys", s.KeysWithin)
	}
	if s.Cores <= 0 {
		report("--cores: %g is not above zero", s.Cores)
	}
	if s.LinkMbps < 0 {
		report("--link-mbps: %g is below zero", s.LinkMbps)
	}
	if s.OrderRate < 0 {
		report("--orders-per-second: %g is below zero", s.OrderRate)
	}
	if s.Orders != "call" {
		report("--orders: %q is not known; workers take orders by call only", s.Orders)
	}
}

// reportFunc adds a message to a SettingsError.
type reportFunc func(format string, a ...any)

func parseAddress(flag, v string, report reportFunc) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		report("%s: %q is no IP number with a port", flag, v)
	}
	return a
}

func parseURL(flag, v string, report reportFunc) *url.URL {
	u, err := url.Parse(v)
	if v == "" {
		return u
	}
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		report("%s: %q is no URL of http or https", flag, v)
	}
	return u
}

// parseArgs parses the arguments into dest. It returns false and the exit code if the
// program is to exit.
func parseArgs(dest any, program string, args []string, out, errs io.Writer) (int, bool) {
	p, err := arg.NewParser(arg.Config{Program: program, Out: errs}, dest)
	if err != nil {
		fmt.Fprintf(errs, "%s: %v\n", program, err)
		return ExitUsage, false
	}
	err = p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
		return ExitOK, false
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, program, Version)
		return ExitOK, false
	case err != nil:
		fmt.Fprintf(errs, "%s: %v\n", program, err)
		return ExitUsage, false
	}
	return ExitOK, true
}
