// Package rebalance plans the next map of a group whose engines split an expert's
// tokens evenly over the ranks that hold it, and whose demand shifts within
// seconds.
//
// Each layer of a step takes as long as the most loaded rank needs for it. Copying an expert
// to a rank takes time during which steps are slower, ranks copy in parallel, and a map
// takes effect only once all ranks are ready. So the cost of a plan is the number of
// copies of the rank that has the most to copy. The planner adds or moves one copy at a
// time, always the one that reduces the unevenness of its layer the most, and then keeps
// the prefix of that sequence that saves the most time within a horizon. A small change
// now followed by another one is better than one large change that takes effect late.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	p := rebalance.Planner{Shape: shape, Horizon: 2 * time.Second}
//	plan := p.Plan(current, load)
//	if plan.Worthwhile() { propose(plan.Map, plan.CopyTime) }
package rebalance
