// Package telling keeps messages between the agents of a group short: a map as what
// changed since one that was sent before, the counts of chosen experts as what came since
// they were sent last, and both by way of relays where a group is large.
//
// A coordinator sends every rank each map and asks each rank what was chosen, several
// times a second. Told whole, that fills the narrow links of target boxes from a few
// dozen ranks on: orders come too late, and other ranks take the coordinator for lost.
//
// The package does no I/O.
//
// # Usage
//
//	told := telling.NewTold()                  // at the coordinator
//	call = told.Shorten(rank, mesh.NewOrderCall(order))
//	told.Took(rank, prepare, err)              // as the rank's agent answered
//
//	maps := telling.NewPlacements()            // at every agent
//	err := maps.Whole(call)                    // before the order goes to the engine
//
//	picks := telling.NewPicks()                // at every agent
//	report.ExpertCounts = picks.Since(now, asker, born, counts)
//
//	relays := telling.NewRelays(rank, members) // at the coordinator of a large group
//	for _, p := range relays.Through(ranks, fit) { ask(p.Relay, p.Ranks) }
//
//	counter := telling.NewCounter(shape)       // at the coordinator
//	if counter.Add(rank, report.ExpertCounts) { load := counter.Take() }
package telling
