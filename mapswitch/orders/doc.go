// Package orders changes the expert map of a group whose engines accept orders, so
// that no step is ever run on two maps.
//
// It is for engines that keep a prepared map, an armed map with the step from which
// it applies, and at most one hold: a step that the whole group does not begin until
// the hold is released. Orders may be lost, and an order without a response may still
// be carried out seconds later. The protocol is run by one coordinator, in the agent
// beside one of the ranks:
//
//  1. Every rank prepares the map under a new version, which no coordinator has used
//     before. A prepared map changes nothing.
//  2. The coordinator's own rank holds a step slightly ahead of the group. From then on
//     no rank can begin that step.
//  3. Every rank arms the version for that step. Lost orders are repeated.
//  4. Once all ranks have reported the armed map, the hold is released. If a rank
//     refuses instead, every rank disarms and prepares one more new version, which makes
//     all orders of the failed attempt void wherever they are still in transit, and only
//     then is the hold released.
//
// The hold is placed at the coordinator's own rank on purpose. If the coordinator's
// process ends, the next process on the same box finds the hold; if the box fails, the
// group is formed anew and nothing is held. A coordinator that finds an orphaned hold,
// at any rank, aborts the attempt that the hold belongs to as in point 4, under a hold
// of its own, and releases both. If nothing fails, all ranks have armed before the group
// reaches the step, so the hold does not delay the group.
//
// A late order is harmless for at least one of these reasons: its epoch is over; its
// version is no longer the prepared one; its step has begun; or, where engines check
// fences, its fence is lower than one received since. Safety depends neither on clocks,
// nor on the store, nor on there being only one coordinator: two of them only make each
// other's attempts fail.
//
// A Coordinator is a state machine without I/O.
//
// # Usage
//
//	c := orders.NewCoordinator(self, ranks, epoch, orders.NewNumberGenerator(salt))
//	c.Observe(now, rank, state)             // after every read of a rank
//	c.Propose(now, placement, copyTime)     // when another map is wanted
//	for _, call := range c.Next(now) {      // after each of these and on every tick
//		// send the order, then c.HandleResult(now, call, result)
//	}
package orders
