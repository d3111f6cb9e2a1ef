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
		Name: "clovertrail-soak", Usage: "inject faults around entry boxes, and check the guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "target/clovertrail-node", Usage: "executable `FILE` of clovertrail-node"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds; each run uses the next one"},
			&cli.IntFlag{Name: "at-once", Value: 4, Usage: "maximum number of concurrent runs"},
			&cli.IntFlag{Name: "boxes", Usage: "number of entry boxes in a run; 0 selects the default"},
			&cli.IntFlag{Name: "targets", Usage: "number of targets in a run; 0 selects the default"},
			&cli.IntFlag{Name: "callers", Usage: "number of callers in a run; 0 selects the default"},
			&cli.BoolFlag{Name: "fatal", Usage: "send requests that crash each target that runs them"},
			&cli.BoolFlag{Name: "asks", Usage: "make targets request rest, and report in their responses that they are leaving"},
			&cli.BoolFlag{Name: "limits", Usage: "make targets state in their responses a limit for all boxes together"},
			&cli.BoolFlag{Name: "restores", Usage: "restore the store from older backups"},
			&cli.BoolFlag{Name: "evacuations", Usage: "evacuate data halls"},
			&cli.BoolFlag{Name: "outages", Usage: "stop a group of targets for seconds, with callers who return once when refused"},
			&cli.IntFlag{Name: "unframed", Usage: "`PERCENT` of the group's responses that end with their connections; the group is also cut off"},
			&cli.BoolFlag{Name: "pauses", Usage: "pause boxes while the group of --outages stands still"},
			&cli.BoolFlag{Name: "prompts", Usage: "send prompts that share a part which crashes targets, and sound ones"},
			&cli.BoolFlag{Name: "skews", Usage: "have a balancer hand most new connections of a hall, or of all, to one box at times"},
			&cli.BoolFlag{Name: "series", Usage: "send boxes signals, stops and changes in series, with callers that keep their connections open"},
			&cli.BoolFlag{Name: "crashes", Usage: "kill targets in processes of their own while they send responses that end with their connections"},
			&cli.IntFlag{Name: "connections", Usage: "number of further connections to each of these targets; 0 draws it"},
			&cli.BoolFlag{Name: "endless", Usage: "have targets send heads, bodies and events without end"},
			&cli.BoolFlag{Name: "late", Usage: "send streams to stopping boxes on connections that are kept"},
			&cli.BoolFlag{Name: "resumes", Usage: "resume streams at other boxes and targets while several of these are killed at once"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "duration of a run"},
			&cli.StringFlag{Name: "logs", Value: filepath.Join(os.TempDir(), "clovertrail-soak"), Usage: "`FOLDER` for settings files and logs"},
		},
		Action: run,
		Commands: []*cli.Command{{
			Name: "target", Usage: "serve as the target ID of a run until the standard input ends", ArgsUsage: "ID", Hidden: true,
			Action: func(_ context.Context, cmd *cli.Command) error {
				return soak.ServeTarget(cmd.Args().First(), os.Stdin, os.Stdout)
			},
		}},
	}
	return cmd.Run(ctx, os.Args)
}

// result is the report of the run of a seed, or its error.
type result struct {
	report soak.Report
	err    error
}

func run(ctx context.Context, cmd *cli.Command) error {
	program, err := os.Executable() // serves as targets too
	if err != nil {
		return err
	}
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
					TargetLimits: cmd.Bool("limits"), Restores: cmd.Bool("restores"), Evacuations: cmd.Bool("evacuations"), Outages: cmd.Bool("outages"), Series: cmd.Bool("series"),
					UnframedPercent: cmd.Int("unframed"), Pauses: cmd.Bool("pauses"),
					FatalPrompts: cmd.Bool("prompts"), Skews: cmd.Bool("skews"), LateRequests: cmd.Bool("late"), Resumes: cmd.Bool("resumes"),
					EndlessResponses: cmd.Bool("endless"),
					TargetCrashes:    cmd.Bool("crashes"), TargetProgram: program, Connections: cmd.Int("connections"),
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
	fmt.Printf("%d seeds, %d with violations\n", seeds, violated)
	if violated > 0 {
		return fmt.Errorf("guarantees were violated with %d of %d seeds", violated, seeds)
	}
	return nil
}

// printReport prints a report, and returns true if a guarantee was violated.
func printReport(r soak.Report) bool {
	fmt.Printf("seed %d: %d requests, %d served, %d actions, %d violations\n", r.Seed, r.Requests, r.Served, len(r.Actions), len(r.Violations))
	for _, x := range r.LimitSummaries {
		fmt.Println("  ", x)
	}
	for _, x := range append(r.SkewSummaries, r.PromptSummary, r.CrashSummary, r.LateSummary, r.ResumeSummary, r.EndlessSummary) {
		if x != "" {
			fmt.Println("  ", x)
		}
	}
	if r.OutageSummary != "" {
		fmt.Println("  ", r.OutageSummary)
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
