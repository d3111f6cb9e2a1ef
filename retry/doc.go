// Package retry decides, for one request, whether another attempt is made and whether it continues
// the answer of an earlier one, and what the caller is answered if no further attempt is made.
//
// It is the only package that decides whether a request is reported as "not run". It does so only
// with proof: no attempt was sent, or each target that received an attempt has guaranteed that it did
// not run the request and never will. A request that may run more than once is retried without that
// proof. A stream of which the caller has a part continues at another target, after the last event
// that the caller has. Retries are limited by a budget that is a share of all requests, and never
// extend past the caller's deadline.
//
// A Machine is a state machine without I/O. docs/design/retries.md describes the alternatives that
// were considered.
//
// # Usage
//
//	m := retry.NewMachine(rules, budget)
//	cmd := m.Start(now)
//	for {
//		switch x := cmd.(type) {
//		case retry.Try:     // pick a target and send the attempt, then
//			cmd = m.Ended(now, outcome) // or m.NoTarget(now, err)
//			// at x.FirstByteDeadline, if no answer has begun: cancel if m.ReplaceOverdue(now)
//		case retry.Deliver: // the answer goes to the caller; done
//		case retry.Refuse:  // answer with x.Err; done
//		case retry.Abort:   // break the answer off; done
//		}
//	}
package retry
