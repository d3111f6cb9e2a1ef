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
//     refuses instead, every rank disarms and prepares the map in use under one more new
//     version, which makes all orders of the failed attempt void wherever they are still
//     in transit. That version is armed and released like any other.
//
// The hold is placed at the coordinator's own rank on purpose. If the coordinator's
// process ends, the next process on the same box finds the hold; if the box fails, the
// group is formed anew and nothing is held. A coordinator that finds an orphaned hold,
// at any rank, completes the attempt if all ranks can be armed with its version, and otherwise
// aborts it as in point 4. If nothing fails, all ranks have armed before the group
// reaches the step, so the hold does not delay the group.
//
// # Safety
//
// A process that starts knows neither which orders are in transit nor whether an attempt was
// released. Two rules make every order harmless that was sent before:
//
//   - A hold is released only once all ranks are armed with one version, for a step not before the
//     held one. Armed ranks prepare nothing until that step has begun, so a hold that another attempt
//     depends on is for a later step, and a late Release does not end it.
//   - A rank is disarmed only from a version that is void: some rank that was never armed with it has
//     a higher one, so that not all ranks were armed with it, and its hold was not released for it.
//     A late Disarm thus finds the version void, and a late Arm finds it replaced.
//
// Hence, all ranks that were armed with one version stay armed with it until the step begins, and
// until all ranks are armed the step is held. Safety depends neither on clocks, nor on fences, nor on
// the store, nor on there being only one coordinator: two of them only make each other's attempts
// fail. Orders of an earlier epoch are refused.
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
