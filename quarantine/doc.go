// Package quarantine decides which work is not sent to targets any more, since targets ended
// under it.
//
// A request may crash whatever runs it: a body that a model engine cannot take, a path that a
// service fails on. Its caller asks again, at any box, and each try costs a target; where
// targets step as a group it costs the group. Boxes therefore remember, for each work (the
// digest that all tries of it share), which targets ended while they ran it, and tell each
// other. Work under which enough targets ended is in quarantine: it is refused at once, and
// told until when. After that it may be tried, and each target that ends then makes the next
// quarantine longer.
//
// Other requests run beside such a one, and are hit as the target ends. They are not taken for
// it: they share a target once or twice and are served when they are sent again, and work that
// was served anywhere since is cleared.
//
// A Register is a state machine without I/O: observations of boxes and the time in, changes out. It
// is the same for what this box saw, what others tell and what the platform's store keeps, in
// whatever order it comes.
//
// # Usage
//
//	r := quarantine.NewRegister()
//	if until, barred := r.Barred(now, digest); barred {
//		// refuse, and say when to come back
//	}
//	switch r.Take(now, quarantine.Observation{Digest: digest, Target: id, At: now}) {
//	case quarantine.News, quarantine.Barred:
//		// notify other boxes r.Tell(now, false)
//	}
package quarantine
