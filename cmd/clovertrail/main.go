// Command clovertrail is the command line interface for operators.
package main

import (
	"context"
	"os"

	"clovertrail.dev/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
