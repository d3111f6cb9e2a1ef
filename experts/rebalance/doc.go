// Package rebalance plans the next map of a group whose engines split an expert's
// tokens evenly over the ranks that hold it, and whose demand shifts within
// seconds.
//
// A step takes, layer by layer, as long as the most loaded rank. Copying an expert
// to a rank takes time during which steps are slower, ranks copy side by side, and
// a map counts only once all ranks are ready. So what a plan costs is the number of
// copies of the rank that has the most to copy. The planner adds or moves one copy
// after another, each time the one that evens out its layer the most, and then keeps
// the beginning of that sequence that saves the most time within a horizon. A
// small, quick change now and another one after it beat one large, late change.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	p := rebalance.Planner{Shape: shape, Horizon: 2 * time.Second}
//	plan := p.Plan(current, load)
//	if plan.Worthwhile() { propose(plan.Map, plan.CopyTime) }
package rebalance
