// Command amberwayd is the daemon of an entry host.
package main

import (
	"os"

	"amberway/commands"
)

func main() {
	os.Exit(commands.RunDaemon(os.Args[1:], os.Stdout, os.Stderr))
}
