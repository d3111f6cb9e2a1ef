// Package follow decides when a box lists and watches a kind of record in the store, so that the box
// is never far behind a healthy store and does not overload a failing one.
//
// A Follower lists once, then watches from the revision of the listing. A watch is short enough that
// one which was silently lost is noticed in time. After a failure it retries with growing, jittered
// pauses, and watches only briefly, to learn whether the store was restored; only a lost history makes
// it list again. It reports the time of the last success and the time since which the store has been
// failing: its state is current after a success, and until a set time after the last one.
//
// A Follower is a state machine without I/O.
//
// # Usage
//
//	f := follow.New(follow.Timing{...}, rnd)
//	switch c := f.Next(now).(type) {
//	case follow.List:  // list, then f.Listed(now, at, err)
//	case follow.Watch: // watch since c.Since for c.Wait, then f.Watched(now, at, err)
//	case follow.Sleep: // do nothing until c.Until
//	}
package follow
