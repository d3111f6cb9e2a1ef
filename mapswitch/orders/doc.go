// Package orders changes the expert map of a group whose engines take orders, so
// that no step is ever run on two maps.
//
// It is for engines that keep a prepared map, an armed map with the step from which
// it counts, and at most one hold: a step that the whole group will not begin until
// the hold is let go. Orders may be lost, and a lost one may still be carried out
// seconds later. So one coordinator, beside one of the ranks, does this:
//
//  1. Every rank prepares the map under a new version, one that nobody ever used. A
//     prepared map changes nothing.
//  2. The coordinator's own rank holds a step a little ahead. From here on no rank
//     can reach that step.
//  3. Every rank arms the version for that step. Lost orders are repeated.
//  4. Once all have reported it, the hold is let go. If a rank refuses instead, every
//     rank disarms and prepares one more new version, which makes all orders of the
//     failed attempt void wherever they may still be under way, and only then is the
//     hold let go.
//
// The hold stands at the coordinator's own rank on purpose. If the coordinator's
// process ends, the next one on the same box finds the hold; if the box goes, the
// group is formed anew and nothing is held. Whoever coordinates and finds a hold that
// nobody wants, at any rank, calls off what was under way as in point 4, under a hold
// of its own, and lets both go. On the good path all ranks have armed before the group
// reaches the step, so the hold is not felt.
//
// What makes a late order harmless: its epoch is over; its version is no longer the
// prepared one; its step has begun; or, where engines check, its fence is lower than
// one seen since. Nothing rests on clocks, on the store, or on there being only one
// coordinator: two of them only spoil each other's attempts.
//
// A Coordinator is a state machine without I/O.
//
// # Usage
//
//	c := orders.NewCoordinator(self, ranks, epoch, orders.NewNumberGenerator(salt))
//	c.Observe(now, rank, state)             // as often as a rank is read
//	c.Propose(now, placement)               // when another map is wanted
//	for _, call := range c.Next(now) {      // at once and on every tick
//		// give the order, then c.HandleResult(now, call, result)
//	}
package orders
