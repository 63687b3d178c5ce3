// Command amberwayctl is the operators' tool.
package main

import (
	"os"

	"amberway/commands"
)

func main() {
	os.Exit(commands.RunTool(os.Args[1:], os.Stdout, os.Stderr))
}
