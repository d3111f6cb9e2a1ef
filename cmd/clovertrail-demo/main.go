// Command clovertrail-demo runs the whole system on loopback under a workload with faults, and prints
// the results:
//
//	go run ./cmd/clovertrail-demo
//	go run ./cmd/clovertrail-demo --workload examples/workloads/matchday.json --seeds 3 --log demo.log
//	go run ./cmd/clovertrail-demo --stay
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"

	"clovertrail.dev/demo"
	"clovertrail.dev/local"
)

func main() {
	if err := command(); err != nil {
		fmt.Fprintln(os.Stderr, "clovertrail-demo:", err)
		os.Exit(1)
	}
}

func command() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	cmd := &cli.Command{
		Name: "clovertrail-demo", Usage: "run the whole system on loopback under a workload with faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Usage: "workload `FILE`; by default a short workload with one fault of each kind"},
			&cli.IntFlag{Name: "seconds", Usage: "time for which requests are sent, instead of the time in the workload; the times of faults are scaled"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed from which the requests of the first run are drawn"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of runs; each uses the next seed"},
			&cli.StringFlag{Name: "log", Usage: "`FILE` for the log lines of all processes, as input of clovertrail report and explain"},
			&cli.BoolFlag{Name: "stay", Usage: "keep the system running after the run until interrupted"},
		},
		Action: run,
	}
	return cmd.Run(ctx, os.Args)
}

func run(ctx context.Context, c *cli.Command) error {
	w := demo.DefaultWorkload()
	if file := c.String("workload"); file != "" {
		var err error
		if w, err = demo.ReadWorkload(file); err != nil {
			return err
		}
	}
	if n := c.Int("seconds"); n > 0 {
		w = w.Shortened(n)
	}
	var log io.Writer
	if name := c.String("log"); name != "" {
		f, err := os.Create(name)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // a failed write leaves the log incomplete, which its reader sees
		log = f
	}
	for i := range max(c.Int("seeds"), 1) {
		if err := play(ctx, c, w, c.Uint64("seed")+uint64(i), log); err != nil {
			return err
		}
	}
	return nil
}

func play(ctx context.Context, c *cli.Command, w demo.Workload, seed uint64, log io.Writer) error {
	fmt.Printf("seed %d: %d entry boxes, %d targets and %d ranks in %d data halls, %d s\n", seed, w.Entries, w.Targets, w.Ranks, w.Halls, w.Seconds)
	var afterRun func(*local.System)
	if c.Bool("stay") {
		afterRun = func(s *local.System) {
			demo.PrintAddresses(os.Stdout, s)
			<-ctx.Done()
		}
	}
	result, err := demo.Play(ctx, w, seed, log, func(text string) { fmt.Println(text) }, afterRun)
	if err != nil {
		return err
	}
	result.Print(os.Stdout)
	return result.Violation()
}
