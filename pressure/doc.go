// Package pressure bounds the bytes that a box holds for callers and targets that read or send slowly.
//
// An exchange holds the body of its request, which further attempts send again, and the part of a
// response that its caller has not taken yet. Before it reads more, it asks for room. Without room it
// stops reading, so that the sender has to wait (backpressure), and goes on as other exchanges end or
// their peers take what is held. If exchanges wait for long, the one whose peers have made no progress
// for the longest time is ended, so that slow peers do not starve the others.
//
// A [Ledger] is a state machine without I/O; package gateway carries out its decisions.
//
// # Usage
//
//	h := l.Open(now)
//	if !l.Grow(now, h, 4096) {
//		// wait until Shrink or Close of another exchange returns h, then read on
//	}
//	l.TransferBegan(now, h) // then l.Progressed(now, h) as bytes pass, and l.TransferEnded(h)
//	for _, slow := range l.Overdue(now) { ... } // end these
//	granted := l.Close(h)
package pressure
