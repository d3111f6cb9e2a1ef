// Command clovertrail-node runs one of clovertrail's processes on the users' platform. It has no flags:
// the platform passes the path of the settings file in an environment variable. It does not link the
// command line library, which would cost each box memory (docs/design/platform.md).
package main

import (
	"fmt"
	"os"

	"clovertrail.dev/node"
)

// The exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintf(os.Stderr, "usage: %s=FILE clovertrail-node entry|agent\n", node.SettingsVariable)
		os.Exit(exitUsage)
	}
	if err := node.Main(os.Args[1], os.Getenv(node.SettingsVariable)); err != nil {
		fmt.Fprintln(os.Stderr, "clovertrail-node:", err)
		os.Exit(exitFailed)
	}
}
