package standin

import "syscall"

// errRefused is the error of a connection that no process listens for.
var errRefused = syscall.ECONNREFUSED
