package local

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process has used.
type Usage struct {
	// CPU is processor time.
	CPU time.Duration
	// ResidentBytes is resident memory in bytes.
	ResidentBytes int64
	// IOBytes is bytes read and written, which for a daemon without files are
	// those of its connections.
	IOBytes int64
}

// clockTicks is the kernel's unit of processor time in /proc.
const clockTicks = 100

// Usage reads what the process has used so far.
func (p *Process) Usage() (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.Cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return Usage{}, err
	}
	f := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	u := Usage{CPU: time.Duration(user+system) * time.Second / clockTicks}
	u.ResidentBytes = 1024 * procField(dir+"status", "VmRSS:")
	u.IOBytes = procField(dir+"io", "rchar:") + procField(dir+"io", "wchar:")
	return u, nil
}

// procField returns the number behind a name in a file of /proc.
func procField(file, name string) int64 {
	b, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(b), "\n") {
		f := strings.Fields(l)
		if len(f) > 1 && f[0] == name {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			return n
		}
	}
	return 0
}
