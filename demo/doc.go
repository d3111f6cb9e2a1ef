// Package demo runs the whole system of package local under a workload and reports the
// results: the requests served and refused, with the reasons, the latency, the balance of the
// group's ranks compared with the bound that their expert slots allow, and the cost of that
// balance in copied experts and changes of maps.
//
// A Workload is read from a file: the number of boxes, the rate and kinds of requests, and
// the faults with their times. Running the same workload with other seeds, or with another
// version of the programs, gives figures to compare. The processes log the same lines as on
// a platform, so `clovertrail report` draws them.
//
// # Usage
//
//	w, err := demo.ReadWorkload("examples/workloads/matchday.json")
//	result, err := demo.Play(ctx, w, seed, log, nil, nil)
//	result.Print(os.Stdout)
package demo
