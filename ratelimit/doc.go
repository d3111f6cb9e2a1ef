// Package ratelimit keeps what all boxes together send a target within the limit that it names.
//
// A target in need says with its answers how many requests a second it takes from all boxes
// together. A box that keeps to its part by itself either wastes what others do not use or, where
// it saves that up, adds to a burst of all boxes at once: of forty boxes each may save no more than
// a small part of one request. So the limited targets of a service have an issuer, one of the boxes
// whom all find by the same rule. It keeps a token bucket for each such target and hands out
// permits, one for each request that is sent; boxes ask it as they have a request for the target. A
// box that gets no permit is told its turn, and sends its requests elsewhere until then, so that
// boxes do not ask in vain.
//
// The issuer hands out the parts of the boxes that it hears, of all that share what is bounded:
// where boxes lose each other, the issuers on both sides together hand out no more than the limit.
// A box that does not reach its issuer goes by its own part.
//
// A [Register] is what a box knows: which targets named which limit, the newest news of whomever
// winning, and its permits and turns. A [Buckets] holds buckets. Both are state machines without I/O;
// the asking is done in node.
//
// # Usage
//
//	r.Heard(now, id, answer.Limit, sent)
//	if !r.Free(id) && !r.Spend(now, id) && r.Due(now, id) {
//		// ask the issuer, which does:
//		n, turn := buckets.Take(now, id, rate*ratelimit.Part(heard, sharing))
//		// and take its answer:
//		r.Granted(now, id, n)
//		r.Denied(id, turn)
//	}
package ratelimit
