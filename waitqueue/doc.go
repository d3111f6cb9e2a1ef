// Package waitqueue decides which requests wait at an entry box while the group that would serve them is
// stopped, in which order they are released once it is open again, and when a request is refused because
// waiting no longer helps its caller.
//
// A group that loses a rank serves nobody for seconds. A caller that is refused returns once, after at most
// a third of its time, which is often still within the outage; refused again, it is never served. Such a
// caller waits instead, and so does one whose answer had begun, since neither has a further try. A new
// caller waits only if the group is expected to open before the caller leaves.
//
// A request waits no longer than until the time that its answer takes to begin before its caller leaves.
// Requests are ordered by class, the most urgent first, and within a class by who leaves first. They are
// released at the rate at which the group has free slots: each box releases its share of the free slots
// that were last reported, without what it has released since that report.
//
// A [Queue] is a state machine without I/O, and holds the queue of one box for all services. Package node
// holds the requests themselves and moves the decisions. docs/design/wait-queue.md describes the
// alternatives that were considered.
//
// # Usage
//
//	q := waitqueue.New(256)
//	ticket, decisions := q.Add(now, request)      // no target of the service is usable
//	decisions = q.Usable(now, service, room)      // its group is open
//	decisions = q.Withdrawn(now, service)         // its ranks are evacuated
//	decisions = q.Gone(now, service)              // its group will not come back
//	decisions = q.Expire(now)                     // at q.NextExpiry() at the latest
//	decisions = q.Stop(now)                       // the box begins a planned stop
//	q.Leave(ticket)                               // the caller left
//	for _, d := range decisions {
//		switch d := d.(type) {
//		case waitqueue.Queued:   // d.Ticket waits
//		case waitqueue.Released: // d.Ticket chooses a target now
//		case waitqueue.Refused:  // d.Ticket is refused, for d.Reason
//		}
//	}
package waitqueue
