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
		Name: "clovertrail-bench", Usage: "measure what the documents quote",
		Commands: []*cli.Command{
			{Name: "slopes", Usage: "what messages and decisions cost by size (docs/CAPACITY.md)", Action: func(context.Context, *cli.Command) error {
				return bench.Slopes(os.Stdout)
			}},
			{Name: "settings", Usage: "the reference of the settings (docs/SETTINGS.md)", Action: func(context.Context, *cli.Command) error {
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
