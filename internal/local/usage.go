package local

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the CPU time, user and system.
	CPU           time.Duration
	ResidentBytes int64
	// PeakResidentBytes is the most resident memory so far.
	PeakResidentBytes int64
	// Descriptors is the number of open descriptors.
	Descriptors int
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
	u.PeakResidentBytes = 1024 * procField(dir+"status", "VmHWM:")
	fds, err := os.ReadDir(dir + "fd")
	if err != nil {
		return Usage{}, err
	}
	u.Descriptors = len(fds)
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

// tcpListening is the state of a listening socket in /proc/net/tcp.
const tcpListening = "0A"

// UnreadBytes returns how many bytes have arrived at the given addresses, which are of IPv4, and
// are not yet read. They are kept in the memory of the machine, not of the process.
func UnreadBytes(at ...netip.AddrPort) (int64, error) {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	var l []string
	for _, a := range at {
		ip := a.Addr().As4()
		l = append(l, fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port()))
	}
	var sum int64
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 5 || f[3] == tcpListening || !slices.Contains(l, f[1]) {
			continue
		}
		_, unread, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		sum += n
	}
	return sum, nil
}
