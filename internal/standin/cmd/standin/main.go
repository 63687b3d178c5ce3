// Command standin runs a stand-in for the platform, a target or a caller.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"amberway/internal/standin"
)

type args struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"run the platform"`
	Target   *targetArgs   `arg:"subcommand:target" help:"run a target"`
	Caller   *callerArgs   `arg:"subcommand:caller" help:"send a load, check the answers and print what became of them"`
}

type platformArgs struct {
	Listen []string      `arg:"--listen,separate,required" help:"NAME=IP:PORT of one listener"`
	Lag    time.Duration `arg:"--lag" help:"how far the host list is behind"`
	Reboot time.Duration `arg:"--reboot" default:"1s" help:"how long a reboot takes"`
}

type targetArgs struct {
	Name   string        `arg:"--name,required"`
	Listen string        `arg:"--listen,required" help:"IP:PORT"`
	Slots  int           `arg:"--slots" default:"8"`
	Run    time.Duration `arg:"--run" default:"5ms"`
}

type callerArgs struct {
	Entries    []string      `arg:"--entry,separate,required" help:"base URL of an entry host"`
	Path       string        `arg:"--path,required" help:"/SERVICE/JOB"`
	AtMostOnce bool          `arg:"--once" help:"the requests may not be repeated"`
	Count      int           `arg:"--count" default:"100"`
	Interval   time.Duration `arg:"--interval" default:"10ms"`
	Timeout    time.Duration `arg:"--within" default:"2s"`
}

func runCaller(a *callerArgs) error {
	t := standin.NewCaller().Run(context.Background(), standin.Load{
		Entries: a.Entries, Count: a.Count, Interval: a.Interval,
		Requests: []standin.Request{{Path: a.Path, AtMostOnce: a.AtMostOnce, Timeout: a.Timeout}},
	})
	return json.NewEncoder(os.Stdout).Encode(t)
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	failed := make(chan error, 1)
	switch {
	case a.Platform != nil:
		runPlatform(a.Platform, failed)
	case a.Target != nil:
		t := standin.NewTarget(a.Target.Name, a.Target.Slots, a.Target.Run)
		serve(a.Target.Listen, t.Handler(), failed)
	case a.Caller != nil:
		return runCaller(a.Caller)
	default:
		return errors.New("no command given")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

func runPlatform(a *platformArgs, failed chan<- error) {
	p := standin.NewPlatform(nil)
	p.Lag = a.Lag
	p.RebootTime = a.Reboot
	for _, l := range a.Listen {
		name, addr, _ := strings.Cut(l, "=")
		serve(addr, p.Handler(name), failed)
	}
}

func serve(addr string, h http.Handler, failed chan<- error) {
	s := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { failed <- s.ListenAndServe() }()
}
