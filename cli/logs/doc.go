// Package logs parses the log lines that clovertrail-node writes, from any number of boxes,
// and evaluates them for operators: what happened to one request and which state the boxes
// had at that moment (Explain), and totals and latencies over a period, with plots (Report).
//
// A line consists of key=value pairs, as log/slog writes them. Lines that cannot be parsed
// are counted and skipped, so that a file that was truncated, or that contains lines of
// another program, can still be used. Lines of several boxes are sorted by their timestamps;
// a difference between the clocks of two boxes shifts their lines against each other by the
// same time.
//
// # Usage
//
//	set, err := logs.Read(files...)
//	timeline, err := logs.Explain(set, "00703e97cece6dad") // logs.ErrUnknownRequest: no line names it
//	report := logs.NewReport(set)
//	err = report.WriteSVG(w)
package logs
