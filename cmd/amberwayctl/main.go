// Command amberwayctl is the command-line tool for operators.
package main

import (
	"os"

	"amberway/commands"
)

func main() {
	os.Exit(commands.RunTool(os.Args[1:], os.Stdout, os.Stderr))
}
