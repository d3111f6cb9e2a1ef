// Package distribution keeps the messages between agents and boxes few and short. A map is sent
// as its changes since an earlier map, and the counts of selected experts as their increase
// since the last request; in a large group both go through relays. The package also decides
// which forwarder sends an order, when an agent is sent the members of its group, and which
// target statuses are passed on to other boxes.
//
// A coordinator sends each map to every rank and requests the expert counts of every rank,
// several times a second. Sent in full, these messages fill the narrow links of target boxes
// from a few dozen ranks on: orders arrive late, and other ranks consider the coordinator lost.
//
// The package does no I/O.
//
// # Usage
//
//	sent := distribution.NewSentMaps()                // at the coordinator
//	call = sent.Shorten(rank, mesh.NewOrderCall(order))
//	sent.RecordReply(rank, prepare, err)              // with the response of the rank's agent
//
//	received := distribution.NewReceivedMaps()        // at every agent
//	err := received.Expand(call)                      // before the order goes to the engine
//
//	deltas := distribution.NewCountDeltas()           // at every agent
//	report.ExpertCounts = deltas.Since(now, requester, born, counts)
//
//	relays := distribution.NewRelays(rank, members)   // at the coordinator of a large group
//	for _, a := range relays.Assign(ranks, eligible) { read(a.Relay, a.Ranks) }
//
//	counter := distribution.NewCounter(shape)         // at the coordinator
//	if counter.Add(rank, report.ExpertCounts) { load := counter.SumAndReset() }
package distribution
