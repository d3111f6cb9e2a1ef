// Package routing picks the target of a request attempt from load reports that arrive late.
//
// For each target a Balancer keeps the last reported load, the requests that this box has sent and
// finished since, and how long answers took to begin. Targets of a group run their steps together,
// so a Balancer first chooses the group with the lowest product of utilisation and step length, and
// then the least loaded rank in it. A slow rank gets no new requests, and streams on a rank that
// slows its group down can be moved (IsStraggler).
//
// Where many boxes choose among the same targets, the least loaded ones of old reports would be chosen
// by all of them. Each box then draws a rank such that the loads become equal once all boxes have sent
// the requests expected until the reports are renewed (SetInterpretReports). If this is disabled, each
// considers a random sample of the targets, drawn for each request.
//
// docs/design/routing.md and docs/design/stale-reports.md describe the alternatives that were
// considered. A Balancer does no I/O.
//
// # Usage
//
//	b := routing.NewBalancer(rand.New(rand.NewPCG(1, 2)))
//	b.Report(now, id, report)                // on each load report of a target
//	option, ok := b.Pick(now, hall, options) // considers the lowest tier only
//	ticket := b.Sent(now, option)
//	b.Began(now, ticket)                     // on the first byte of the answer
//	b.Ended(now, ticket)
package routing
