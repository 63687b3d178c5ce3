// Package commands implements amberwayd and amberwayctl: their settings, the wiring of
// the daemon's parts, and the commands of the tool.
package commands

// Version is the version of both programs.
const Version = "0.1.0"

// Exit codes of both programs.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that settings or arguments are wrong.
	ExitUsage = 2
	// ExitConflict means that somebody else changed the configuration first.
	ExitConflict = 3
	// ExitInvalid means that the document is invalid.
	ExitInvalid = 4
)
