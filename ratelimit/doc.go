// Package ratelimit keeps the requests that all boxes together send to a target within the limit that
// the target names.
//
// A target can state with its answers how many requests a second it takes from all boxes together. If
// each box enforced only its own share of the limit, unused shares would be wasted. If boxes saved
// unused shares up, all of them could send a burst at once: each of forty boxes may save no more than
// a small fraction of one request. Therefore the limited targets of a service have
// an issuer, a box that all boxes determine by the same rule. The issuer holds a token bucket for
// each such target and issues permits, one for each request that is sent; boxes request permits when
// they have a request for the target. A box that gets no permit receives its turn, and sends its
// requests elsewhere until then, so that boxes do not request permits in vain.
//
// The issuer issues permits for the shares of the boxes that it receives messages from, out of all
// boxes that share the limit. If boxes lose contact with each other, the issuers on both sides
// therefore together issue no more than the limit. A box that cannot reach its issuer uses its
// fallback share.
//
// A target is cold for some seconds after its start, or again later, and then takes a known number of
// requests a second. That is a limit like any other, but for its source: each box has from the
// list of targets which targets are cold, so boxes do not report it to each other.
//
// A [Register] is the state of one box: the limit of each target, where the newest report counts
// whatever its source, and the box's permits and turns. A [Buckets] holds token buckets. Both are
// state machines without I/O; package node sends the requests.
//
// # Usage
//
//	r.RecordAnswer(now, id, answer.Limit, sent)
//	if r.NeedsPermit(now, id) && !r.UsePermit(now, id) && r.TurnDue(now, id) {
//		// send a request to the issuer, which calls:
//		n, turn := buckets.Take(now, id, rate*ratelimit.Share(reporting, sharing))
//		// and record its reply:
//		r.AddPermits(now, id, n)
//		r.SetTurn(by, turn)
//	}
package ratelimit
