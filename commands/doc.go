// Package commands holds what amberwayd and amberwayctl do: their settings,
// the wiring of the daemon's parts, and the commands of the tool.
package commands

// Version is the version of both programs.
const Version = "0.1.0"

// Exit codes of both programs.
const (
	// ExitOK says that all went well.
	ExitOK = 0
	// ExitFailed says that the command could not be done.
	ExitFailed = 1
	// ExitUsage says that settings or arguments are wrong.
	ExitUsage = 2
	// ExitConflict says that somebody else changed the configuration first.
	ExitConflict = 3
	// ExitInvalid says that the document has faults.
	ExitInvalid = 4
)
