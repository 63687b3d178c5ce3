package local

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"amberway/internal/loopback"
)

// Process is a process that this one has started.
type Process struct {
	Name string
	Cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// Build builds the programs into a directory below dir and returns that directory.
func Build(ctx context.Context, dir string) (string, error) {
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	bin := filepath.Join(dir, "bin")
	if err := os.MkdirAll(bin, 0o755); err != nil {
		return "", err
	}
	c := exec.CommandContext(ctx, "go", "build", "-o", bin+"/", "./cmd/...", "./internal/standin/cmd/...")
	c.Dir = root
	if out, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return bin, nil
}

func moduleRoot() (string, error) {
	d, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(d, "go.mod")); err == nil {
			return d, nil
		}
		if d == filepath.Dir(d) {
			return "", errors.New("no go.mod above the working directory")
		}
		d = filepath.Dir(d)
	}
}

// spawn starts a program whose output goes to the file NAME.log in dir. If maxDescriptors is not
// zero, it is the most descriptors that the program may have open.
func spawn(dir, program, name string, args []string, maxDescriptors int) (*Process, error) {
	f, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	c := exec.Command(program, args...)
	if maxDescriptors > 0 {
		set := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxDescriptors)
		c = exec.Command("sh", append([]string{"-c", set, program}, args...)...)
	}
	c.Stdout = f
	c.Stderr = f
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, Cmd: c, log: f, done: make(chan struct{})}
	go func() {
		_ = c.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return p.Cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	if p == nil || p.Cmd == nil || p.Cmd.Process == nil {
		return
	}
	_ = p.Cmd.Process.Kill()
	<-p.done
	_ = p.log.Close()
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits for the end of the process, for d at most, and returns its exit code.
func (p *Process) Wait(d time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.Cmd.ProcessState.ExitCode(), nil
	case <-time.After(d):
		return 0, fmt.Errorf("%s is still running after %s", p.Name, d)
	}
}

// callJSON sends a JSON body and decodes the JSON answer into v, unless that is nil.
func callJSON(method, u string, body, v any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, u, bytes.NewReader(b))
	if err != nil {
		return err
	}
	c := http.Client{Timeout: 5 * time.Second}
	res, err := c.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", u, res.StatusCode, strings.TrimSpace(string(out)))
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(out, v)
}

// waitFor calls f until it returns no error, for d at most, and returns its last error.
func waitFor(d time.Duration, f func() error) error {
	deadline := time.Now().Add(d)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Ports are chosen from below the kernel's ephemeral range, so that no outgoing connection
// takes one between its choice and its use.
const (
	firstPort = 20000
	portRange = 12000
)

var nextPort atomic.Int64

// listenAddr is the address on which all processes that this one starts listen.
var listenAddr = loopback.RandomAddr()

// freePort returns an address and port on which nothing listens at the moment and which this
// process has not returned before.
func freePort() (netip.AddrPort, error) {
	for range portRange {
		n := firstPort + nextPort.Add(1)%portRange
		a := netip.AddrPortFrom(listenAddr, uint16(n))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		return a, l.Close()
	}
	return netip.AddrPort{}, errors.New("no free port")
}
