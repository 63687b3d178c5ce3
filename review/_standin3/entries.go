package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// entry is an entry host, the project's own program as a process.
type entry struct {
	name, zone, callers, ready, peers, file string
	log                                     *os.File
	cmd                                     *exec.Cmd
	done                                    chan struct{}
}

// settings are those of deploy/settings.yaml.
const settings = `name: "%s"
data-centre: "%s"
callers: "%s"
ready: "%s"
peers: "%s"
store: "%s"
machines: "%s"
advice: "%s"
cores: 0.4
link-mbps: 1000
memory-mb: 284
orders-per-second: 64
config-within: 2000ms
orders: "call"
log-format: json
log-level: info
stop-delay: 2500ms
stop-within: 4500ms
`

// freePort returns an address with a port on which nothing listens, below the ephemeral range.
func freePort() (string, error) {
	for range 1000 {
		a := fmt.Sprintf("127.0.0.1:%d", 18000+rand.IntN(12000))
		if l, err := net.Listen("tcp", a); err == nil {
			return a, l.Close()
		}
	}
	return "", errors.New("no free port")
}

// newEntry returns an entry host, and writes its settings.
func (p *platform) newEntry(dir string, i int) (*entry, error) {
	e := &entry{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zone: zones[i%len(zones)]}
	e.file = filepath.Join(dir, e.name+".yaml")
	return e, p.writeSettings(e)
}

// writeSettings writes the settings of an entry host, with ports that are free.
func (p *platform) writeSettings(e *entry) error {
	for _, a := range []*string{&e.callers, &e.ready, &e.peers} {
		var err error
		if *a, err = freePort(); err != nil {
			return err
		}
	}
	text := fmt.Sprintf(settings, e.name, e.zone, e.callers, e.ready, e.peers, p.storeAddr, p.cloudAddr, p.adviceAddr)
	return os.WriteFile(e.file, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (e *entry) start() error {
	if e.log == nil {
		f, err := os.OpenFile(strings.TrimSuffix(e.file, ".yaml")+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return err
		}
		e.log = f
	}
	e.cmd = exec.Command("target/amberwayd")
	// A machine of the deployment shows one core.
	e.cmd.Env = append(os.Environ(), "AMBERWAY_SETTINGS="+e.file, "GOMAXPROCS=1")
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	done, c := make(chan struct{}), e.cmd
	e.done = done
	go func() {
		_ = c.Wait()
		close(done)
	}()
	return nil
}

func (e *entry) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	e.signal(syscall.SIGKILL)
	<-e.done
}

// hasEnded reports whether the process has ended.
func (e *entry) hasEnded() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// call makes one call of a client. The status is 0 if there was no whole answer.
func (e *entry) call(method, path string, body any, timeout time.Duration) (int, string) {
	var b io.Reader
	if body != nil {
		j, _ := json.Marshal(body)
		b = bytes.NewReader(j)
	}
	r, err := http.NewRequest(method, "http://"+e.callers+path, b)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = callHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Amberway-Deadline", fmt.Sprint(timeout.Milliseconds()))
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	out, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, strings.TrimSpace(string(out))
}

// owner returns the entry host that owns the jobs, by the store.
func (p *platform) owner(l []*entry) *entry {
	b, ok := p.store.Value("jobs/owner")
	var o struct {
		Name string `json:"name"`
	}
	if !ok || json.Unmarshal(b, &o) != nil {
		return nil
	}
	for _, e := range l {
		if e.name == o.Name {
			return e
		}
	}
	return nil
}
