package standin

import "syscall"

// errRefused is the error of a dial to an address where no process listens.
var errRefused = syscall.ECONNREFUSED
