// Package ending decides whether a response is complete that has neither a length nor chunks and ended with its
// connection.
//
// Such an end announces nothing. The connection of a target closes in the same way after a complete response, as its
// process ends, as its group stops and cuts the requests of all ranks, and at the deadline that the target was given. So a
// response is complete only if nothing casts doubt on it. A complete stream ends with its last event or soon after it, whereas a
// group stands still for a second and more before it cuts its streams. A box that was not scheduled for that time
// reads the last events and the end at once, so that an end soon after a long wait, or after a pause of the box, is doubted too. What the box knows of the group
// is older than the stream and also true of streams that were complete before the group stopped; it counts only for streams that
// paused for long.
//
// The package makes no calls. Whether the process of the target is alive is left to package liveness; a caller asks for that
// only if there is no other doubt.
//
// # Usage
//
//	arrivals := ending.NewArrivals(sentAt)
//	arrivals.Waited(d, lastPause)  // for each read
//	arrivals.Arrived(now, events)  // for each read that completes events
//	s := arrivals.Ended(now)       // at the end of the connection
//	s.Left = deadline.Sub(now)
//	if doubt := s.Doubt(); doubt != ending.None { ... } // the stream counts as truncated, and may be resumed
package ending
