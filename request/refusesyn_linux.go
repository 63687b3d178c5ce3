package request

import "syscall"

// Codes of a socket filter, and where it finds the flags of a TCP segment.
const (
	loadByte    = 0x30 // BPF_LD | BPF_B | BPF_ABS
	andConstant = 0x54 // BPF_ALU | BPF_AND | BPF_K
	ifEqual     = 0x15 // BPF_JMP | BPF_JEQ | BPF_K
	giveBack    = 0x06 // BPF_RET | BPF_K
	flagsAt     = 13
	synFlag     = 0x02
	ackFlag     = 0x10
	whole       = 0xffff
)

// dropSYN makes the listener ignore requests for new connections, whose callers
// send them again after a second. Connections that are being set up go on.
func dropSYN(fd int) error {
	//nolint:staticcheck // The package that takes its place is no dependency.
	return syscall.AttachLsf(fd, []syscall.SockFilter{
		{Code: loadByte, K: flagsAt},
		{Code: andConstant, K: synFlag | ackFlag},
		{Code: ifEqual, K: synFlag, Jt: 0, Jf: 1},
		{Code: giveBack, K: 0},
		{Code: giveBack, K: whole},
	})
}
