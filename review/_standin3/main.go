// Command standin3 plays the cases of the third review: the platform, the workers and the clients as
// stand-ins, and the entry hosts as processes. It is run by review/N/run.sh.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	ruleBroke = 1
	cannotRun = 2
)

// deployment is a running small deployment.
type deployment struct {
	*platform
	dir     string
	entries []*entry
	trouble bool
}

// cases are the cases by name. Each returns an error if it could not run.
var cases = map[string]func(*deployment) error{
	"gang":   gangCase,
	"advice": adviceCase,
	"wave":   waveCase,
	"memory": memoryCase,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer f.Close()
	dir := os.Getenv("KEEP_LOGS")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return cannotRun
		}
		defer os.RemoveAll(dir)
	}
	p, err := newPlatform(f)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	d := &deployment{platform: p, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer d.stop()
	go d.stopOnSignal()
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return cannotRun
	}
	if err := play(d); err != nil {
		d.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	l := d.checks.violations()
	if len(l) == 0 {
		d.logf("all rules held")
		fmt.Println("all rules held")
		return held
	}
	for _, v := range l[:min(len(l), 10)] {
		fmt.Printf("%s: %s\n", v.rule, v.what)
	}
	return ruleBroke
}

// startEntries starts the entry hosts and waits until all are ready and one owns the jobs.
func (d *deployment) startEntries(n int) error {
	for i := range n {
		e, err := d.newEntry(d.dir, i)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return d.await(20*time.Second, "the entry hosts to be ready", func() bool {
		ready := true
		for _, e := range d.entries {
			if e.hasEnded() {
				// Another process has taken one of its ports.
				_ = d.writeSettings(e)
				_ = e.start()
			}
			ready = e.isReady() && ready
		}
		return ready && d.owner(d.entries) != nil
	})
}

func (d *deployment) await(within time.Duration, what string, f func() bool) error {
	end := time.Now().Add(within)
	for !f() {
		if time.Now().After(end) {
			return fmt.Errorf("waited in vain for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// stop ends the processes.
func (d *deployment) stop() {
	for _, e := range d.entries {
		e.kill()
	}
}

// stopOnSignal ends the processes and this one on a signal.
func (d *deployment) stopOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	<-c
	d.stop()
	os.Exit(cannotRun)
}
