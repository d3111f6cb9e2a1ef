// Package quarantine decides which work is refused because targets ended while they ran it.
//
// A request can crash the process that runs it: a body that a model engine cannot handle, or a
// path on which a service fails. Its caller retries, possibly through another box, and each
// attempt costs a target; where targets step as a group it costs the whole group. Boxes therefore
// record, for each work (identified by the digest that all attempts of a request share), which
// targets ended while they ran it, and exchange these records. Work under which enough targets
// ended is in quarantine: it is refused at once, with the time at which the quarantine ends.
// After that time the work may be tried again, and each further target that ends makes the next
// quarantine longer.
//
// In the second half of that time one box at a time may send one request of the work to one target as a
// trial, as a circuit breaker does in its half-open state. If the target serves it, all boxes release
// the work; if the target ends, the next, longer quarantine begins. An operator may lift a quarantine:
// targets that ended before do not count any more.
//
// Other requests that run on a target as it ends are not mistaken for the cause: they run on the
// same target as the crashing work only once or twice, and are served when they are sent again.
// Once any target has served a work, the targets that ended under it before no longer count.
//
// A Register is a state machine without I/O: it takes observations and the time, and returns
// changes. Observations of this box, of other boxes and of the platform's store are handled alike,
// in whatever order they arrive. An Exchange decides what follows from them: what other boxes are sent, what
// is read from and written to the store, and when targets are asked.
//
// # Usage
//
//	r := quarantine.NewRegister()
//	if until, quarantined := r.QuarantinedUntil(now, digest); quarantined {
//		// refuse, with the time at which the caller may try again
//	}
//	switch r.Observe(now, quarantine.Observation{Digest: digest, Target: id, At: now}) {
//	case quarantine.Updated, quarantine.Quarantined:
//		// send r.Latest(now, false) to other boxes
//	}
//	if r.BeginTrial(now, digest, fleet) {
//		// send r.Claims(now) to other boxes and one request to one target
//		r.EndTrial(now, digest)
//	}
package quarantine
