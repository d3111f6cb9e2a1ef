// Package retry decides, for one request, whether and where another attempt is made,
// and what the caller may be answered when none is.
//
// It is the one place that says "not run". It does so only with proof: no attempt was
// sent, or each target that was sent one has promised that it did not run it and never
// will. A request that may run again is retried without that proof; a stream of which
// the caller has a part goes on at another target after its last event. Retries are
// paid from a budget that is a share of all requests, and never go past the caller's
// deadline.
//
// A Course is a state machine without I/O. docs/design/retries.md has the ways that
// were weighed.
//
// # Usage
//
//	c := retry.NewCourse(rules, purse)
//	cmd := c.Start(now)
//	for {
//		switch x := cmd.(type) {
//		case retry.Try:     // pick a target and send the attempt, then
//			cmd = c.Ended(now, end) // or c.NoTarget(now, err)
//		case retry.Deliver: // the answer is passing to the caller; done
//		case retry.Refuse:  // answer x.Err; done
//		case retry.Abort:   // break the answer off; done
//		}
//	}
package retry
