// Package demo runs the whole system of package local under a workload and reports how it
// went: requests served, refused and why, latency, how even the ranks of the group were
// against the bound that their places allow, and what keeping them so took.
//
// A Workload is read from a file: how many boxes there are, the rate and kinds of
// requests, and what goes wrong when. The same workload with other seeds, or played by
// another version of the programs, gives figures to compare; the lines that the
// processes log are the same as on a platform, so `clovertrail report` draws them.
//
// # Usage
//
//	w, err := demo.ReadWorkload("examples/workloads/matchday.json")
//	result, err := demo.Play(ctx, w, seed, log)
//	result.Print(os.Stdout)
package demo
