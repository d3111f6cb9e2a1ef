// Package bench measures how the sizes of clovertrail's messages and the run times of its decisions
// grow with the size of the system. Each quantity is measured at a few sizes, and a line is fitted to
// the results; docs/CAPACITY.md extrapolates from the lines to the full size.
//
// # Usage
//
//	err := bench.Slopes(os.Stdout) // a table in Markdown
package bench
