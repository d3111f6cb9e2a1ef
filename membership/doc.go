// Package membership keeps which targets may get new work, which other entry boxes there
// are, and from whom a box learns how targets do.
//
// A Roster merges the platform's list of targets, what other boxes report about it, what
// targets report about themselves, and how attempts end, into a standing of each target. Boxes
// are the other entry boxes; an Outlook decides whom to ask about other data halls. None
// of them does I/O or reads a clock.
//
// # Usage
//
//	r := membership.NewRoster(box, membership.DefaultRosterPolicy(drain))
//	r.Listed(now, at, news)         // from the store or another box
//	r.Reported(at, id, rank, step, working)
//	r.Failed(now, id)               // as attempts end
//	for _, x := range r.Ranked(now, service) { ... } // the best standing first
package membership
