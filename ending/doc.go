// Package ending decides whether a response is complete that has neither a length nor chunks and ended with its
// connection.
//
// Such an end announces nothing. The connection of a target closes in the same way after a complete response, as its
// process ends, as its group stops and cuts the requests of all ranks, and at the deadline that the target was given. So a
// response is complete only if nothing casts doubt on it. A complete stream ends with its last event, at most one of its own
// pauses later, whereas a group stands still for a second and more before it cuts its streams. What the box knows of the
// group is older than that, and also true of streams that were complete before it stopped; it counts only where the box did
// not wait for the target itself, because the caller did not read.
//
// The package makes no calls. Whether the process of the target is alive is left to package liveness; a caller asks for that
// only if there is no other doubt.
//
// # Usage
//
//	doubt := ending.Stream{Events: 12, Silence: 1500 * time.Millisecond, Waited: 1500 * time.Millisecond, ...}.Doubt()
//	if doubt != ending.None { ... } // the stream counts as truncated, and may be resumed
package ending
