package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	ucli "github.com/urfave/cli/v3"

	"clovertrail.dev/cli/logs"
)

// textPlotColumns is the width of a text plot without its scale; with the scale the plot fits into
// 80 columns.
const textPlotColumns = 68

func (a *app) explainCommand() *ucli.Command {
	return &ucli.Command{
		Name: "explain", Usage: "show the events of a request, and the state of its box when the request ended", ArgsUsage: "REQUEST LOG...",
		Action: a.explain,
	}
}

func (a *app) explain(_ context.Context, c *ucli.Command) error {
	if c.Args().Len() < 2 {
		return usageError{errors.New("explain requires the arguments REQUEST LOG... (- reads standard input)")}
	}
	set, err := readLogs(c.Args().Tail())
	if err != nil {
		return err
	}
	t, err := logs.Explain(set, c.Args().First())
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(a.out, "%s, on %s: %s\n\n", t.Request(), t.Box(), t.Cause())
	if err := a.print(eventTable(t)); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(a.out, "\nState of %s when the request ended:\n\n", t.Box())
	if err := a.print(factTable(t)); err != nil {
		return err
	}
	return a.printDamaged(set.Damaged())
}

// printDamaged prints the number of lines that could not be parsed, if there are any.
func (a *app) printDamaged(n int) error {
	if n == 0 {
		return nil
	}
	_, err := fmt.Fprintf(a.out, "\n%d lines could not be parsed and were skipped.\n", n)
	return err
}

// eventTable lists the log lines of a request.
func eventTable(t *logs.Timeline) table {
	out := table{header: []string{"TIME", "BOX", "LINE", "TARGET", "DETAILS"}}
	for _, l := range t.Lines() {
		details := ""
		for _, key := range []string{"attempt", "end", "next", "status", "kind", "err", "events", "pause", "first", "class", "place", "reason", "waited", "leaves_in", "after", "config"} {
			if v := l.Get(key); v != "" {
				details += key + "=" + strconv.Quote(v) + " "
			}
		}
		out.rows = append(out.rows, []string{l.At().Format("15:04:05.000"), l.Box(), l.Message(), l.Get("target"), details})
	}
	return out
}

// factTable lists the state of the box that logged the request last.
func factTable(t *logs.Timeline) table {
	out := table{header: []string{"WHAT", "FOR"}}
	for _, f := range t.Facts() {
		out.rows = append(out.rows, []string{f.Text(), f.Age().Round(time.Millisecond).String()})
	}
	return out
}

func (a *app) reportCommand() *ucli.Command {
	return &ucli.Command{
		Name: "report", Usage: "summarise logs: outcomes of requests, failed attempts, latency, map changes, overload", ArgsUsage: "LOG...",
		Flags:  []ucli.Flag{&ucli.StringFlag{Name: "svg", Usage: "also write the plots to `FILE` as SVG"}},
		Action: a.report,
	}
}

func (a *app) report(_ context.Context, c *ucli.Command) error {
	if c.Args().Len() < 1 {
		return usageError{errors.New("report requires the arguments LOG... (- reads standard input)")}
	}
	set, err := readLogs(c.Args().Slice())
	if err != nil {
		return err
	}
	r := logs.NewReport(set)
	if name := c.String("svg"); name != "" {
		if err := writeSVG(name, r); err != nil {
			return err
		}
	}
	lines, _ := r.Lines()
	from, to := r.Span()
	_, _ = fmt.Fprintf(a.out, "%d lines, %s from %s\n", lines, to.Sub(from).Round(time.Second), from.Format(time.RFC3339))
	tables := append(reportTables(r), overloadTables(r)...)
	if limits := set.LimitUsages(); len(limits) > 0 {
		tables = append(tables, limitTable(limits))
	}
	for _, t := range tables {
		_, _ = fmt.Fprintln(a.out)
		if err := a.print(t); err != nil {
			return err
		}
	}
	for _, textPlot := range r.TextPlots(textPlotColumns) {
		_, _ = fmt.Fprintf(a.out, "\n%s\n", textPlot)
	}
	return a.printDamaged(set.Damaged())
}

func reportTables(r *logs.Report) []table {
	latency := table{header: []string{"MS", "P50", "P95", "P99", "MOST", "OF"}}
	latency.rows = append(latency.rows, latencyRow("time to first byte", r.FirstByte()), latencyRow("longest pause of a stream", r.StreamPauses()))
	return []table{
		countTable("REQUESTS", r.Outcomes()), countTable("FAILED ATTEMPTS", r.FailedAttempts()), countTable("CHANGES OF MAPS", r.MapChanges()),
		latency,
	}
}

// overloadTables lists the requests refused at concurrency limits and the outcomes of waiting, where there are any.
func overloadTables(r *logs.Report) []table {
	var list []table
	if shed := r.Shed(); len(shed) > 0 {
		list = append(list, countTable("REFUSED AT CONCURRENCY LIMITS, BY CLASS", shed))
	}
	if waits := r.QueueOutcomes(); len(waits) > 0 {
		list = append(list, countTable("WAITS FOR A GROUP TO OPEN", waits))
	}
	return list
}

// limitTable compares the requests sent to targets that announced limits with the requests
// that the limits allowed.
func limitTable(list []logs.LimitUsage) table {
	t := table{header: []string{"TARGETS WITH LIMITS", "A SECOND", "ALLOWED", "SENT", "SERVED", "MOST IN 4 S"}}
	for _, l := range list {
		t.rows = append(t.rows, []string{
			l.Target(), strconv.FormatFloat(l.PerSecond(), 'g', 4, 64), strconv.FormatFloat(l.Allowed(), 'f', 0, 64),
			strconv.Itoa(l.Sent()), strconv.Itoa(l.Served()), strconv.Itoa(l.Peak()),
		})
	}
	return t
}

// countTable lists counts under a heading.
func countTable(heading string, list []logs.Count) table {
	t := table{header: []string{heading, ""}}
	for _, c := range list {
		t.rows = append(t.rows, []string{c.Label(), strconv.Itoa(c.N())})
	}
	return t
}

// latencyRow formats percentiles in milliseconds, and the number of values.
func latencyRow(name string, p logs.Percentiles) []string {
	row := []string{name}
	for _, d := range []time.Duration{p.P50, p.P95, p.P99, p.Max} {
		row = append(row, strconv.FormatInt(d.Milliseconds(), 10))
	}
	return append(row, strconv.Itoa(p.N))
}

func writeSVG(name string, r *logs.Report) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(r.WriteSVG(f), f.Close())
}

// readLogs reads the files; "-" is standard input.
func readLogs(names []string) (*logs.Set, error) {
	var readers []io.Reader
	for _, name := range names {
		if name == "-" {
			readers = append(readers, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return nil, usageError{err}
		}
		defer func() { _ = f.Close() }() // the file was only read
		readers = append(readers, f)
	}
	return logs.Read(readers...)
}
