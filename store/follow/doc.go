// Package follow decides when a box lists and watches a kind of record in the
// store, so that it is never far behind a healthy store and does not press a
// troubled one.
//
// It lists once, then watches from the revision of the listing. A watch is short
// enough that one which was silently lost is noticed in time. After a failure it
// tries again with growing, spread pauses; only a lost history makes it list anew.
// It says whether what it knows is current, which is so after a success and ends a
// set time after the last one.
//
// A Follower is a state machine without I/O.
//
// # Usage
//
//	f := follow.New(follow.Pace{...}, rnd)
//	switch c := f.Next(now).(type) {
//	case follow.List:  // list, then f.Listed(now, at, err)
//	case follow.Watch: // watch since c.Since for c.Wait, then f.Watched(now, at, err)
//	case follow.Rest:  // nothing to do until c.Until
//	}
package follow
