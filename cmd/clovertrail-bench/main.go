// Command clovertrail-bench runs the measurements that docs/CAPACITY.md quotes, and generates the
// reference of the settings:
//
//	go run ./cmd/clovertrail-bench slopes
//	go run ./cmd/clovertrail-bench settings > docs/SETTINGS.md
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"clovertrail.dev/bench"
	"clovertrail.dev/cmd/internal/reference"
)

func main() {
	cmd := &cli.Command{
		Name: "clovertrail-bench", Usage: "run the measurements for docs/CAPACITY.md, and generate docs/SETTINGS.md",
		Commands: []*cli.Command{
			{Name: "slopes", Usage: "measure the cost of messages and decisions by size (docs/CAPACITY.md)", Action: func(context.Context, *cli.Command) error {
				return bench.Slopes(os.Stdout)
			}},
			{Name: "settings", Usage: "print the reference of the settings (docs/SETTINGS.md)", Action: func(context.Context, *cli.Command) error {
				text, err := reference.Settings(".")
				fmt.Print(text)
				return err
			}},
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "clovertrail-bench:", err)
		os.Exit(1)
	}
}
