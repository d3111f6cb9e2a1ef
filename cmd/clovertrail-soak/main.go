// Command clovertrail-soak runs the soak for a number of seeds and reports violations of guarantees:
//
//	go build -o target/ ./cmd/clovertrail-node
//	go run ./cmd/clovertrail-soak --program target/clovertrail-node --seeds 50
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"clovertrail.dev/soak"
)

func main() {
	if err := command(); err != nil {
		fmt.Fprintln(os.Stderr, "clovertrail-soak:", err)
		os.Exit(1)
	}
}

func command() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	cmd := &cli.Command{
		Name: "clovertrail-soak", Usage: "break what is round entry boxes, and check the promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "target/clovertrail-node", Usage: "the built `FILE` of the boxes"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds"},
			&cli.IntFlag{Name: "at-once", Value: 4, Usage: "how many runs at once"},
			&cli.IntFlag{Name: "boxes", Usage: "how many entry boxes a run has"},
			&cli.IntFlag{Name: "targets", Usage: "how many targets a run has"},
			&cli.IntFlag{Name: "callers", Usage: "how many callers a run has"},
			&cli.BoolFlag{Name: "fatal", Usage: "a caller's request crashes each target that runs it"},
			&cli.BoolFlag{Name: "asks", Usage: "targets ask for rest, and say with their answers that they are leaving"},
			&cli.BoolFlag{Name: "limits", Usage: "targets name with their answers how much they take from all boxes together"},
			&cli.BoolFlag{Name: "restores", Usage: "the store comes back from older copies"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "how long a run takes"},
			&cli.StringFlag{Name: "logs", Value: filepath.Join(os.TempDir(), "clovertrail-soak"), Usage: "the `FOLDER` of settings and logs"},
		},
		Action: run,
	}
	return cmd.Run(ctx, os.Args)
}

// result is the report of the run of a seed, or its error.
type result struct {
	report soak.Report
	err    error
}

func run(ctx context.Context, cmd *cli.Command) error {
	seeds, first := cmd.Int("seeds"), cmd.Uint64("first")
	results := make(chan result, seeds)
	slots := make(chan struct{}, max(1, cmd.Int("at-once")))
	go func() {
		for n := range seeds {
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				seed := first + uint64(n)
				r, err := soak.Run(ctx, soak.Options{
					Program: cmd.String("program"), Seed: seed, Duration: cmd.Duration("for"),
					Boxes: cmd.Int("boxes"), Targets: cmd.Int("targets"), Callers: cmd.Int("callers"), FatalRequests: cmd.Bool("fatal"), TargetRequests: cmd.Bool("asks"),
					TargetLimits: cmd.Bool("limits"), Restores: cmd.Bool("restores"),
					Dir: filepath.Join(cmd.String("logs"), fmt.Sprintf("seed-%d", seed)),
				})
				results <- result{r, err}
			}()
		}
	}()
	violated := 0
	for range seeds {
		res := <-results
		if res.err != nil {
			return res.err
		}
		if printReport(res.report) {
			violated++
		}
	}
	fmt.Printf("%d seeds, %d with a promise broken\n", seeds, violated)
	if violated > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", violated, seeds)
	}
	return nil
}

// printReport prints a report, and returns true if a guarantee was violated.
func printReport(r soak.Report) bool {
	fmt.Printf("seed %d: %d requests, %d served, %d acts, %d violations\n", r.Seed, r.Requests, r.Served, len(r.Actions), len(r.Violations))
	for _, x := range r.LimitSummaries {
		fmt.Println("  ", x)
	}
	for _, v := range r.Violations {
		fmt.Printf("  %s: %s\n", v.Guarantee, v.Details)
	}
	if len(r.Violations) > 0 {
		for _, a := range r.Actions {
			fmt.Println("  ", a)
		}
	}
	return len(r.Violations) > 0
}
