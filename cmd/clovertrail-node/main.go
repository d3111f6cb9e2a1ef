// Command clovertrail-node runs one of clovertrail's processes on the users' platform. It has no flags:
// the platform passes the path of the settings file in an environment variable. It does not link the
// command line library, which would cost each box memory (docs/design/platform.md).
package main

import (
	"fmt"
	"os"
	"time"

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
		printError(err)
		os.Exit(exitFailed)
	}
}

// printTimeout bounds the wait for a standard error output whose reader stands still.
const printTimeout = 200 * time.Millisecond

func printError(err error) {
	printed := make(chan struct{})
	go func() {
		_, _ = fmt.Fprintln(os.Stderr, "clovertrail-node:", err) // there is no other output
		close(printed)
	}()
	select {
	case <-printed:
	case <-time.After(printTimeout):
	}
}
