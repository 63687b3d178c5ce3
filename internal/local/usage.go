package local

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the CPU time, user and system.
	CPU           time.Duration
	ResidentBytes int64
	// IOBytes is how many bytes were read and written. For a daemon that uses no files they
	// are those of its connections.
	IOBytes int64
}

// clockTicks is the number of clock ticks per second, the unit of the CPU times in /proc.
const clockTicks = 100

// Usage reads the usage of the process so far.
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

// procField returns the number after a name in a file of /proc, or zero if there is none.
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
