// Package routing picks the target of an attempt from load that is known late.
//
// A Picker keeps, for each target, the last reported load, what this box itself
// has sent since, and how long answers took to begin. A target's expected wait
// is its reported work, corrected by this box's own requests since the report,
// over its slots, times its time per request; one that owes an answer for long
// is taken to be at least that slow, so a target that silently swallows requests
// loses its turn without any report. Two candidates are drawn and the better
// one wins. A target that holds the prompt's prefix wins while its load stays
// within a bound of the mean, and requests stay in their data hall until the
// hall's load passes the rule's share.
//
// The other policies are the baselines of the measurement in
// docs/design/routing.md.
//
// # Usage
//
//	p := routing.NewPicker(routing.Corrected{Affinity: 1.25}, rand.New(rand.NewPCG(1, 2)))
//	p.Report(now, "target-1", load)
//	id, ok := p.Pick(now, routing.Query{Hall: "hall-1", Prefix: h}, candidates)
//	p.Sent(now, id, request)
//	p.Began(now, id, request)   // the first byte
//	p.Ended(now, id, request)
package routing
